"""Backoff of a core that lost leadership by its own fault: others come before it for a while.

A core that is overloaded, or was stopped for seconds, goes on sending heartbeats; it would be the
first candidate again at once and lose the part again. It tells all nodes that it backs off, and
when that is over. Each backoff is twice as long as the last one, up to a bound, until the core did
well for as long as the bound. A core that backs off comes behind the others, yet is still a
candidate: where all back off, the first of them acts.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quillring.kernel.loop_lag import LoopLag

if TYPE_CHECKING:
    from quillring.kernel.node import Node

MIN_BACKOFF_HEARTBEATS = 4
MAX_BACKOFF_HEARTBEATS = 64
JITTER_SHARE = 0.25


class LeadershipBackoff:
    """Whether this core backs off, for how long, and which others do, as one node sees it."""

    __slots__ = ("node", "lag", "heartbeats", "until", "announcement_number")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.lag = LoopLag(node)
        self.heartbeats = 0
        self.until = -math.inf
        self.announcement_number = 0

    def is_backing_off(self, name: str) -> bool:
        """Tell whether a core announced that it backs off, in the life it now leads."""
        member = self.node.find("nifty").roster.members.get(name)
        if member is None:
            return False
        announced = self.node.find("gossip").get(f"resting/{name}")
        return bool(announced == member.incarnation)

    def note_lost_term(self) -> None:
        """Begin to back off if the term was lost because this process was late."""
        if self.lag.was_late() and not self.is_backing_off(self.node.me.name):
            self._begin()

    def refresh(self) -> None:
        """End a backoff that is over, or begin a longer one while this process is still late."""
        if not self.is_backing_off(self.node.me.name) or self.node.now() < self.until:
            return
        if self.lag.was_late():
            self._begin()
        else:
            self._announce(None)

    def _begin(self) -> None:
        now, interval = self.node.now(), self.node.bounds.heartbeat_interval
        did_well = now - self.until > interval * MAX_BACKOFF_HEARTBEATS
        if did_well:
            self.heartbeats = MIN_BACKOFF_HEARTBEATS
        else:
            self.heartbeats = min(self.heartbeats * 2, MAX_BACKOFF_HEARTBEATS)
        spread = 1 + JITTER_SHARE * (2 * self.node.runtime.random.random() - 1)
        self.until = now + interval * self.heartbeats * spread
        self.node.count("rests")
        self.node.log(
            "warning",
            "process stalled: backs off from leadership for %.1f s",
            self.until - now,
        )
        self._announce(self.node.me.incarnation)

    def _announce(self, incarnation: int | None) -> None:
        """Tell all nodes under which incarnation this core backs off; None: it does not."""
        me = self.node.me
        self.announcement_number += 1
        version = [me.incarnation, self.announcement_number]
        self.node.find("gossip").publish(f"resting/{me.name}", version, incarnation)
