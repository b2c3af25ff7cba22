"""Schedule items at a part's leader: which runs next, on which replica, sent by which core."""

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
from quillring.lots.http_requests.item_table import DispatchedRun, ItemTable, LeftRun, PendingItem
from quillring.lots.http_requests.lot_expiry import LotExpiry, is_lot_ended
from quillring.lots.http_requests.lot_placement import held_limit_of_part
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

PAUSE_SECONDS = {NOT_RUN: 0.2, UNSENT: 0.1, BROKEN: 0.05}
FAILED_PAUSE_SECONDS = 0.3
MOST_PAUSES = 10
"""How long an item waits after a run without a result: so long, times its failures up to this."""
NEAR_SECONDS = 2.5
"""An item that is due sooner gets more of the slots and more urgency."""
SETTLED_SECONDS = 0.3
"""A run that began so short ago may not be known to its worker yet."""
KEPT_SECONDS, DROPS_AT_ONCE = 900, 8
CALM_URGENCY, NEAR_URGENCY = 7, 6


class RemoteRun(NamedTuple):
    """An active run, as its worker reported it."""

    worker: str
    run: ActiveRun


RunsByItem = Mapping[tuple[str, int], RemoteRun]
"""Runs by lot and number of the item."""


class Dispatch(NamedTuple):
    """The decision on an item's next run, without its worker."""

    forward: Any
    replica: Replica
    is_near: bool


class StartRound:
    """One scheduling pass: its workers, and what it found out about each service so far."""

    __slots__ = ("now", "workers", "full_services", "slot_shares")

    def __init__(self, now: float, workers: Sequence[Worker]) -> None:
        self.now = now
        self.workers = workers
        self.full_services: set[tuple[str, bool]] = set()
        self.slot_shares: dict[str, SlotShare] = {}


