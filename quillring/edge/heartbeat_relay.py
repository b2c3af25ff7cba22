"""Aggregation of replica heartbeats that carry no state change, to keep them out of gossip.

The node that receives such a heartbeat reports it to two cores, chosen by rendezvous hashing, which
send batches to all nodes. The second core prevents replicas from timing out if the first one fails.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.effects import Sleep
from quillring.kernel.records import NamedTuple
from quillring.ownership.candidates import order_candidates

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

AGGREGATOR_COUNT = 2


class Heartbeat(NamedTuple):
    """A heartbeat of one incarnation of a replica, sent as a list of these fields."""

    name: str
    incarnation: int
    sequence: int


class HeartbeatRelay:
    """Reports heartbeats to the aggregators; owns the pending batch if this node is one."""

    __slots__ = ("node", "pending", "graph", "roster", "aggregator_names")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.pending: dict[str, Heartbeat] = {}
        self.graph = self.roster = None
        self.aggregator_names: tuple[str, ...] = ()
        node.handle("replica.signs", self.on_reports)
        node.handle("replica.alive", self.on_batch)

    def aggregators(self) -> tuple[str, ...]:
        """Return the reachable cores that aggregate heartbeats; cached per graph and roster."""
        nifty = self.node.find("nifty")
        if nifty.graph is not self.graph or nifty.roster is not self.roster:
            self.graph, self.roster = nifty.graph, nifty.roster
            cores = [m.name for m in nifty.roster.members.values() if m.role == "core"]
            ordered = order_candidates("replica", cores, nifty.graph)
            self.aggregator_names = tuple(ordered[:AGGREGATOR_COUNT])
        return self.aggregator_names

    def report(self, heartbeat: Heartbeat) -> bool:
        """Report a heartbeat to the aggregators; return False if no aggregator is reachable."""
        rows: list[Any] = [list(heartbeat)]
        aggregators = self.aggregators()
        for aggregator in aggregators:
            if aggregator == self.node.me.name:
                self.on_reports(rows, aggregator)
            else:
                self.node.send_oneway(aggregator, "replica.signs", rows)
        return bool(aggregators)

    def on_reports(self, rows: Sequence[tuple[str, int, int]], origin: str) -> None:
        """Add reported heartbeats to the pending batch, sent after `bounds.report_delay`."""
        if rows and not self.pending:
            self.node.spawn(self._send_batch_after_delay())
        for row in rows:
            heartbeat = Heartbeat(*row)
            known = self.pending.get(heartbeat.name, heartbeat)
            self.pending[heartbeat.name] = max(heartbeat, known)

    def _send_batch_after_delay(self) -> Coroutine:
        """Wait for `bounds.report_delay`, then send the pending batch to all reachable nodes."""
        yield Sleep(self.node.bounds.report_delay)
        rows: list[Any] = [list(heartbeat) for heartbeat in self.pending.values()]
        self.pending = {}
        self.on_batch(rows, self.node.me.name)
        for name in self.node.find("nifty").graph.routes:
            self.node.send_oneway(name, "replica.alive", rows)

    def on_batch(self, rows: Sequence[tuple[str, int, int]], origin: str) -> None:
        """Apply a batch of heartbeats from an aggregator."""
        record_heartbeat = self.node.find("replicas").record_heartbeat
        for name, incarnation, sequence in rows:
            record_heartbeat(name, incarnation, sequence)
