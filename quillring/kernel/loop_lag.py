"""How late a process wakes: the sign that it is overloaded, or was stopped and goes on."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quillring.kernel.effects import Sleep

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

PROBE_SHARE = 0.1
LATE_SHARE = 0.25
KEPT_BEATS = 2


class LoopLag:
    """Sleeps for short whiles and compares when it wakes with when it should have."""

    __slots__ = ("node", "due_at", "late_at")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.due_at = math.inf
        self.late_at = -math.inf

    def run(self) -> Coroutine:
        """Note each time that this process woke late."""
        while True:
            seconds = self.node.bounds.heartbeat_interval * PROBE_SHARE
            self.due_at = self.node.now() + seconds
            yield Sleep(seconds)
            if self._is_overdue():
                self.late_at = self.node.now()

    def was_late(self) -> bool:
        """Tell whether this process woke late within the last beats, or is late right now."""
        kept_seconds = self.node.bounds.heartbeat_interval * KEPT_BEATS
        return self._is_overdue() or self.node.now() - self.late_at < kept_seconds

    def _is_overdue(self) -> bool:
        return self.node.now() - self.due_at > self.node.bounds.call_timeout * LATE_SHARE
