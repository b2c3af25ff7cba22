"""The kernel: nodes and their services, effects and runtimes, errors, HTTP, settings, logging."""

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
