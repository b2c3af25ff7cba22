"""Exponential backoff of a core that lost leadership because its own process stalled.

A core that is overloaded, or was suspended for seconds, still sends heartbeats. Without a backoff
it would become the first candidate again at once, and lose the part again. The core announces the
beginning and the end of a backoff by gossip. Each backoff is twice as long as the previous one, up
to MAX_BACKOFF_HEARTBEATS. After that many heartbeat intervals without a backoff, the next one has
MIN_BACKOFF_HEARTBEATS again. A core that backs off ranks after the others but remains a candidate:
if all cores back off, the first of them leads.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quillring.kernel.loop_lag import LoopLag

if TYPE_CHECKING:
    from quillring.kernel.node import Node

MIN_BACKOFF_HEARTBEATS = 4
MAX_BACKOFF_HEARTBEATS = 64
JITTER_FACTOR = 0.25


class LeadershipBackoff:
    """The backoff of this core, and a view of the backoffs that other cores announced.

    `length_heartbeats` is the length of this core's last backoff in heartbeat intervals, `ends_at`
    its end in seconds of the node's clock. Owns the gossip key `resting/<core>`.
    """

    __slots__ = ("node", "loop_lag", "length_heartbeats", "ends_at", "announcement_count")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.loop_lag = LoopLag(node)
        self.length_heartbeats = 0
        self.ends_at = -math.inf
        self.announcement_count = 0

    def is_backing_off(self, name: str) -> bool:
        """Return whether a core has announced a backoff under its current incarnation."""
        member = self.node.find("nifty").roster.members.get(name)
        if member is None:
            return False
        announced = self.node.find("gossip").get(f"resting/{name}")
        return bool(announced == member.incarnation)

    def note_lost_term(self) -> None:
        """Begin a backoff if the event loop of this process was late when the term was lost.

        Has no effect during a backoff.
        """
        if self.loop_lag.was_late() and not self.is_backing_off(self.node.me.name):
            self._begin_backoff()

    def refresh(self) -> None:
        """End an expired backoff, or begin a longer one if the event loop is still late."""
        if not self.is_backing_off(self.node.me.name) or self.node.now() < self.ends_at:
            return
        if self.loop_lag.was_late():
            self._begin_backoff()
        else:
            self._announce(None)

    def _begin_backoff(self) -> None:
        """Begin a backoff, twice as long as the last one if that ended recently; announce it."""
        now, interval = self.node.now(), self.node.bounds.heartbeat_interval
        has_recovered = now - self.ends_at > interval * MAX_BACKOFF_HEARTBEATS
        if has_recovered:
            self.length_heartbeats = MIN_BACKOFF_HEARTBEATS
        else:
            self.length_heartbeats = min(self.length_heartbeats * 2, MAX_BACKOFF_HEARTBEATS)
        jitter_factor = 1 + JITTER_FACTOR * (2 * self.node.runtime.random.random() - 1)
        self.ends_at = now + interval * self.length_heartbeats * jitter_factor
        self.node.count("rests")
        self.node.log(
            "warning",
            "process stalled: backing off from leadership for %.1f s",
            self.ends_at - now,
        )
        self._announce(self.node.me.incarnation)

    def _announce(self, incarnation: int | None) -> None:
        """Publish the incarnation under which this core backs off, or None when it does not."""
        me = self.node.me
        self.announcement_count += 1
        version = [me.incarnation, self.announcement_count]
        self.node.find("gossip").publish(f"resting/{me.name}", version, incarnation)
