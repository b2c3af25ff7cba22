"""Backoff of a core that lost a term by its own fault: others rank before it for a while.

A core that is overloaded, or was stopped for seconds, goes on beating; it would rank first again at
once and lose the part again. It tells all nodes that it rests, and when the rest is over. Each rest
is twice as long as the last one, up to a bound, until the core did well for as long as the bound.
A resting core ranks behind the others, yet before nobody: where all rest, the first of them acts.
"""

import math

from quillring.kernel.loop_lag import LoopLag

FIRST_REST_BEATS = 4
LONGEST_REST_BEATS = 64
JITTER = 0.25


class LeadershipBackoff:
    """Whether this core rests, for how long, and which others do, as one node sees it."""

    __slots__ = ("node", "lag", "beats", "until", "number")

    def __init__(self, node):
        self.node = node
        self.lag = LoopLag(node)
        self.beats = 0
        self.until = -math.inf
        self.number = 0

    def is_backing_off(self, name):
        """Tell whether a core told that it rests, in the life it now leads."""
        member = self.node.find("nifty").roster.members.get(name)
        return (
            member is not None
            and self.node.find("gossip").get(f"resting/{name}") == member.incarnation
        )

    def note_lost_term(self):
        """Begin to rest if the term that is over was lost because this process was late."""
        if self.lag.was_late() and not self.is_backing_off(self.node.me.name):
            self._back_off()

    def refresh(self):
        """End a rest that is over, or begin a longer one while this process is still late."""
        if not self.is_backing_off(self.node.me.name) or self.node.now() < self.until:
            return
        if self.lag.was_late():
            self._back_off()
        else:
            self._publish(None)

    def _back_off(self):
        now, beat = self.node.now(), self.node.bounds.heartbeat_interval
        did_well = now - self.until > beat * LONGEST_REST_BEATS
        self.beats = FIRST_REST_BEATS if did_well else min(self.beats * 2, LONGEST_REST_BEATS)
        spread = 1 + JITTER * (2 * self.node.runtime.random.random() - 1)
        self.until = now + beat * self.beats * spread
        self.node.count("rests")
        self.node.log("warning", "late for its parts: rests for %.1f s", self.until - now)
        self._publish(self.node.me.incarnation)

    def _publish(self, incarnation):
        me = self.node.me
        self.number += 1
        version = [me.incarnation, self.number]
        self.node.find("gossip").put(f"resting/{me.name}", version, incarnation)
