"""Replicas' heartbeats passed on in batches: one that brings nothing new is not gossiped.

Whoever takes such a heartbeat tells two cores, chosen by rendezvous hashing; these gather what they
are told and tell all nodes. Two, so that the loss of one makes no replica look silent.
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
    """A sign of life of one start of a replica; on the wire a list of the same fields."""

    name: str
    incarnation: int
    sequence: int


class HeartbeatRelay:
    """The heartbeats that wait here to be told to all nodes, and who tells them."""

    __slots__ = ("node", "pending", "graph", "roster", "aggregator_names")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.pending: dict[str, Heartbeat] = {}
        self.graph = self.roster = None
        self.aggregator_names: tuple[str, ...] = ()
        node.handle("replica.signs", self.on_reports)
        node.handle("replica.alive", self.on_batch)

    def aggregators(self) -> tuple[str, ...]:
        """Return the reachable cores that gather heartbeats and tell all nodes."""
        nifty = self.node.find("nifty")
        if nifty.graph is not self.graph or nifty.roster is not self.roster:
            self.graph, self.roster = nifty.graph, nifty.roster
            cores = [m.name for m in nifty.roster.members.values() if m.role == "core"]
            ordered = order_candidates("replica", cores, nifty.graph)
            self.aggregator_names = tuple(ordered[:AGGREGATOR_COUNT])
        return self.aggregator_names

    def report(self, heartbeat: Heartbeat) -> bool:
        """Tell the aggregators of a heartbeat; False when there is none."""
        rows: list[Any] = [list(heartbeat)]
        aggregators = self.aggregators()
        for aggregator in aggregators:
            if aggregator == self.node.me.name:
                self.on_reports(rows, aggregator)
            else:
                self.node.send_oneway(aggregator, "replica.signs", rows)
        return bool(aggregators)

    def on_reports(self, rows: Sequence[tuple[str, int, int]], origin: str) -> None:
        """Keep reported heartbeats until the next batch, which is soon."""
        if rows and not self.pending:
            self.node.spawn(self._send_batch_soon())
        for row in rows:
            heartbeat = Heartbeat(*row)
            known = self.pending.get(heartbeat.name, heartbeat)
            self.pending[heartbeat.name] = max(heartbeat, known)

    def _send_batch_soon(self) -> Coroutine:
        yield Sleep(self.node.bounds.report_delay)
        rows: list[Any] = [list(heartbeat) for heartbeat in self.pending.values()]
        self.pending = {}
        self.on_batch(rows, self.node.me.name)
        for name in self.node.find("nifty").graph.routes:
            self.node.send_oneway(name, "replica.alive", rows)

    def on_batch(self, rows: Sequence[tuple[str, int, int]], origin: str) -> None:
        """Take a batch of heartbeats that an aggregator tells."""
        note_heartbeat = self.node.find("replicas").note_heartbeat
        for name, incarnation, sequence in rows:
            note_heartbeat(name, incarnation, sequence)
