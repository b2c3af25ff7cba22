"""A part leader's soft state about its lots' items: which are pending, which run and where."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from quillring.kernel.records import NamedTuple
from quillring.lots.http_requests.lot_table import LotRecord, lot_records

if TYPE_CHECKING:
    from quillring.kernel.node import Node

LEAST_SECONDS_TO_DUE = 1.0
"""A lot that is due sooner is past hope and comes after those that can still be in time."""
AVOIDED_SECONDS = 1.0
"""An item that waited so long in vain may go to any replica again."""


class DispatchedRun:
    """A run as its leader sees it; `id` is the worker's id for it."""

    __slots__ = ("id", "worker", "service", "replica", "started_at", "heard_at")

    def __init__(self, run_id: str, worker: str, service: str, replica: str, now: float) -> None:
        self.id = run_id
        self.worker = worker
        self.service = service
        self.replica = replica
        self.started_at = now
        self.heard_at = now


class PendingItem:
    """An item without a result: its partial text, backoff, and the active run if any."""

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

    def avoided_at(self, now: float) -> frozenset[str]:
        """Return the replicas to avoid; none once the item has been ready for AVOIDED_SECONDS."""
        if now - self.ready_at < AVOIDED_SECONDS:
            return self.avoided_replicas
        return frozenset()


class LeftRun(NamedTuple):
    """A run whose item is no longer pending."""

    number: int
    run: DispatchedRun


class OpenLot:
    """A lot with pending items: when it is due, and since when this leader knows it."""

    __slots__ = ("name", "forward", "due_at", "known_at", "retain_seconds", "items")

    def __init__(self, name: str, lot: LotRecord, now: float, age_seconds: float) -> None:
        self.name = name
        self.forward = lot["forward"]
        self.due_at = now - age_seconds + lot["due_ms"] / 1000
        self.known_at = now
        self.retain_seconds = lot["retain_ms"] / 1000
        self.items = {number: PendingItem(name, number) for number in lot["items"]}

    def waiting(self, now: float) -> list[PendingItem]:
        """Return the items that may start now, in order of submission."""
        return [item for item in self.items.values() if item.run is None and item.ready_at <= now]


def age_by_wall(lot: LotRecord, wall_seconds: float) -> float:
    """Return the age of a lot in seconds at a change of leader, by wall clocks.

    Wall clocks may differ between machines, so it is only used for the order in which lots run.
    """
    age_seconds = max(0.0, wall_seconds - lot["at"] / 1000)
    return min(age_seconds, lot["due_ms"] / 1000)


class ItemTable:
    """The items of a part during one term of leadership, synced with each committed batch.

    Attributes
    ----------
    has_heard_workers
        Whether the first request for active runs in this term has been answered or timed out;
        nothing is started before.
    renewed_at
        When the workers were last asked; -inf makes the next pass ask.
    done_since
        Since when a lot has had no pending items, by lot.
    worker_backoff_until
        Until when a worker gets no orders, by name.
    """

    __slots__ = (
        "node",
        "leader",
        "lots",
        "has_heard_workers",
        "renewed_at",
        "runs_by_replica",
        "runs_by_worker",
        "done_since",
        "worker_backoff_until",
    )

    def __init__(self, node: Node, leader: Any) -> None:
        self.node = node
        self.leader = leader
        self.has_heard_workers = False
        self.renewed_at = -math.inf
        self.runs_by_replica: dict[str, int] = {}
        self.runs_by_worker: dict[str, int] = {}
        self.lots: dict[str, OpenLot] = {}
        self.done_since: dict[str, float] = {}
        self.worker_backoff_until: dict[str, float] = {}
        for name, lot in lot_records(leader.state).items():
            self.sync(name, age_by_wall(lot, node.runtime.wall_time()))

    def sync(self, name: str, age_seconds: float = 0.0) -> list[LeftRun]:
        """Sync one lot with the state; return the runs of items that are no longer pending.

        `age_seconds` is the age of a lot that an earlier term committed.
        """
        lot, known = lot_records(self.leader.state).get(name), self.lots.get(name)
        if lot is None or not lot["items"]:
            self.lots.pop(name, None)
            self.done_since.setdefault(name, self.node.now())
            gone_items = [] if known is None else list(known.items.values())
        elif known is None:
            self.lots[name] = OpenLot(name, lot, self.node.now(), age_seconds)
            return []
        else:
            pending = lot["items"]
            gone_items = [item for number, item in known.items.items() if number not in pending]
            for item in gone_items:
                del known.items[item.number]
        left_runs = [LeftRun(item.number, item.run) for item in gone_items if item.run is not None]
        for item in gone_items:
            self.end_run(item)
        return left_runs

    def lots_done_for(self, seconds: float) -> list[str]:
        """Return the names of lots that have had no pending items for over `seconds`."""
        now, held = self.node.now(), lot_records(self.leader.state)
        self.done_since = {name: at for name, at in self.done_since.items() if name in held}
        return [name for name, at in self.done_since.items() if now - at > seconds]

    def find(self, name: str, number: int | None) -> PendingItem | None:
        """Return the pending item of this lot and number, or None."""
        lot = self.lots.get(name)
        if lot is None or number is None:
            return None
        return lot.items.get(number)

    def begin_run(self, item: PendingItem, run: DispatchedRun) -> None:
        """Record the start of an item's run."""
        item.run = run
        self.runs_by_replica[run.replica] = self.runs_by_replica.get(run.replica, 0) + 1
        self.runs_by_worker[run.worker] = self.runs_by_worker.get(run.worker, 0) + 1

    def end_run(self, item: PendingItem) -> None:
        """Record the end of an item's run, whatever its outcome."""
        run, item.run = item.run, None
        if run is not None:
            self.runs_by_replica[run.replica] -= 1
            self.runs_by_worker[run.worker] -= 1

    def back_off_worker(self, name: str) -> None:
        """Back off from a worker that refused an order or did not answer."""
        self.worker_backoff_until[name] = self.node.now() + self.node.bounds.read_timeout

    def is_backing_off(self, name: str) -> bool:
        """Return whether a worker gets no orders now."""
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
        """Return the lots by due time; those that can no longer be in time come last."""

        def order(lot: OpenLot) -> tuple[bool, float, str]:
            return lot.due_at - now < LEAST_SECONDS_TO_DUE, lot.due_at, lot.name

        return sorted(self.lots.values(), key=order)
