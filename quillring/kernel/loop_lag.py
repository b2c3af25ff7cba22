"""Event-loop lag: shows that the process is overloaded or was suspended."""

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
    """Sleeps for a tenth of the heartbeat interval and measures how late it wakes."""

    __slots__ = ("node", "due_at", "late_at")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.due_at = math.inf
        self.late_at = -math.inf

    def run(self) -> Coroutine:
        """Record each late wake-up of this process, in an endless loop."""
        while True:
            seconds = self.node.bounds.heartbeat_interval * PROBE_SHARE
            self.due_at = self.node.now() + seconds
            yield Sleep(seconds)
            if self._is_overdue():
                self.late_at = self.node.now()

    def was_late(self) -> bool:
        """Return whether the process woke late within two heartbeat intervals, or is late now."""
        kept_seconds = self.node.bounds.heartbeat_interval * KEPT_BEATS
        return self._is_overdue() or self.node.now() - self.late_at < kept_seconds

    def _is_overdue(self) -> bool:
        return self.node.now() - self.due_at > self.node.bounds.call_timeout * LATE_SHARE
