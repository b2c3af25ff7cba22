"""The way of a forwarded request through a node: one function a kind, read top to bottom."""

from quillring.forward.attempt import is_not_run, is_sealed, open_answer
from quillring.forward.events import EventReader
from quillring.forward.request import answer_pairs
from quillring.forward.waiting import acquire, come_back
from quillring.kernel.effects import Emit, NextPart
from quillring.kernel.errors import BackendError, NotSent, OutcomeUnknown, Refused

URGENCIES = (1, 3, 4, 5, 6)
LONG_PROMPT = 4000
FAILED = range(500, 600)


class Sending:
    """How far one request has come: rounds used, replicas to avoid, what the client has."""

    __slots__ = ("rounds", "avoided_names", "last_event", "has_head", "end_time", "last_answer")

    def __init__(self, end_time, last_event):
        self.rounds = 0
        self.avoided_names = set()
        self.last_event = last_event
        self.has_head = False
        self.end_time = end_time
        self.last_answer = None


def urgency_of(forward, request):
    """Return the urgency a replica is told: short questions before long ones, by rank."""
    is_long = request.tokens_in >= LONG_PROMPT
    return min(9, URGENCIES[min(forward.urgency, len(URGENCIES) - 1)] + is_long)


def end_time(node, forward, request, arrived_at):
    """Return when the request is no longer worth anything: its deadline or the route's hold."""
    seconds = forward.hold_seconds
    if request.deadline_ms is not None:
        seconds = min(seconds, request.deadline_ms / 1000)
    return arrived_at + seconds


def check_known(node):
    """Refuse while no layout is known yet: a node that just started can't tell what there is."""
    if node.find("forwards").is_empty():
        raise Refused(reason="no layout yet", come_back_s=node.bounds.reading)


def serve(node, forward, request, arrived_at):
    """Script: pass a request on; emits head and bytes of a stream, or returns a whole answer."""
    sending = Sending(end_time(node, forward, request, arrived_at), request.last_event)
    service = forward.service_for(request.id or request.target)
    while True:
        try:
            replica = yield from acquire(node, forward, service, request, sending, arrived_at)
        except Refused:
            if sending.last_answer is not None:
                return sending.last_answer
            raise
        sending.rounds += 1
        lease = node.find("placement").begin(replica, request)
        handle = None
        try:
            handle = yield from open_answer(
                node,
                replica,
                request,
                sending.last_event,
                urgency_of(forward, request),
                sending.end_time,
                forward.may_repeat,
                forward.pause_seconds * 1.2 if may_go_on(node, forward, sending) else None,
            )
            lease.heard()
            if is_not_run(node.find("dialect"), handle):
                sending.avoided_names.add(replica.name)
                if handle.status == 421:
                    node.find("replicas").misplaced(replica)
                yield from take_refusal(node, sending, forward)
                continue
            is_stream = handle.headers.get("content-type", "").startswith("text/event-stream")
            if is_stream and handle.status == 200:
                yield from relay_events(node, forward, sending, handle, lease)
                return None
            answer = yield from read_whole(node, sending, handle)
            if handle.status not in FAILED or not may_go_on(node, forward, sending):
                return check_whole(node, sending, answer)
            sending.avoided_names.add(replica.name)
            sending.last_answer = answer
        except NotSent as error:
            note_error(node, sending, replica, error, True)
            sending.rounds -= 1
        except BackendError as error:
            note_error(node, sending, replica, error, False)
            if not forward.may_repeat:
                raise OutcomeUnknown(reason="the replica broke off") from error
            if not may_go_on(node, forward, sending):
                raise OutcomeUnknown(reason="no round left") from error
        finally:
            lease.end()
            if handle is not None:
                handle.close()


def may_go_on(node, forward, sending):
    """Tell whether another replica may be asked."""
    return forward.may_repeat and sending.rounds < forward.rounds and node.now() < sending.end_time


def note_error(node, sending, replica, error, is_surely):
    """Remember a failed sending, here and in the view of its replica."""
    node.count(f"forward_{error.kind}_{error.detail.get('reason', '')}")
    sending.avoided_names.add(replica.name)
    if error.detail.get("reason") not in ("left", "no time left"):
        is_stalled = error.detail.get("reason") == "stall"
        node.find("placement").failed(replica, is_surely or is_stalled)


def take_refusal(node, sending, forward):
    """Script: a replica did not run it; the last one's word goes to the client."""
    if sending.rounds >= forward.rounds and not sending.has_head:
        raise Refused(reason="replicas are full", come_back_s=come_back(node, sending) / 2)
    return
    yield


def read_whole(node, sending, handle):
    """Script: read the whole body; returns (status, header pairs, body)."""
    parts = []
    while (part := (yield NextPart(handle, sending.end_time - node.now() + 0.05))) is not None:
        parts.append(part)
    return handle.status, answer_pairs(handle.headers), b"".join(parts)


def check_whole(node, sending, answer):
    """Return the answer; where a stream's head is out already, nothing can follow it."""
    if sending.has_head:
        raise OutcomeUnknown(reason="a failure amid the stream")
    return answer


def relay_events(node, forward, sending, handle, lease):
    """Script: pass whole events on as they come, until the stream's proper end."""
    if not is_sealed(node.find("dialect"), handle):
        raise BackendError(reason="no seal")
    reader = EventReader(sending.last_event)
    while True:
        data = yield from next_part(node, forward, sending, handle, lease)
        if data is None:
            break
        lease.heard()
        events = reader.feed(data)
        if not events:
            continue
        raw = b"".join(event.raw for event in events)
        if sending.has_head:
            yield Emit(raw)
        else:
            sending.has_head = True
            yield Emit((handle.status, answer_pairs(handle.headers), raw))
        if reader.last_event is not None:
            sending.last_event = reader.last_event
    if not reader.is_clean:
        raise BackendError(reason="cut event")
    if not sending.has_head:
        sending.has_head = True
        yield Emit((handle.status, answer_pairs(handle.headers), b""))


def next_part(node, forward, sending, handle, lease):
    """Script: wait for bytes; a silent replica is left while another may go on in time."""
    patience = forward.pause_seconds * 1.2
    while True:
        seconds_left = sending.end_time - node.now() + 0.05
        if not may_go_on(node, forward, sending):
            return (yield NextPart(handle, seconds_left))
        try:
            return (yield NextPart(handle, min(patience, seconds_left)))
        except BackendError as error:
            is_over = node.now() >= sending.end_time
            is_long = patience >= forward.pause_seconds * 4
            if error.detail["reason"] != "stall" or is_over or is_long:
                raise
            if node.find("placement").is_silent(lease.replica, patience):
                raise
            patience = forward.pause_seconds * 4
