"""Model inquiries: streamed, numbered, journalled, resumed."""

from quillring.classes.class_terms import may_resume, may_run_on
from quillring.edge.admission import check_admission, check_open
from quillring.edge.dispatcher import prefix_key
from quillring.edge.resume_token import make_token, read_token
from quillring.kernel.checks import StrictValidator, read_count
from quillring.kernel.effects import OpenStream, ReadLine, SendToClient
from quillring.kernel.errors import (
    BackendError,
    BadRequest,
    Busy,
    Conflict,
    NotSent,
    OutcomeUnknown,
    QuillringError,
    Refused,
    TimedOut,
)
from quillring.kernel.wsgi import check_body, need_client_name, route

MODEL_REQUEST = StrictValidator(
    {
        "type": "object",
        "additionalProperties": False,
        "required": ["entry", "prompt"],
        "properties": {
            "entry": {"type": "string", "maxLength": 41},
            "prompt": {"type": "string", "maxLength": 200_000},
            "max_pieces": {"type": "integer", "minimum": 1, "maximum": 100_000},
            "time_left_ms": {"type": "integer", "minimum": 1, "maximum": 86_400_000},
        },
    }
)
STALL_MS = 4000


@route("POST", "/v1/inquiries")
def serve_model(node, request):
    """Serve one streamed model inquiry."""
    need_client_name(request)
    check_body(MODEL_REQUEST, request.body)
    check_admission(node)
    _, service, promise = node.find("layout").route(request.body["entry"])
    if service["kind"] != "model":
        raise BadRequest(field="entry", faults=[{"field": "entry", "fault": "not a model"}])
    time_left = min(request.body.get("time_left_ms", 1 << 40), promise["time_left_ms"]) / 1000
    stream_name = f"{node.me.name}-{node.runtime.random.getrandbits(96):024x}"
    stream = node.find("journal").open(stream_name, request.body, request.client_name)
    yield from run_stream(node, stream, 0, node.now() + time_left)


@route("GET", "/v1/streams/{token}", query_words=("after",))
def resume_stream(node, request):
    """Serve what follows the last piece the sender has."""
    check_open(node)
    secret = node.find("ownership").founding()["secret"]
    stream_name, token_term = read_token(
        secret, request.words["token"], request.client_name, node.runtime.wall_time()
    )
    sent_count = read_count(request.query.get("after", ["0"])[0], "after")
    stream = yield from node.find("journal").claim(
        stream_name,
        request.client_name,
        token_term,
        lambda found: len(found) > 2 and check_resumable(node, found[2]),
    )
    check_resumable(node, stream.request["entry"])
    if len(stream.pieces) < sent_count:
        raise Conflict(field="after", held=len(stream.pieces))
    node.count("resumes")
    _, _, promise = node.find("layout").route(stream.request["entry"])
    if not stream.ended:
        node.find("freshness").check()
        if not may_run_on(promise, stream.pieces):
            raise OutcomeUnknown(stream=stream.name)
    yield from run_stream(node, stream, sent_count, node.now() + promise["time_left_ms"] / 1000)


def check_resumable(node, route_name):
    """Refuse to resume where the class forbids it, before anything about the stream changes."""
    route, _, promise = node.find("layout").route(route_name)
    if not may_resume(promise):
        raise NotResumable(class_name=route["class"])


class NotResumable(QuillringError):
    """The class of this stream forbids resuming it."""

    kind = "not_resumable"
    status = 410


class Sending:
    """How far one answer has gone out to its sender."""

    __slots__ = (
        "count",
        "head_line",
        "has_head",
        "was_preempted",
        "first_end",
        "first_at",
        "clock",
    )

    def __init__(self, count, head_line, first_end, clock):
        self.count = count
        self.first_end = first_end
        self.head_line = head_line
        self.has_head = False
        self.was_preempted = False
        self.first_at = None
        self.clock = clock


def run_stream(node, stream, sent_count, end_time):
    """Coroutine: emit what the journal holds, then go on at replicas until the end."""
    secret = node.find("ownership").founding()["secret"]
    token = make_token(secret, stream, node.runtime.wall_time())
    head_line = {"stream": stream.name, "resume": token, "after": sent_count}
    route, _, promise = node.find("layout").route(stream.request["entry"])
    first_end = node.now() + promise["first_piece_ms"] / 1000
    sending = Sending(sent_count, head_line, first_end, node.now)
    avoided_names = set()
    stream.is_running = True
    try:
        yield from emit_held(stream, sending)
        while not stream.ended:
            yield from one_attempt(node, stream, sending, end_time, avoided_names)
    except QuillringError as error:
        if not sending.has_head:
            raise
        node.count("broken_streams")
        yield SendToClient({"end": False, **error.to_json(), "pieces": sending.count})
        return
    finally:
        stream.is_running = False
        if stream.term[0] == 1:
            node.find("meter").record(route["class"], sending.first_at, first_end)
        if not stream.pieces and not sending.has_head:
            node.find("journal").forget(stream)
    yield SendToClient({"end": True, "pieces": len(stream.pieces)})


