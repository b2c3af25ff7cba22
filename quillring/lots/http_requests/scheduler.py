"""Schedule items at a part's leader: which item runs next, on which replica and worker."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping, Sequence
from typing import TYPE_CHECKING, Any

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import NotLeader, NotSent, QuillringError, TimedOut
from quillring.kernel.records import NamedTuple
from quillring.lots.http_requests import messages
from quillring.lots.http_requests.backlog import Backlog, SlotShare
from quillring.lots.http_requests.commands import (
    COUNT_FAILURE,
    END,
    LIST_RESULT,
    DropLot,
    ExpireLot,
    LotChange,
    Wire,
)
from quillring.lots.http_requests.concurrency_limits import ConcurrencyLimits
from quillring.lots.http_requests.item_executor import BROKEN, NOT_RUN, UNSENT
from quillring.lots.http_requests.item_table import (
    DetachedRun,
    DispatchedRun,
    ItemTable,
    PendingItem,
)
from quillring.lots.http_requests.lot_expiry import LotExpiry, is_lot_ended
from quillring.lots.http_requests.lot_placement import max_held_bytes_of_part
from quillring.lots.http_requests.lot_table import held_bytes, lot_records
from quillring.lots.http_requests.messages import (
    ActiveRun,
    RenewRuns,
    RequestToSend,
    RunItem,
    RunReport,
    StartedRun,
    StopRuns,
)
from quillring.lots.http_requests.worker_selection import Worker, choose_worker
from quillring.quorum.values import Ballot

if TYPE_CHECKING:
    from quillring.forward.types import Replica
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

ITEM_BACKOFF_SECONDS = {NOT_RUN: 0.2, UNSENT: 0.1, BROKEN: 0.05}
FAILED_ITEM_BACKOFF_SECONDS = 0.3
MAX_BACKOFF_FACTOR = 10
"""Upper bound of the factor by which an item's backoff grows. The backoff after a run without a
result is the time for its outcome, multiplied by the item's number of failures."""
DUE_SOON_SECONDS = 2.5
"""An item with less time left is due soon: it gets a larger share of the slots and more urgency."""
START_GRACE_SECONDS = 0.3
"""A run that started less than this before the request may be missing from a worker's answer."""
COMPLETED_LOT_RETENTION_SECONDS, MAX_DROPS_PER_CHECK = 900, 8
DEFAULT_URGENCY, DUE_SOON_URGENCY = 7, 6


class RemoteRun(NamedTuple):
    """An active run that a worker reported."""

    worker: str
    run: ActiveRun


RunsByItem = Mapping[tuple[str, int], RemoteRun]
"""Reported runs by the item's lot and number."""


class Dispatch(NamedTuple):
    """The choices for an item's next run, except for its worker."""

    forward: Any
    replica: Replica
    is_due_soon: bool


class SchedulingPass:
    """One scheduling pass over the items of a part.

    Attributes
    ----------
    workers
        The workers that may get orders.
    full_services
        Pairs (service, is_due_soon) for which no replica has a free slot for further items.
    slot_shares
        The part's share of the slots, by service.
    """

    __slots__ = ("now", "workers", "full_services", "slot_shares")

    def __init__(self, now: float, workers: Sequence[Worker]) -> None:
        self.now = now
        self.workers = workers
        self.full_services: set[tuple[str, bool]] = set()
        self.slot_shares: dict[str, SlotShare] = {}


