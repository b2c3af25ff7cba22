"""Execute items on any core, one attempt for each order of the part's leader.

The leader chooses the replica and the event to resume after. The worker submits a complete result
to the part's current leader, so a finished run survives a change of leader.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from quillring.forward.attempt import is_not_run, is_sealed, open_response
from quillring.forward.events import EventReader
from quillring.forward.request import Request
from quillring.kernel.effects import ReadBody, Sleep
from quillring.kernel.errors import BackendError, Fenced, NotSent, QuillringError, Refused
from quillring.lots.http_requests import messages
from quillring.lots.http_requests.commands import CountFailure, ListResult
from quillring.lots.http_requests.lot_table import ERRORED, FINISHED
from quillring.lots.http_requests.messages import (
    ActiveRun,
    RenewRuns,
    RunItem,
    RunReport,
    StartedRun,
    StopRuns,
)

if TYPE_CHECKING:
    from quillring.forward.events import Event
    from quillring.forward.load_balancer import InFlightRequest
    from quillring.forward.types import Replica
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.quorum.values import Ballot

COMPLETE = "whole"
"""The stream ended at an event boundary, with at least one event."""
REJECTED = "dead"
"""The replica answered 422: the item can't succeed on any replica."""
FAILED = "failed"
"""The replica answered 500: the run failed."""
NOT_RUN = "not_run"
"""The replica answered that it did not run the item."""
BROKEN = "broken"
"""The stream was interrupted; the item may have run."""
UNSENT = "unsent"
"""Nothing reached the replica."""

TEXT_LIMIT_BYTES = 4 << 20


class ItemRun:
    """One attempt at an item: the text received so far, and the connection to the replica."""

    __slots__ = (
        "part",
        "lot",
        "number",
        "id",
        "service",
        "replica",
        "last_event_id",
        "text",
        "handle",
        "is_stopped",
    )

    def __init__(self, order: RunItem) -> None:
        self.part = order.part
        self.lot = order.lot
        self.number = order.number
        self.id = order.run_id
        self.service = order.service
        self.replica = order.replica
        self.last_event_id = order.last_event_id
        self.text = [] if order.last_event_id is None else [order.text]
        self.handle: Any = None
        self.is_stopped = False

    def stop(self) -> None:
        """Stop the run and close its connection to the replica."""
        self.is_stopped = True
        if self.handle is not None:
            self.handle.close()

    def to_active_run(self) -> ActiveRun:
        """Return the row for this run in the answer to `raw.renew`."""
        return ActiveRun(self.lot, self.number, self.id, self.service, self.replica)