def emit_held(stream, sending):
    """Coroutine: emit the pieces that two nodes hold and the sender lacks."""
    if not sending.has_head and (stream.ended or sending.count < len(stream.pieces)):
        sending.has_head, sending.first_at = True, sending.clock()
        yield SendToClient(sending.head_line)
    while sending.count < len(stream.pieces):
        sending.count += 1
        yield SendToClient({"n": sending.count, "piece": stream.pieces[sending.count - 1]})


def one_attempt(node, stream, sending, end_time, avoided_names):
    """Coroutine: run or continue the stream on one replica until it ends or breaks."""
    route, service, promise = node.find("layout").route(stream.request["entry"])
    prefix = route.get("prefix", "")
    wait_end = end_time if stream.pieces else min(end_time, sending.first_end)
    lease = yield from node.find("dispatch").acquire(
        route["service"],
        route["class"],
        promise,
        prefix_key(prefix),
        wait_end,
        avoided_names,
        sending.was_preempted,
        True,
    )
    sending.was_preempted = False
    replica, handle = lease.replica, None
    try:
        check_before_sending(node, replica, end_time)
        lease.may_still_run = True
        handle = yield OpenStream(
            replica.address,
            replica.path("/v1/generate"),
            {
                "inquiry": stream.name,
                "prefix": prefix,
                "prompt": stream.request["prompt"],
                "from": len(stream.pieces),
                "max_pieces": stream.request.get("max_pieces", 64),
            },
            min(end_time - node.now(), service.get("stall_ms", STALL_MS) / 1000),
        )
        if handle.status == 503:
            lease.may_still_run = False
            raise Busy(replica=replica.name)
        yield from read_pieces(node, stream, sending, handle, lease, service, end_time)
    except Busy:
        node.count("busy_replicas")
        node.find("replicas").note_full(replica)
    except BackendError as error:
        node.count("replica_troubles")
        node.log("warning", "replica %s: %s", replica.name, error)
        avoided_names.add(replica.name)
        if not isinstance(error, NotSent):
            node.find("replicas").eject(replica)
            if node.now() >= end_time:
                raise TimedOut(stream=stream.name) from error
            if not may_run_on(promise, stream.pieces):
                raise OutcomeUnknown(stream=stream.name) from error
    finally:
        lease.release()
        if handle is not None:
            handle.close()


def check_before_sending(node, replica, end_time):
    """Refuse when this node slept or the runtime moved on since the replica was chosen."""
    node.find("freshness").check()
    if node.now() >= end_time:
        raise Refused(reason="no time left")
    if not node.find("replicas").is_available(replica):
        raise NotSent(replica=replica.name, reason="left")


def check_line(line, request_name, count):
    """Refuse a replica's line unless it is the very next one of this inquiry."""
    if not isinstance(line, dict) or line.get("inquiry") != request_name:
        raise BackendError(reason="broken off" if line is None else "strange line")
    if line.get("end"):
        if line.get("pieces") != count:
            raise BackendError(reason="pieces are missing")
    elif line.get("n") != count + 1 or not isinstance(line.get("piece"), str):
        raise BackendError(reason="strange piece")


def read_pieces(node, stream, sending, handle, lease, service, end_time):
    """Coroutine: take the replica's numbered pieces, each one kept twice before it is emitted.

    Returns at the stream's end, or between two pieces when its room is wanted back.
    """
    journal, stall_seconds = node.find("journal"), service.get("stall_ms", STALL_MS) / 1000
    while True:
        line = yield ReadLine(handle, max(0.001, min(end_time - node.now(), stall_seconds)))
        check_line(line, stream.name, len(stream.pieces))
        if line.get("end"):
            lease.may_still_run = False
            yield from journal.keep(stream, (), ended=True)
            yield from emit_held(stream, sending)
            return
        yield from journal.keep(stream, (line["piece"],))
        yield from emit_held(stream, sending)
        if lease.is_preempted:
            sending.was_preempted = True
            return
