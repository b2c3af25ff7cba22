"""Executing items on any core, one sending at a time, as the part's leader asks.

A worker decides nothing: the owner names replica and place to go on from. What it has whole it
commits itself at whichever core owns the part by then, so a finished run outlives its owner.
"""

from quillring.forward.attempt import is_not_run, is_sealed, open_response
from quillring.forward.events import EventReader
from quillring.forward.request import Request
from quillring.kernel.effects import ReadBody, Sleep
from quillring.kernel.errors import BackendError, Fenced, NotSent, QuillringError, Refused
from quillring.lots.http_requests.lot_table import ERRORED, FINISHED

WHOLE, DEAD, FAILED, NOT_RUN, BROKEN, UNSENT = (
    "whole",
    "dead",
    "failed",
    "not_run",
    "broken",
    "unsent",
)
TEXT_LIMIT = 4 << 20


class ItemRun:
    """One sending of an item: what it has of the text, and how to stop it."""

    __slots__ = (
        "part",
        "lot",
        "number",
        "id",
        "service",
        "replica",
        "last",
        "text",
        "handle",
        "is_stopped",
        "is_committing",
    )

    def __init__(self, body):
        self.part, self.lot, self.number = body["part"], body["lot"], body["n"]
        self.id = body["run"]
        self.service, self.replica = body["service"], body["replica"]
        self.last, self.text = body["last"], [body["text"]] if body["last"] is not None else []
        self.handle = None
        self.is_stopped = self.is_committing = False

    def stop(self):
        """Stop it now; the replica sees its connection close."""
        self.is_stopped = True
        if self.handle is not None:
            self.handle.close()

    def to_list(self):
        """Return what an owner needs to know of it."""
        return [self.lot, self.number, self.id, self.service, self.replica]