class ItemExecutor:
    """Manages the active runs on this core, and fences orders of former leaders.

    Attributes
    ----------
    runs
        Active runs by run id.
    ballots
        The highest ballot seen, by part; an order with a lower one raises Fenced.
    """

    __slots__ = ("node", "runs", "ballots")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.runs: dict[str, ItemRun] = {}
        self.ballots: dict[str, Ballot] = {}
        node.handle(messages.RUN_ITEM, self.on_run)
        node.handle(messages.RENEW_RUNS, self.on_renew)
        node.handle(messages.STOP_RUNS, self.on_stop)

    def _check_ballot(self, part: str, ballot: Ballot) -> None:
        """Record a part's highest ballot; raise Fenced if the given ballot is lower."""
        highest = max(ballot, self.ballots.get(part, ballot))
        self.ballots = {**self.ballots, part: highest}
        if ballot < highest:
            raise Fenced(part=part, ballot=highest.to_wire())

    def on_run(self, body: messages.Wire, origin: str) -> dict[str, Any]:
        """Start a run, unless this core already has an active run of the item; return its id.

        Raises Refused, NotSent or Fenced if no run was started.
        """
        order = RunItem.from_wire(body)
        self._check_ballot(order.part, order.ballot)
        active = self._find_active(order)
        if active is not None:
            return StartedRun(active.id).to_wire()
        replica = self._replica_for(order)
        run = self.runs[order.run_id] = ItemRun(order)
        self.node.spawn(self._run(run, replica, order))
        return StartedRun(run.id).to_wire()

    def _find_active(self, order: RunItem) -> ItemRun | None:
        """Return the active run of the same item on this core, or None."""
        item_key = (order.part, order.lot, order.number)
        for run in self.runs.values():
            if (run.part, run.lot, run.number) == item_key and not run.is_stopped:
                return run
        return None

    def _replica_for(self, order: RunItem) -> Replica:
        """Return the replica that the order names.

        Raises Refused if this core can't carry out the order, NotSent if the replica is gone or
        may receive no requests.
        """
        node = self.node
        if node.is_draining:
            raise Refused(reason="draining")
        node.find("freshness").check()
        forward = node.find("forwards").find_by_name(order.forward)
        if forward is None or order.service not in dict(forward.split):
            raise Refused(reason="the layout names another service")
        replica: Replica | None = node.find("replicas").find(order.replica)
        if replica is None or replica.service != order.service:
            raise NotSent(replica=order.replica, reason="left")
        if not node.find("replicas").may_receive_requests(replica):
            raise NotSent(replica=order.replica, reason="left")
        return replica

    def on_renew(self, body: messages.Wire, origin: str) -> list[list[Any]]:
        """Return the active runs of a part to its leader; raise Fenced for a former leader."""
        query = RenewRuns.from_wire(body)
        self._check_ballot(query.part, query.ballot)
        runs = [run for run in self.runs.values() if run.part == query.part]
        return [run.to_active_run().to_wire() for run in runs]

    def on_stop(self, body: messages.Wire, origin: str) -> None:
        """Stop all runs of a lot, or only those of the given item numbers."""
        order = StopRuns.from_wire(body)
        for run in list(self.runs.values()):
            is_named = order.numbers is None or run.number in order.numbers
            if run.lot == order.lot and is_named:
                run.stop()

    def _run(self, run: ItemRun, replica: Replica, order: RunItem) -> Coroutine:
        """Execute a run and deliver its outcome unless it was stopped."""
        self.node.requests_in_flight += 1
        try:
            outcome = yield from self._send_item(run, replica, order)
            if not run.is_stopped:
                yield from self._deliver(run, outcome)
        finally:
            self.node.requests_in_flight -= 1
            self.runs.pop(run.id, None)

    def _send_item(self, run: ItemRun, replica: Replica, order: RunItem) -> Coroutine:
        """Send the item once and return the outcome; append the received text to the run."""
        node, stall_seconds = self.node, self.node.bounds.shutdown
        request = self._build_request(order)
        in_flight = node.find("placement").start_request(replica, request, is_batch=True)
        try:
            run.handle = yield from open_response(
                node,
                replica,
                request,
                run.last_event_id,
                order.urgency,
                deadline=node.now() + stall_seconds * 3,
                may_reuse=True,
                first_byte_timeout=stall_seconds / 2,
            )
            in_flight.record_response_head()
            return BROKEN if run.is_stopped else (yield from self._read_response(run, in_flight))
        except NotSent as error:
            self._record_failure(run, replica, error)
            return UNSENT
        except BackendError as error:
            self._record_failure(run, replica, error)
            return BROKEN
        finally:
            in_flight.finish()
            if run.handle is not None:
                run.handle.close()

    def _build_request(self, order: RunItem) -> Request:
        """Build the item's HTTP request, with the item id as request id and the forward's host."""
        header_names, item = self.node.find("dialect"), order.request
        replaced_names = {"host", header_names.request_id}
        headers = [("Host", order.host), (header_names.request_id, item.item_id)]
        headers.extend(
            (name, value) for name, value in item.headers if name.lower() not in replaced_names
        )
        return Request(header_names, "POST", item.target, headers, item.body)

    def _record_failure(self, run: ItemRun, replica: Replica, error: QuillringError) -> None:
        """Count an error; record it as the replica's failure unless this node caused it."""
        self.node.count(f"raw_{error.kind}")
        if not run.is_stopped and error.detail.get("reason") not in ("left", "no time left"):
            self.node.find("placement").record_failure(replica, isinstance(error, NotSent))

    def _read_response(self, run: ItemRun, in_flight: InFlightRequest) -> Coroutine:
        """Read the response's status and its events until the stream ends; return the outcome."""
        header_names, handle = self.node.find("dialect"), run.handle
        if is_not_run(header_names, handle):
            return NOT_RUN
        if handle.status in (500, 422):
            return FAILED if handle.status == 500 else REJECTED
        if handle.status != 200 or not is_sealed(header_names, handle):
            return BROKEN
        reader = EventReader(run.last_event_id)
        while (data := (yield from self._next_part(handle, in_flight))) is not None:
            in_flight.record_body_bytes(len(data))
            self._append_events(run, reader.feed(data))
        is_complete = reader.is_at_event_boundary and run.last_event_id is not None
        return COMPLETE if is_complete else BROKEN

    def _next_part(self, handle: Any, in_flight: InFlightRequest) -> Coroutine:
        """Return the next bytes, None at the end of the stream.

        Raises BackendError if nothing arrives within the shutdown bound, or within half of it if
        the replica is unresponsive to all of its requests.
        """
        seconds = self.node.bounds.shutdown / 2
        try:
            return (yield ReadBody(handle, seconds))
        except BackendError as error:
            load_balancer = self.node.find("placement")
            is_unresponsive = load_balancer.is_unresponsive(in_flight.replica, seconds)
            if error.detail["reason"] != "stall" or is_unresponsive:
                raise
        return (yield ReadBody(handle, seconds))

    def _append_events(self, run: ItemRun, events: Iterable[Event]) -> None:
        """Append events to the run's text; raise BackendError if out of order or too large."""
        for event in events:
            if event.id is None and not event.data:
                continue
            if event.id is None or (run.last_event_id is None and event.id > 1):
                raise BackendError(reason="events out of order")
            run.text.append(b"\n".join(event.data))
            run.last_event_id = event.id
        if sum(map(len, run.text)) > TEXT_LIMIT_BYTES:
            raise BackendError(reason="too large")

    def _deliver(self, run: ItemRun, outcome: str) -> Coroutine:
        """Submit the outcome or report it to the leader, retrying for three recovery bounds.

        Stops without an error when that time is over or the run is stopped.
        """
        deadline = self.node.now() + self.node.bounds.recovery * 3
        text = b"\n".join(run.text)
        command = command_of(run, outcome, text)
        report = RunReport(run.lot, run.number, run.id, outcome, run.last_event_id, text).to_wire()
        ownership = self.node.find("ownership")
        while self.node.now() < deadline and not run.is_stopped:
            try:
                if command is not None:
                    return (yield from ownership.submit(run.part, command))
                return (yield from ownership.call_leader(run.part, messages.REPORT, report, None))
            except QuillringError as error:
                self.node.count("raw_deliveries_repeated")
                self.node.log("debug", "delivering outcome of run %s failed: %s", run.id, error)
            yield Sleep(self.node.bounds.heartbeat_interval / 2)
        return None


def command_of(run: ItemRun, outcome: str, text: bytes) -> dict[str, Any] | None:
    """Return the command that commits an outcome, or None if it is only reported to the leader."""
    if outcome == COMPLETE:
        return ListResult(run.lot, run.number, FINISHED, text, run.id).to_wire()
    if outcome == REJECTED:
        return ListResult(run.lot, run.number, ERRORED, b"", run.id).to_wire()
    if outcome == FAILED:
        return CountFailure(run.lot, run.number, run.id).to_wire()
    return None
