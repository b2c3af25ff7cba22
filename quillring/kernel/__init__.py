"""The micro-kernel: services by name, plug-ins by registry, effects, settings, ring log."""

from quillring.kernel.effects import Emit, Fetch, Next, Open, Signal, Sleep, Sync, Wait
from quillring.kernel.errors import QuillringError
from quillring.kernel.node import Node
from quillring.kernel.registry import Registry

__all__ = [
    "Emit",
    "Fetch",
    "Next",
    "Node",
    "Open",
    "Registry",
    "Signal",
    "Sleep",
    "Sync",
    "QuillringError",
    "Wait",
]