class LotScheduler:
    """Dispatches the items of lots in the parts led here until each has a result.

    It has an item table for each part led here, the concurrency limits and the backlog.
    """

    __slots__ = ("node", "item_tables", "limits", "backlog", "expiry")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.item_tables: dict[str, ItemTable] = {}
        self.limits = ConcurrencyLimits(node)
        self.backlog: Backlog = node.offer("raw_demand", Backlog(node))
        self.expiry = LotExpiry(node)
        node.handle(messages.REPORT, self.on_report)
        node.find("nifty").listeners.append(self._on_graph_change)

    def _on_graph_change(self, graph: Any) -> None:
        """Make the next pass ask all workers for their runs, since a worker may be lost."""
        for item_table in self.item_tables.values():
            item_table.runs_requested_at = -math.inf

    def on_batch(self, leader: Any, batch: Sequence[Wire]) -> None:
        """Apply a committed batch to the part's item table.

        The table is created when this core becomes the part's leader, and removed when another
        one does.
        """
        item_table = self.item_tables.get(leader.part)
        is_same_term = item_table is not None and item_table.leader is leader
        if not leader.is_leader:
            if is_same_term:
                del self.item_tables[leader.part]
                self.backlog.update(leader.part, None)
            return
        if item_table is None or not is_same_term:
            item_table = self.item_tables[leader.part] = ItemTable(self.node, leader)
        else:
            self._apply_batch(item_table, batch)
        self.backlog.update(leader.part, item_table)

    def _apply_batch(self, item_table: ItemTable, batch: Sequence[Wire]) -> None:
        """Sync changed lots, requeue items with failed runs, stop runs of items not pending."""
        changes = [change for change in map(LotChange.from_wire, batch) if change is not None]
        completed_run_ids = {change.run_id for change in changes if change.kind == LIST_RESULT}
        for change in changes:
            item = item_table.find(change.lot, change.number)
            if change.kind == COUNT_FAILURE and item is not None:
                self._requeue(item_table, item, change.run_id, FAILED_ITEM_BACKOFF_SECONDS)
            detached_runs = item_table.sync(change.lot)
            numbers_to_stop = self._record_detached_runs(detached_runs, completed_run_ids)
            if numbers_to_stop or change.kind == END:
                self.node.spawn(self._stop_runs(change.lot, numbers_to_stop))

    def _record_detached_runs(
        self, detached_runs: Sequence[DetachedRun], completed_run_ids: Collection[str | None]
    ) -> list[int]:
        """Record the completed runs as successes; return the item numbers of the runs to stop."""
        numbers_to_stop = []
        for detached in detached_runs:
            if detached.run.id in completed_run_ids:
                self.limits.record_success(detached.run)
            else:
                numbers_to_stop.append(detached.number)
        return numbers_to_stop

    def _stop_runs(self, lot_name: str, numbers: Sequence[int]) -> Coroutine:
        """Order every core to stop runs of a lot: those of `numbers`, or all if the lot was ended.

        A call without an answer is repeated once, since messages may be lost.
        """
        is_ended = is_lot_ended(self.node, lot_name)
        body = StopRuns(lot_name, None if is_ended else numbers).to_wire()
        calls = [(name, messages.STOP_RUNS, body) for name in self._reachable_cores()]
        yield from self.node.gather(calls, len(calls), self.node.bounds.call_timeout, True)

    def _reachable_cores(self) -> list[str]:
        """Return the names of all cores that this node reaches."""
        ownership, nifty = self.node.find("ownership"), self.node.find("nifty")
        return [name for name in ownership.cores() if nifty.reaches(name)]

    def run(self) -> Coroutine:
        """Start pending items and run the periodic checks, for each part led here."""
        ownership, me, bounds = self.node.find("ownership"), self.node.me, self.node.bounds
        while True:
            yield Sleep(bounds.gossip_interval / 2)
            for item_table in list(self.item_tables.values()):
                if not item_table.leader.has_lease():
                    continue
                has_collected_runs = item_table.has_collected_runs
                seconds = bounds.read_timeout if has_collected_runs else bounds.call_timeout
                if self.node.now() - item_table.runs_requested_at >= seconds:
                    item_table.runs_requested_at = self.node.now()
                    self._run_periodic_checks(item_table)
                is_ready = item_table.has_collected_runs and item_table.lots
                if is_ready and not ownership.is_leaving(me.name):
                    self._start_items(item_table)

    def _run_periodic_checks(self, item_table: ItemTable) -> None:
        """Find lost runs, expire lots past their retention, and drop old complete lots.

        Complete lots are dropped only while the part's lots take over half of their limit in bytes.
        """
        leader = item_table.leader
        if item_table.lots:
            self.node.spawn(self._renew_runs(item_table))
            for name in self.expiry.expired_lots(item_table):
                self.node.spawn(leader.submit(ExpireLot(name).to_wire()))
        else:
            item_table.has_collected_runs = True
        if held_bytes(leader.state) > max_held_bytes_of_part(self.node) / 2:
            for name in item_table.lots_completed_for(COMPLETED_LOT_RETENTION_SECONDS)[
                :MAX_DROPS_PER_CHECK
            ]:
                self.node.spawn(leader.submit(DropLot(name).to_wire()))

    def _renew_runs(self, item_table: ItemTable) -> Coroutine:
        """Ask all cores for their active runs; adopt unknown runs, and end lost ones."""
        leader, requested_at = item_table.leader, self.node.now()
        body = RenewRuns(leader.part, Ballot.from_wire(leader.ballot)).to_wire()
        calls = [(name, messages.RENEW_RUNS, body) for name in self._reachable_cores()]
        replies = yield from self.node.gather(
            calls, len(calls), self.node.bounds.call_timeout, True
        )
        reports_by_worker = {
            worker: [ActiveRun.from_wire(fields) for fields in reply]
            for worker, reply in replies.items()
            if not isinstance(reply, QuillringError)
        }
        remote_runs = {
            (run.lot, run.number): RemoteRun(worker, run)
            for worker, runs in reports_by_worker.items()
            for run in runs
        }
        self._reconcile_remote_runs(item_table, remote_runs)
        item_table.has_collected_runs = True
        self._end_lost_runs(item_table, remote_runs, reports_by_worker, requested_at)

    def _reconcile_remote_runs(self, item_table: ItemTable, remote_runs: RunsByItem) -> None:
        """Adopt runs that a former leader ordered, and stop runs whose item is not pending."""
        now = self.node.now()
        for (lot_name, number), remote in remote_runs.items():
            item, run = item_table.find(lot_name, number), remote.run
            if item is None:
                if item_table.leader.is_leader:
                    self.node.spawn(self._stop_runs(lot_name, [number]))
            elif item.run is None:
                self.node.count("raw_runs_taken_over")
                adopted_run = DispatchedRun(
                    run.run_id, remote.worker, run.service, run.replica, now
                )
                item_table.record_run_start(item, adopted_run)
            elif item.run.id == run.run_id:
                item.run.last_reported_at = now

    def _end_lost_runs(
        self,
        item_table: ItemTable,
        remote_runs: RunsByItem,
        reports_by_worker: Collection[str],
        requested_at: float,
    ) -> None:
        """End runs that their worker does not report, and those of unresponsive or lost workers."""
        now, nifty = self.node.now(), self.node.find("nifty")
        for item in item_table.running():
            run = item.run
            if run is None or (item.lot, item.number) in remote_runs:
                continue
            is_unreported = (
                run.worker in reports_by_worker
                and run.started_at < requested_at - START_GRACE_SECONDS
            )
            is_overdue = now - run.last_reported_at > self.node.bounds.read_timeout * 3
            if is_unreported or is_overdue or not nifty.reaches(run.worker):
                self.node.count("raw_runs_lost")
                item_table.record_run_end(item)

    def _start_items(self, item_table: ItemTable) -> None:
        """Start items lot by lot, in order of due time; skip services found full in this pass."""
        now, forwards = self.node.now(), self.node.find("forwards")
        waiting = [(lot, lot.startable_items(now)) for lot in item_table.lots_in_order(now)]
        if not any(items for _lot, items in waiting):
            return
        if not self.node.find("freshness").is_fresh():
            return
        scheduling_pass = SchedulingPass(now, self._available_workers(item_table))
        for lot, items in waiting:
            forward = forwards.find_by_name(lot.forward)
            if forward is None:
                continue
            is_due_soon = lot.due_at - now < DUE_SOON_SECONDS
            for item in items:
                self._start_item(item_table, item, forward, is_due_soon, scheduling_pass)

    def _start_item(
        self,
        item_table: ItemTable,
        item: PendingItem,
        forward: Any,
        is_due_soon: bool,
        scheduling_pass: SchedulingPass,
    ) -> None:
        """Dispatch an item if a replica has a free slot for it."""
        now, service = scheduling_pass.now, forward.pick_service(str(item.number))
        if (service, is_due_soon) in scheduling_pass.full_services:
            return
        avoided_names = item.replicas_to_avoid(now)
        slot_share = self._slot_share(item_table, service, scheduling_pass)
        replica = self.limits.choose_replica(
            service, item_table, is_due_soon, avoided_names, slot_share, now
        )
        if replica is not None:
            self.limits.record_start(replica, slot_share, now)
            dispatch = Dispatch(forward, replica, is_due_soon)
            self._dispatch(item_table, item, dispatch, scheduling_pass.workers)
        elif not avoided_names:
            scheduling_pass.full_services.add((service, is_due_soon))

    def _slot_share(
        self, item_table: ItemTable, service: str, scheduling_pass: SchedulingPass
    ) -> SlotShare:
        """Return the part's share of a service's slots, computed once in each pass."""
        slot_share = scheduling_pass.slot_shares.get(service)
        if slot_share is None:
            slots = self.limits.slots(service, scheduling_pass.now)
            slot_share = self.backlog.slot_share(item_table.leader.part, service, slots)
            scheduling_pass.slot_shares[service] = slot_share
        return slot_share

    def _dispatch(
        self,
        item_table: ItemTable,
        item: PendingItem,
        dispatch: Dispatch,
        workers: Sequence[Worker],
    ) -> None:
        """Choose a worker and order it to run the item; do nothing if none is available."""
        replica = dispatch.replica
        worker, now = choose_worker(item_table, workers, replica), self.node.now()
        if worker is None:
            return
        run_id = f"{self.node.runtime.random.getrandbits(64):016x}"
        run = DispatchedRun(run_id, worker, replica.service, replica.name, now)
        item_table.record_run_start(item, run)
        self.node.spawn(self._send_to_worker(item_table, item, run, dispatch))

    def _available_workers(self, item_table: ItemTable) -> list[Worker]:
        """Return the cores that may get orders, in the part's order of candidates."""
        ownership = self.node.find("ownership")
        members = self.node.find("nifty").roster.members
        candidates = ownership.candidates(item_table.leader.part)
        names = [name for name in candidates if not ownership.is_leaving(name)]
        return [
            Worker(name, members[name].zone)
            for name in names
            if not item_table.is_backing_off(name)
        ]

    def _send_to_worker(
        self, item_table: ItemTable, item: PendingItem, run: DispatchedRun, dispatch: Dispatch
    ) -> Coroutine:
        """Order the worker to run an item; requeue the item if it certainly was not started.

        After a timeout the item may be running, so its run stays active until the worker's next
        report.
        """
        leader = item_table.leader
        lot = lot_records(leader.state).get(item.lot)
        if lot is None or item.number not in lot["items"] or item.run is not run:
            return
        if not leader.has_lease():
            item_table.record_run_end(item)
            return
        order = RunItem(
            part=leader.part,
            ballot=Ballot.from_wire(leader.ballot),
            lot=item.lot,
            number=item.number,
            run_id=run.id,
            service=run.service,
            replica=run.replica,
            forward=dispatch.forward.name,
            host=lot["host"],
            request=RequestToSend.from_stored_item(lot["items"][item.number]),
            last_event_id=item.last_event_id,
            text=item.text,
            urgency=DUE_SOON_URGENCY if dispatch.is_due_soon else DEFAULT_URGENCY,
        )
        try:
            answer = yield from self.node.call(
                run.worker, messages.RUN_ITEM, order.to_wire(), self.node.bounds.read_timeout
            )
            run.id = StartedRun.from_wire(answer).run_id
        except TimedOut:
            self.node.count("raw_starts_unsure")
            item_table.back_off_worker(run.worker)
        except NotSent:
            self.limits.record_failure(run, UNSENT, self.node.now())
            self._requeue(item_table, item, run.id, ITEM_BACKOFF_SECONDS[UNSENT])
        except QuillringError as error:
            self.node.count(f"raw_starts_{error.kind}")
            item_table.back_off_worker(run.worker)
            if item.run is run:
                item_table.record_run_end(item)

    def _requeue(
        self, item_table: ItemTable, item: PendingItem, run_id: str | None, seconds: float
    ) -> None:
        """Requeue an item with backoff after its run `run_id` ended without a result."""
        if item.run is None or item.run.id != run_id:
            return
        item.avoided_replicas = item.avoided_replicas | {item.run.replica}
        item.failures += 1
        item.ready_at = self.node.now() + seconds * min(item.failures, MAX_BACKOFF_FACTOR)
        item_table.record_run_end(item)

    def on_report(self, body: messages.Wire, origin: str) -> dict[str, bool]:
        """Record a worker's report of a run that ended without a result, with its partial text."""
        report = RunReport.from_wire(body)
        item_table = self.item_tables.get(report.part or "")
        if item_table is None or not item_table.leader.is_leader:
            raise NotLeader(part=report.part)
        item = item_table.find(report.lot, report.number)
        if item is None:
            return {"taken": False}
        self._record_progress(item, report)
        if item.run is not None and item.run.id == report.run_id:
            self.limits.record_failure(item.run, report.outcome, self.node.now())
        self._requeue(item_table, item, report.run_id, ITEM_BACKOFF_SECONDS[report.outcome])
        return {"taken": True}

    def _record_progress(self, item: PendingItem, report: RunReport) -> None:
        """Store a report's partial text and reset the failures if the run made progress."""
        reported_event_id, stored_event_id = report.last_event_id, item.last_event_id
        if reported_event_id is not None and (
            stored_event_id is None or reported_event_id > stored_event_id
        ):
            item.last_event_id, item.text, item.failures = reported_event_id, report.text, 0
