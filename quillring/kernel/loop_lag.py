"""Measures event-loop lag, which shows that the process is overloaded or was suspended."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quillring.kernel.effects import Sleep

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

PROBE_INTERVAL_RATIO = 0.1
LATE_RATIO = 0.25
"""Delay of a late wake-up, as a share of the call timeout."""
LATE_WAKEUP_HEARTBEATS = 2
"""Number of heartbeat intervals for which `was_late` reports a late wake-up."""


class LoopLag:
    """Detects late wake-ups by sleeping repeatedly for a tenth of the heartbeat interval.

    A wake-up is late if it is delayed by more than LATE_RATIO of `bounds.call_timeout`.

    Attributes
    ----------
    due_at : monotonic time at which the current sleep should end
    last_late_at : monotonic time of the last late wake-up, -inf if there was none
    """

    __slots__ = ("node", "due_at", "last_late_at")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.due_at = math.inf
        self.last_late_at = -math.inf

    def run(self) -> Coroutine:
        """Coroutine: sleep in an endless loop and record the time of each late wake-up."""
        while True:
            seconds = self.node.bounds.heartbeat_interval * PROBE_INTERVAL_RATIO
            self.due_at = self.node.now() + seconds
            yield Sleep(seconds)
            if self._is_overdue():
                self.last_late_at = self.node.now()

    def was_late(self) -> bool:
        """Return whether a wake-up is overdue, or was late in the last two heartbeat intervals."""
        report_seconds = self.node.bounds.heartbeat_interval * LATE_WAKEUP_HEARTBEATS
        return self._is_overdue() or self.node.now() - self.last_late_at < report_seconds

    def _is_overdue(self) -> bool:
        """Return whether the current wake-up is late already."""
        return self.node.now() - self.due_at > self.node.bounds.call_timeout * LATE_RATIO
