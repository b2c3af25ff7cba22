"""The micro-kernel: services by name, plug-ins by registry, effects, settings, ring log."""

from quillring.kernel.effects import (
    FetchJson,
    OpenStream,
    ReadLine,
    SendToClient,
    Signal,
    Sleep,
    Wait,
)
from quillring.kernel.errors import QuillringError
from quillring.kernel.node import Node
from quillring.kernel.registry import Registry

__all__ = [
    "SendToClient",
    "FetchJson",
    "ReadLine",
    "Node",
    "OpenStream",
    "Registry",
    "Signal",
    "Sleep",
    "QuillringError",
    "Wait",
]
