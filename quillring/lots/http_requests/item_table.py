"""A part leader's in-memory state of its lots' items: which are pending, and which run where."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from quillring.kernel.records import NamedTuple
from quillring.lots.http_requests.lot_table import LotRecord, lot_records

if TYPE_CHECKING:
    from quillring.kernel.node import Node

MIN_SECONDS_TO_DUE = 1.0
"""A lot with less time left can't meet its due time; it runs after those that can."""
REPLICA_AVOIDANCE_SECONDS = 1.0
"""After an item has been ready for this long without a start, no replica is avoided anymore."""


class DispatchedRun:
    """A run that the leader dispatched or adopted; `id` is the worker's id of the run."""

    __slots__ = ("id", "worker", "service", "replica", "started_at", "last_reported_at")

    def __init__(self, run_id: str, worker: str, service: str, replica: str, now: float) -> None:
        self.id = run_id
        self.worker = worker
        self.service = service
        self.replica = replica
        self.started_at = now
        self.last_reported_at = now


class PendingItem:
    """An item without a result: its partial text, its backoff, and its active run if it has one."""

    __slots__ = (
        "lot",
        "number",
        "last_event_id",
        "text",
        "avoided_replicas",
        "failures",
        "ready_at",
        "run",
    )

    def __init__(self, lot: str, number: int) -> None:
        self.lot = lot
        self.number = number
        self.last_event_id: int | None = None
        self.text = b""
        self.avoided_replicas: frozenset[str] = frozenset()
        self.failures = 0
        self.ready_at = 0.0
        self.run: DispatchedRun | None = None

    def replicas_to_avoid(self, now: float) -> frozenset[str]:
        """Return the replicas on which runs of this item ended without a result.

        The set is empty once the item has been ready for REPLICA_AVOIDANCE_SECONDS.
        """
        if now - self.ready_at < REPLICA_AVOIDANCE_SECONDS:
            return self.avoided_replicas
        return frozenset()


class DetachedRun(NamedTuple):
    """A run whose item is no longer pending."""

    number: int
    run: DispatchedRun


class OpenLot:
    """A lot with pending items: when it is due, and when this leader first saw it."""

    __slots__ = ("name", "forward", "due_at", "first_seen_at", "retain_seconds", "items")

    def __init__(self, name: str, lot: LotRecord, now: float, age_seconds: float) -> None:
        self.name = name
        self.forward = lot["forward"]
        self.due_at = now - age_seconds + lot["due_ms"] / 1000
        self.first_seen_at = now
        self.retain_seconds = lot["retain_ms"] / 1000
        self.items = {number: PendingItem(name, number) for number in lot["items"]}

    def startable_items(self, now: float) -> list[PendingItem]:
        """Return the items without a run whose backoff is over, in order of submission."""
        return [item for item in self.items.values() if item.run is None and item.ready_at <= now]


def age_by_wall_clock(lot: LotRecord, wall_seconds: float) -> float:
    """Return the age of a lot in seconds by wall clocks, at most its time until due.

    A new leader needs it for lots that were accepted earlier. Wall clocks differ between machines,
    so it only affects the order in which lots run.
    """
    age_seconds = max(0.0, wall_seconds - lot["at"] / 1000)
    return min(age_seconds, lot["due_ms"] / 1000)


