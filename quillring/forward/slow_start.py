"""Slow start: a fleet-wide request rate limit for a cold replica, without coordination messages.

A few nodes, chosen by rendezvous hashing, may send to a cold replica; each has an equal share of
its rate. Nodes whose rosters differ temporarily differ in few of the chosen nodes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.nifty.graph import score

if TYPE_CHECKING:
    from quillring.forward.types import Replica
    from quillring.kernel.node import Node

RATE_PER_SENDER = 4.0
"""Requests a second that one sending node should have at least."""
SENDING_ROLES = ("edge", "core")


class SlowStart:
    """Limits the rate of this node's requests to each cold replica; owns its share of the rate."""

    __slots__ = ("node", "next_at_by_replica", "rate_shares", "inputs")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.next_at_by_replica: dict[str, float] = {}
        self.rate_shares: dict[tuple[str, int], float] = {}
        self.inputs: tuple[Any, Any, Any] | None = None

    def try_acquire(self, replica: Replica, now: float) -> bool:
        """Reserve one request within the rate; return False if the rate is exceeded."""
        rate = self.rate_share(replica)
        if rate <= 0:
            return False
        next_at = self.next_at_by_replica.get(replica.name, 0)
        if now < next_at:
            return False
        self.next_at_by_replica = {
            name: at for name, at in self.next_at_by_replica.items() if at > now - 1
        }
        self.next_at_by_replica[replica.name] = max(next_at, now - 1 / rate) + 1 / rate
        return True

    def rate_share(self, replica: Replica) -> float:
        """Return the requests per second that this node may send to a cold replica."""
        nifty, configuration = self.node.find("nifty"), self.node.find("layout").configuration
        inputs = (nifty.graph, nifty.roster, configuration)
        if self.inputs is None or any(old is not new for old, new in zip(self.inputs, inputs)):
            self.inputs, self.rate_shares = inputs, {}
        key = (replica.name, replica.slots)
        if key not in self.rate_shares:
            self.rate_shares[key] = self._compute_rate_share(replica, *inputs)
        return self.rate_shares[key]

    def _compute_rate_share(
        self, replica: Replica, graph: Any, roster: Any, configuration: dict[str, Any] | None
    ) -> float:
        services = (configuration or {}).get("services", {})
        rate: float = services.get(replica.service, {}).get("warm_rate") or replica.slots
        names = [
            member.name
            for member in roster.members.values()
            if member.role in SENDING_ROLES
            and (member.name in graph.routes or member.name == self.node.me.name)
        ]
        sender_count = max(1, min(len(names), int(rate / RATE_PER_SENDER)))
        ranked = sorted(names, key=lambda name: score(replica.name, name), reverse=True)
        return rate / sender_count if self.node.me.name in ranked[:sender_count] else 0
