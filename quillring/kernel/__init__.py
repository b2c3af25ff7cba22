"""The micro-kernel: named services, plug-in registry, effects, settings and the ring-buffer log."""

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