class ItemTable:
    """The items of a part during one term of leadership, synced with each committed batch.

    Attributes
    ----------
    lots
        Lots with pending items, by key.
    has_collected_runs
        Whether the first request for active runs in this term has been answered or timed out.
        Nothing is started before that.
    runs_requested_at
        When the workers were last asked for their active runs; -inf makes the next pass ask again.
    runs_by_replica, runs_by_worker
        Number of active runs, by name.
    completed_at
        When a lot was first seen without pending items, by key.
    worker_backoff_until
        Until when a worker gets no orders, by name.
    """

    __slots__ = (
        "node",
        "leader",
        "lots",
        "has_collected_runs",
        "runs_requested_at",
        "runs_by_replica",
        "runs_by_worker",
        "completed_at",
        "worker_backoff_until",
    )

    def __init__(self, node: Node, leader: Any) -> None:
        self.node = node
        self.leader = leader
        self.has_collected_runs = False
        self.runs_requested_at = -math.inf
        self.runs_by_replica: dict[str, int] = {}
        self.runs_by_worker: dict[str, int] = {}
        self.lots: dict[str, OpenLot] = {}
        self.completed_at: dict[str, float] = {}
        self.worker_backoff_until: dict[str, float] = {}
        for name, lot in lot_records(leader.state).items():
            self.sync(name, age_by_wall_clock(lot, node.runtime.wall_time()))

    def sync(self, name: str, age_seconds: float = 0.0) -> list[DetachedRun]:
        """Sync one lot with the committed state; return the runs of items no longer pending.

        `age_seconds` is the age of a lot that was accepted in an earlier term.
        """
        lot, open_lot = lot_records(self.leader.state).get(name), self.lots.get(name)
        if lot is None or not lot["items"]:
            self.lots.pop(name, None)
            self.completed_at.setdefault(name, self.node.now())
            removed_items = [] if open_lot is None else list(open_lot.items.values())
        elif open_lot is None:
            self.lots[name] = OpenLot(name, lot, self.node.now(), age_seconds)
            return []
        else:
            pending = lot["items"]
            removed_items = [
                item for number, item in open_lot.items.items() if number not in pending
            ]
            for item in removed_items:
                del open_lot.items[item.number]
        detached_runs = [
            DetachedRun(item.number, item.run) for item in removed_items if item.run is not None
        ]
        for item in removed_items:
            self.record_run_end(item)
        return detached_runs

    def lots_completed_for(self, seconds: float) -> list[str]:
        """Return the names of lots that have had no pending items for over `seconds`."""
        now, lots = self.node.now(), lot_records(self.leader.state)
        self.completed_at = {name: at for name, at in self.completed_at.items() if name in lots}
        return [name for name, at in self.completed_at.items() if now - at > seconds]

    def find(self, name: str, number: int | None) -> PendingItem | None:
        """Return the pending item of this lot and number, or None."""
        lot = self.lots.get(name)
        if lot is None or number is None:
            return None
        return lot.items.get(number)

    def record_run_start(self, item: PendingItem, run: DispatchedRun) -> None:
        """Record the start of an item's run."""
        item.run = run
        self.runs_by_replica[run.replica] = self.runs_by_replica.get(run.replica, 0) + 1
        self.runs_by_worker[run.worker] = self.runs_by_worker.get(run.worker, 0) + 1

    def record_run_end(self, item: PendingItem) -> None:
        """Record the end of an item's run, whatever its outcome."""
        run, item.run = item.run, None
        if run is not None:
            self.runs_by_replica[run.replica] -= 1
            self.runs_by_worker[run.worker] -= 1

    def back_off_worker(self, name: str) -> None:
        """Send no orders for one read timeout to a worker that refused one or did not answer."""
        self.worker_backoff_until[name] = self.node.now() + self.node.bounds.read_timeout

    def is_backing_off(self, name: str) -> bool:
        """Return whether orders to a worker are suspended now."""
        return self.worker_backoff_until.get(name, 0) > self.node.now()

    def running(self) -> list[PendingItem]:
        """Return the items with an active run."""
        return [
            item
            for lot in self.lots.values()
            for item in lot.items.values()
            if item.run is not None
        ]

    def lots_in_order(self, now: float) -> list[OpenLot]:
        """Return the lots by due time, with those that can no longer meet it last."""

        def order(lot: OpenLot) -> tuple[bool, float, str]:
            return lot.due_at - now < MIN_SECONDS_TO_DUE, lot.due_at, lot.name

        return sorted(self.lots.values(), key=order)