class ItemExecutor:
    """The runs under way on this core."""

    __slots__ = ("node", "runs", "ballots")

    def __init__(self, node):
        self.node = node
        self.runs = {}
        self.ballots = {}
        node.handle("raw.run", self.on_run)
        node.handle("raw.renew", self.on_renew)
        node.handle("raw.stop", self.on_stop)

    def _check_ballot(self, body):
        ballot = tuple(body["ballot"])
        newest = max(ballot, self.ballots.get(body["part"], ballot))
        self.ballots = {**self.ballots, body["part"]: newest}
        if ballot < newest:
            raise Fenced(part=body["part"], ballot=list(newest))

    def on_run(self, body, origin):
        """Begin a run; Refused, NotSent or Fenced when it is not begun here."""
        self._check_ballot(body)
        node, place = self.node, (body["part"], body["lot"], body["n"])
        for run in self.runs.values():
            if (run.part, run.lot, run.number) == place and not run.is_stopped:
                return {"run": run.id}
        if node.is_draining:
            raise Refused(reason="draining")
        node.find("freshness").check()
        forward = node.find("forwards").find_by_name(body["forward"])
        if forward is None or body["service"] not in dict(forward.split):
            raise Refused(reason="the layout names another service")
        replica = node.find("replicas").find(body["replica"])
        is_same = replica is not None and replica.service == body["service"]
        if not is_same or not node.find("replicas").may_receive_requests(replica):
            raise NotSent(replica=body["replica"], reason="left")
        run = self.runs[body["run"]] = ItemRun(body)
        node.spawn(self._run(run, replica, body))
        return {"run": run.id}

    def on_renew(self, body, origin):
        """Tell a part's owner which of its items run here."""
        self._check_ballot(body)
        return [run.to_list() for run in self.runs.values() if run.part == body["part"]]

    def on_stop(self, body, origin):
        """Stop the runs of a lot, or those of the numbers named."""
        for run in list(self.runs.values()):
            is_named = body["numbers"] is None or run.number in body["numbers"]
            if run.lot == body["lot"] and is_named:
                run.stop()

    def _run(self, run, replica, body):
        self.node.under_way += 1
        try:
            outcome = yield from self._attempt(run, replica, body)
            if not run.is_stopped:
                run.is_committing = True
                yield from self._deliver(run, outcome)
        finally:
            self.node.under_way -= 1
            self.runs.pop(run.id, None)

    def _attempt(self, run, replica, body):
        """Send the item once; return how it went. The run holds what came of its text."""
        node, header_names = self.node, self.node.find("dialect")
        item_id, target, pairs, content = body["item"]
        own_names = {"host", header_names.request_id}
        headers = [
            ("Host", body["host"]),
            (header_names.request_id, item_id),
            *((name, value) for name, value in pairs if name.lower() not in own_names),
        ]
        request = Request(header_names, "POST", target, headers, content)
        in_flight_request = node.find("placement").start_request(replica, request)
        stall_seconds = node.bounds.shutdown
        try:
            run.handle = yield from open_response(
                node,
                replica,
                request,
                run.last,
                body["urgency"],
                node.now() + stall_seconds * 3,
                True,
                stall_seconds / 2,
            )
            in_flight_request.note_response_bytes()
            return BROKEN if run.is_stopped else (yield from self._read(run, in_flight_request))
        except NotSent as error:
            self._note(run, replica, error)
            return UNSENT
        except BackendError as error:
            self._note(run, replica, error)
            return BROKEN
        finally:
            in_flight_request.finish()
            if run.handle is not None:
                run.handle.close()

    def _note(self, run, replica, error):
        self.node.count(f"raw_{error.kind}")
        if not run.is_stopped and error.detail.get("reason") not in ("left", "no time left"):
            self.node.find("placement").record_failure(replica, isinstance(error, NotSent))

    def _read(self, run, in_flight_request):
        """Coroutine: take the answer's head, then the events in order until the proper end."""
        header_names, handle = self.node.find("dialect"), run.handle
        if is_not_run(header_names, handle):
            return NOT_RUN
        if handle.status in (500, 422):
            return FAILED if handle.status == 500 else DEAD
        if handle.status != 200 or not is_sealed(header_names, handle):
            return BROKEN
        reader = EventReader(run.last)
        while (data := (yield from self._next_part(handle, in_flight_request))) is not None:
            in_flight_request.note_response_bytes()
            self._take(run, reader.feed(data))
        return WHOLE if reader.is_at_event_boundary and run.last is not None else BROKEN

    def _next_part(self, handle, in_flight_request):
        """Coroutine: wait for bytes; a replica that is silent to all is left at half time."""
        seconds = self.node.bounds.shutdown / 2
        try:
            return (yield ReadBody(handle, seconds))
        except BackendError as error:
            is_unresponsive = self.node.find("placement").is_unresponsive(
                in_flight_request.replica, seconds
            )
            if error.detail["reason"] != "stall" or is_unresponsive:
                raise
        return (yield ReadBody(handle, seconds))

    def _take(self, run, events):
        for event in events:
            if event.id is None and not event.data:
                continue
            if event.id is None or (run.last is None and event.id > 1):
                raise BackendError(reason="events out of order")
            run.text.append(b"\n".join(event.data))
            run.last = event.id
        if sum(map(len, run.text)) > TEXT_LIMIT:
            raise BackendError(reason="too large")

    def _deliver(self, run, outcome):
        """Coroutine: commit or report what became of the run, until it is taken or far too late."""
        end_time = self.node.now() + self.node.bounds.recovery * 3
        text = b"\n".join(run.text)
        fields = {"lot": run.lot, "n": run.number, "run": run.id}
        commands = {
            WHOLE: {"do": "raw.result", "state": FINISHED, "text": text, **fields},
            DEAD: {"do": "raw.result", "state": ERRORED, "text": b"", **fields},
            FAILED: {"do": "raw.failed", **fields},
        }
        report = {**fields, "outcome": outcome, "last": run.last, "text": text}
        ownership = self.node.find("ownership")
        while self.node.now() < end_time and not run.is_stopped:
            try:
                if outcome in commands:
                    return (yield from ownership.submit(run.part, commands[outcome]))
                return (yield from ownership.call_leader(run.part, "raw.report", report, None))
            except QuillringError as error:
                self.node.count("raw_deliveries_repeated")
                self.node.log("debug", "lot result delivery %s: %s", run.id, error)
            yield Sleep(self.node.bounds.heartbeat_interval / 2)
        return None
