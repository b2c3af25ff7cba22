"""Exponential backoff of a core that lost leadership because its own process stalled.

A core that is overloaded, or was stopped for seconds, still sends heartbeats; it would be the first
candidate again at once and lose the part again. It announces by gossip when a backoff begins and
ends. Each backoff is twice as long as the last one, up to MAX_BACKOFF_HEARTBEATS, and starts over
at MIN_BACKOFF_HEARTBEATS after a time without any that is as long as that maximum. A core that
backs off ranks after the others but is still a candidate: if all back off, the first of them leads.
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
    """Backoff state of this core, and which other cores announced one.

    Owns the length (in heartbeat intervals) and the end (in seconds of the node's clock) of this
    core's backoff, and the gossip key `resting/<core>`.
    """

    __slots__ = ("node", "lag", "heartbeats", "until", "announcement_number")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.lag = LoopLag(node)
        self.heartbeats = 0
        self.until = -math.inf
        self.announcement_number = 0

    def is_backing_off(self, name: str) -> bool:
        """Return whether a core announced a backoff under its present incarnation."""
        member = self.node.find("nifty").roster.members.get(name)
        if member is None:
            return False
        announced = self.node.find("gossip").get(f"resting/{name}")
        return bool(announced == member.incarnation)

    def note_lost_term(self) -> None:
        """Begin a backoff if the event loop of this process was late when the term was lost."""
        if self.lag.was_late() and not self.is_backing_off(self.node.me.name):
            self._begin()

    def refresh(self) -> None:
        """End a backoff whose time is over, or begin a longer one if the loop is still late."""
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
        """Publish the incarnation under which this core backs off, or None when it does not."""
        me = self.node.me
        self.announcement_number += 1
        version = [me.incarnation, self.announcement_number]
        self.node.find("gossip").publish(f"resting/{me.name}", version, incarnation)
