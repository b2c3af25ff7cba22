"""Slow start: a fleet-wide request rate limit for a cold replica, without coordination messages.

A few nodes, chosen by rendezvous hashing, may send requests to a cold replica, each with an equal
share of its rate. While the rosters of nodes differ, they disagree about few of the chosen nodes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.nifty.graph import rendezvous_score

if TYPE_CHECKING:
    from quillring.forward.types import Replica
    from quillring.kernel.node import Node

MIN_RATE_PER_SENDER = 4.0
"""Minimum rate of a sending node, in requests per second; limits the number of senders."""
SENDING_ROLES = ("edge", "core")


class SlowStart:
    """Limits the rate of this node's requests to each cold replica to the node's share."""

    __slots__ = ("node", "next_send_at_by_replica", "rate_shares", "rate_share_inputs")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.next_send_at_by_replica: dict[str, float] = {}
        self.rate_shares: dict[tuple[str, int], float] = {}
        self.rate_share_inputs: tuple[Any, Any, Any] | None = None

    def try_acquire(self, replica: Replica, now: float) -> bool:
        """Reserve one request within the rate; return False if that would exceed the rate."""
        rate = self.rate_share(replica)
        if rate <= 0:
            return False
        next_send_at = self.next_send_at_by_replica.get(replica.name, 0)
        if now < next_send_at:
            return False
        self.next_send_at_by_replica = {
            name: at for name, at in self.next_send_at_by_replica.items() if at > now - 1
        }
        self.next_send_at_by_replica[replica.name] = max(next_send_at, now - 1 / rate) + 1 / rate
        return True

    def rate_share(self, replica: Replica) -> float:
        """Return the requests per second that this node may send to a cold replica."""
        nifty, configuration = self.node.find("nifty"), self.node.find("layout").configuration
        rate_share_inputs = (nifty.graph, nifty.roster, configuration)
        if self.rate_share_inputs is None or any(
            old is not new for old, new in zip(self.rate_share_inputs, rate_share_inputs)
        ):
            self.rate_share_inputs, self.rate_shares = rate_share_inputs, {}
        key = (replica.name, replica.slots)
        if key not in self.rate_shares:
            self.rate_shares[key] = self._compute_rate_share(replica, *rate_share_inputs)
        return self.rate_shares[key]

    def _compute_rate_share(
        self, replica: Replica, graph: Any, roster: Any, configuration: dict[str, Any] | None
    ) -> float:
        """Return this node's share of a replica's rate, 0 if it is not one of the senders."""
        services = (configuration or {}).get("services", {})
        rate: float = services.get(replica.service, {}).get("warm_rate") or replica.slots
        names = [
            member.name
            for member in roster.members.values()
            if member.role in SENDING_ROLES
            and (member.name in graph.routes or member.name == self.node.me.name)
        ]
        sender_count = max(1, min(len(names), int(rate / MIN_RATE_PER_SENDER)))
        ranked = sorted(names, key=lambda name: rendezvous_score(replica.name, name), reverse=True)
        return rate / sender_count if self.node.me.name in ranked[:sender_count] else 0