class LotScheduler:
    """Dispatches the items of lots in the parts led here until each has a result.

    It owns an item table for each led part, the concurrency limits and the backlog.
    """

    __slots__ = ("node", "item_tables", "limits", "backlog", "expiry")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.item_tables: dict[str, ItemTable] = {}
        self.limits = ConcurrencyLimits(node)
        self.backlog: Backlog = node.offer("raw_demand", Backlog(node))
        self.expiry = LotExpiry(node)
        node.handle(messages.REPORT, self.on_report)
        node.find("nifty").listeners.append(self._on_graph)

    def _on_graph(self, graph: Any) -> None:
        """Make the next pass ask all workers for their runs: one may be lost."""
        for item_table in self.item_tables.values():
            item_table.renewed_at = -math.inf

    def on_batch(self, leader: Any, batch: Sequence[Wire]) -> None:
        """Apply a committed batch to the item table; create or remove it with the leadership."""
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
            self._follow_batch(item_table, batch)
        self.backlog.update(leader.part, item_table)

    def _follow_batch(self, item_table: ItemTable, batch: Sequence[Wire]) -> None:
        changes = [change for change in map(LotChange.from_wire, batch) if change is not None]
        done_runs = {change.run_id for change in changes if change.kind == LIST_RESULT}
        for change in changes:
            item = item_table.find(change.lot, change.number)
            if change.kind == COUNT_FAILURE and item is not None:
                self._requeue(item_table, item, change.run_id, FAILED_PAUSE_SECONDS)
            left_runs = item_table.sync(change.lot)
            stray_numbers = self._record_left_runs(left_runs, done_runs)
            if stray_numbers or change.kind == END:
                self.node.spawn(self._stop_runs(change.lot, stray_numbers))

    def _record_left_runs(
        self, left_runs: Sequence[LeftRun], done_runs: Collection[str | None]
    ) -> list[int]:
        """Record the completed runs as successes; return the item numbers of the others."""
        stray_numbers = []
        for left in left_runs:
            if left.run.id in done_runs:
                self.limits.record_success(left.run)
            else:
                stray_numbers.append(left.number)
        return stray_numbers

    def _stop_runs(self, lot_name: str, numbers: Sequence[int]) -> Coroutine:
        """Order every core to stop runs of a lot, twice since messages may be lost."""
        is_ended = is_lot_ended(self.node, lot_name)
        body = StopRuns(lot_name, None if is_ended else numbers).to_wire()
        calls = [(name, messages.STOP_RUNS, body) for name in self._reachable_cores()]
        yield from self.node.gather(calls, len(calls), self.node.bounds.call_timeout, True)

    def _reachable_cores(self) -> list[str]:
        ownership, nifty = self.node.find("ownership"), self.node.find("nifty")
        return [name for name in ownership.cores() if nifty.reaches(name)]

    def run(self) -> Coroutine:
        """Start pending items and run the periodic checks, for every part led here."""
        ownership, me, bounds = self.node.find("ownership"), self.node.me, self.node.bounds
        while True:
            yield Sleep(bounds.gossip_interval / 2)
            for item_table in list(self.item_tables.values()):
                if not item_table.leader.has_lease():
                    continue
                has_heard = item_table.has_heard_workers
                seconds = bounds.read_timeout if has_heard else bounds.call_timeout
                if self.node.now() - item_table.renewed_at >= seconds:
                    item_table.renewed_at = self.node.now()
                    self._run_periodic_checks(item_table)
                is_ready = item_table.has_heard_workers and item_table.lots
                if is_ready and not ownership.is_leaving(me.name):
                    self._start_items(item_table)

    def _run_periodic_checks(self, item_table: ItemTable) -> None:
        """Find lost runs, and expire or drop lots past their time."""
        leader = item_table.leader
        if item_table.lots:
            self.node.spawn(self._renew_runs(item_table))
            for name in self.expiry.expired_lots(item_table):
                self.node.spawn(leader.submit(ExpireLot(name).to_wire()))
        else:
            item_table.has_heard_workers = True
        if held_bytes(leader.state) > held_limit_of_part(self.node) / 2:
            for name in item_table.lots_done_for(KEPT_SECONDS)[:DROPS_AT_ONCE]:
                self.node.spawn(leader.submit(DropLot(name).to_wire()))

    def _renew_runs(self, item_table: ItemTable) -> Coroutine:
        """Ask all cores for their active runs; adopt unknown ones, requeue items of lost ones."""
        leader, asked_at = item_table.leader, self.node.now()
        body = RenewRuns(leader.part, Ballot.from_wire(leader.ballot)).to_wire()
        calls = [(name, messages.RENEW_RUNS, body) for name in self._reachable_cores()]
        replies = yield from self.node.gather(
            calls, len(calls), self.node.bounds.call_timeout, True
        )
        heard = {
            worker: [ActiveRun.from_wire(fields) for fields in reply]
            for worker, reply in replies.items()
            if not isinstance(reply, QuillringError)
        }
        remote_runs = {
            (run.lot, run.number): RemoteRun(worker, run)
            for worker, runs in heard.items()
            for run in runs
        }
        self._follow_remote_runs(item_table, remote_runs)
        item_table.has_heard_workers = True
        self._end_lost_runs(item_table, remote_runs, heard, asked_at)

    def _follow_remote_runs(self, item_table: ItemTable, remote_runs: RunsByItem) -> None:
        """Adopt runs that a former leader ordered, and stop those that no item needs."""
        now = self.node.now()
        for (lot_name, number), remote in remote_runs.items():
            item, run = item_table.find(lot_name, number), remote.run
            if item is None:
                if item_table.leader.is_leader:
                    self.node.spawn(self._stop_runs(lot_name, [number]))
            elif item.run is None:
                self.node.count("raw_runs_taken_over")
                taken_run = DispatchedRun(run.run_id, remote.worker, run.service, run.replica, now)
                item_table.begin_run(item, taken_run)
            elif item.run.id == run.run_id:
                item.run.heard_at = now

    def _end_lost_runs(
        self,
        item_table: ItemTable,
        remote_runs: RunsByItem,
        heard: Collection[str],
        asked_at: float,
    ) -> None:
        """Requeue items whose worker does not report their run, or is lost."""
        now, nifty = self.node.now(), self.node.find("nifty")
        for item in item_table.running():
            run = item.run
            if run is None or (item.lot, item.number) in remote_runs:
                continue
            is_denied = run.worker in heard and run.started_at < asked_at - SETTLED_SECONDS
            is_overdue = now - run.heard_at > self.node.bounds.read_timeout * 3
            if is_denied or is_overdue or not nifty.reaches(run.worker):
                self.node.count("raw_runs_lost")
                item_table.end_run(item)

    def _start_items(self, item_table: ItemTable) -> None:
        """Start items lot by lot, by due time; skip services that were full in this pass."""
        now, forwards = self.node.now(), self.node.find("forwards")
        waiting = [(lot, lot.waiting(now)) for lot in item_table.lots_in_order(now)]
        if not any(items for _lot, items in waiting):
            return
        if not self.node.find("freshness").is_fresh():
            return
        start_round = StartRound(now, self._available_workers(item_table))
        for lot, items in waiting:
            forward = forwards.find_by_name(lot.forward)
            if forward is None:
                continue
            is_near = lot.due_at - now < NEAR_SECONDS
            for item in items:
                self._start_item(item_table, item, forward, is_near, start_round)

    def _start_item(
        self,
        item_table: ItemTable,
        item: PendingItem,
        forward: Any,
        is_near: bool,
        start_round: StartRound,
    ) -> None:
        """Dispatch an item if a replica has room for it."""
        now, service = start_round.now, forward.pick_service(str(item.number))
        if (service, is_near) in start_round.full_services:
            return
        avoided_names = item.avoided_at(now)
        slot_share = self._slot_share(item_table, service, start_round)
        replica = self.limits.choose_replica(
            service, item_table, is_near, avoided_names, slot_share, now
        )
        if replica is not None:
            self.limits.record_start(replica, slot_share, now)
            dispatch = Dispatch(forward, replica, is_near)
            self._dispatch(item_table, item, dispatch, start_round.workers)
        elif not avoided_names:
            start_round.full_services.add((service, is_near))

    def _slot_share(
        self, item_table: ItemTable, service: str, start_round: StartRound
    ) -> SlotShare:
        known = start_round.slot_shares.get(service)
        if known is None:
            slots = self.limits.slots(service, start_round.now)
            known = self.backlog.slot_share(item_table.leader.part, service, slots)
            start_round.slot_shares[service] = known
        return known

    def _dispatch(
        self,
        item_table: ItemTable,
        item: PendingItem,
        dispatch: Dispatch,
        workers: Sequence[Worker],
    ) -> None:
        """Choose the worker and send it the order."""
        replica = dispatch.replica
        worker, now = choose_worker(item_table, workers, replica), self.node.now()
        if worker is None:
            return
        run_id = f"{self.node.runtime.random.getrandbits(64):016x}"
        run = DispatchedRun(run_id, worker, replica.service, replica.name, now)
        item_table.begin_run(item, run)
        self.node.spawn(self._send_to_worker(item_table, item, run, dispatch))

    def _available_workers(self, item_table: ItemTable) -> list[Worker]:
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
        """Order the worker to run an item; requeue one that certainly was not started."""
        leader = item_table.leader
        lot = lot_records(leader.state).get(item.lot)
        if lot is None or item.number not in lot["items"] or item.run is not run:
            return
        if not leader.has_lease():
            item_table.end_run(item)
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
            urgency=NEAR_URGENCY if dispatch.is_near else CALM_URGENCY,
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
            self._requeue(item_table, item, run.id, PAUSE_SECONDS[UNSENT])
        except QuillringError as error:
            self.node.count(f"raw_starts_{error.kind}")
            item_table.back_off_worker(run.worker)
            if item.run is run:
                item_table.end_run(item)

    def _requeue(
        self, item_table: ItemTable, item: PendingItem, run_id: str | None, seconds: float
    ) -> None:
        """Requeue an item after its run ended without a result."""
        if item.run is None or item.run.id != run_id:
            return
        item.avoided_replicas = item.avoided_replicas | {item.run.replica}
        item.failures += 1
        item.ready_at = self.node.now() + seconds * min(item.failures, MOST_PAUSES)
        item_table.end_run(item)

    def on_report(self, body: messages.Wire, origin: str) -> dict[str, bool]:
        """Record a report of a run that ended without a result, with its partial text."""
        report = RunReport.from_wire(body)
        item_table = self.item_tables.get(report.part or "")
        if item_table is None or not item_table.leader.is_leader:
            raise NotLeader(part=report.part)
        item = item_table.find(report.lot, report.number)
        if item is None:
            return {"taken": False}
        self._keep_text(item, report)
        if item.run is not None and item.run.id == report.run_id:
            self.limits.record_failure(item.run, report.outcome, self.node.now())
        self._requeue(item_table, item, report.run_id, PAUSE_SECONDS[report.outcome])
        return {"taken": True}

    def _keep_text(self, item: PendingItem, report: RunReport) -> None:
        """Keep the longer partial text; progress resets the count of failures."""
        last, known = report.last_event_id, item.last_event_id
        if last is not None and (known is None or last > known):
            item.last_event_id, item.text, item.failures = last, report.text, 0
