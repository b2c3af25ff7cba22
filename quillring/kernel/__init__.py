"""The micro-kernel: services by name, plug-ins by registry, effects, settings, ring log."""

from quillring.kernel.effects import Emit, Fetch, Next, Open, Signal, Sleep, Sync, Wait
from quillring.kernel.node import Node
from quillring.kernel.registry import Registry
from quillring.kernel.troubles import Trouble

__all__ = [
    "Emit", "Fetch", "Next", "Node", "Open", "Registry", "Signal", "Sleep", "Sync", "Trouble",
    "Wait",
]
