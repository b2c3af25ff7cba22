"""Resumable streaming requests to models: numbered pieces, journaled before they are sent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.classes.class_terms import may_fail_over, may_resume
from quillring.edge.admission import check_admission, check_not_draining
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
from quillring.kernel.request_checks import check_body, require_client_name
from quillring.kernel.routes import route

if TYPE_CHECKING:
    from collections.abc import Callable

    from quillring.edge.journal_messages import FindReply
    from quillring.edge.journaled_stream import JournaledStream
    from quillring.edge.replicas import Replica
    from quillring.edge.slot_lease import SlotLease
    from quillring.kernel.node import Node
    from quillring.kernel.routes import Request
    from quillring.kernel.types import Coroutine

MODEL_REQUEST_SCHEMA = StrictValidator(
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
DEFAULT_STALL_MS = 4000
UNLIMITED_MS = 1 << 40
DEFAULT_MAX_PIECES = 64
MIN_TIMEOUT_SECONDS = 0.001


@route("POST", "/v1/inquiries")
def serve_model(node: Node, request: Request) -> Coroutine:
    """Serve a streaming request to a model."""
    require_client_name(request)
    check_body(MODEL_REQUEST_SCHEMA, request.body)
    check_admission(node)
    _, service, terms = node.find("layout").route(request.body["entry"])
    if service["kind"] != "model":
        raise BadRequest(field="entry", faults=[{"field": "entry", "fault": "not a model"}])
    requested_ms = request.body.get("time_left_ms", UNLIMITED_MS)
    seconds = min(requested_ms, terms["time_left_ms"]) / 1000
    stream_name = f"{node.me.name}-{node.runtime.random.getrandbits(96):024x}"
    stream = node.find("journal").open(stream_name, request.body, request.client_name)
    yield from run_stream(node, stream, 0, node.now() + seconds)


@route("GET", "/v1/streams/{token}", query_parameters=("after",))
def resume_stream(node: Node, request: Request) -> Coroutine:
    """Resume a stream after the first `after` pieces, which the client has received."""
    check_not_draining(node)
    secret = node.find("ownership").founding()["secret"]
    token = read_token(
        secret, request.path_parameters["token"], request.client_name, node.runtime.wall_time()
    )
    sent_count = read_count(request.query.get("after", ["0"])[0], "after")

    def check_reply(found: FindReply) -> None:
        if found.route_name is not None:
            check_resumable(node, found.route_name)

    stream = yield from node.find("journal").take_over(
        token.stream_name, request.client_name, token.term, check_reply
    )
    check_resumable(node, stream.request["entry"])
    if len(stream.pieces) < sent_count:
        raise Conflict(field="after", held=len(stream.pieces))
    node.count("resumes")
    _, _, terms = node.find("layout").route(stream.request["entry"])
    if not stream.has_ended:
        node.find("freshness").check()
        if not may_fail_over(terms, stream.pieces):
            raise OutcomeUnknown(stream=stream.name)
    yield from run_stream(node, stream, sent_count, node.now() + terms["time_left_ms"] / 1000)


def check_resumable(node: Node, route_name: str) -> None:
    """Raise NotResumable if the class of the route forbids resuming streams."""
    route, _, terms = node.find("layout").route(route_name)
    if not may_resume(terms):
        raise NotResumable(class_name=route["class"])


class NotResumable(QuillringError):
    """The class of service of this stream forbids resuming it."""

    kind = "not_resumable"
    status = 410


class ClientProgress:
    """Progress of a streamed response to its client; times are in seconds of `clock`.

    `head` is the first line of the response, which names the stream and its resume token.
    """

    __slots__ = (
        "sent_count",
        "head",
        "is_head_sent",
        "was_preempted",
        "first_piece_deadline",
        "first_piece_at",
        "clock",
    )

    def __init__(
        self,
        sent_count: int,
        head: dict[str, Any],
        first_piece_deadline: float,
        clock: Callable[[], float],
    ) -> None:
        self.sent_count = sent_count
        self.first_piece_deadline = first_piece_deadline
        self.head = head
        self.is_head_sent = False
        self.was_preempted = False
        self.first_piece_at: float | None = None
        self.clock = clock


def run_stream(node: Node, stream: JournaledStream, sent_count: int, deadline: float) -> Coroutine:
    """Send the journaled pieces, then continue the stream on replicas until its end.

    An error is raised if the head has not been sent, and otherwise sent as the last line.
    """
    secret = node.find("ownership").founding()["secret"]
    token = make_token(secret, stream, node.runtime.wall_time())
    head = {"stream": stream.name, "resume": token, "after": sent_count}
    route, _, terms = node.find("layout").route(stream.request["entry"])
    first_piece_deadline = node.now() + terms["first_piece_ms"] / 1000
    progress = ClientProgress(sent_count, head, first_piece_deadline, node.now)
    excluded_names: set[str] = set()
    stream.is_running = True
    try:
        yield from send_journaled(stream, progress)
        while not stream.has_ended:
            yield from try_replica(node, stream, progress, deadline, excluded_names)
    except QuillringError as error:
        if not progress.is_head_sent:
            raise
        node.count("broken_streams")
        yield SendToClient({"end": False, **error.to_json(), "pieces": progress.sent_count})
        return
    finally:
        stream.is_running = False
        if stream.term.number == 1:
            node.find("meter").record(route["class"], progress.first_piece_at, first_piece_deadline)
        if not stream.pieces and not progress.is_head_sent:
            node.find("journal").forget(stream)
    yield SendToClient({"end": True, "pieces": len(stream.pieces)})


def send_journaled(stream: JournaledStream, progress: ClientProgress) -> Coroutine:
    """Send the head, unless already sent, and the journaled pieces that were not sent yet."""
    if not progress.is_head_sent and (stream.has_ended or progress.sent_count < len(stream.pieces)):
        progress.is_head_sent, progress.first_piece_at = True, progress.clock()
        yield SendToClient(progress.head)
    while progress.sent_count < len(stream.pieces):
        progress.sent_count += 1
        piece = stream.pieces[progress.sent_count - 1]
        yield SendToClient({"n": progress.sent_count, "piece": piece})


def try_replica(
    node: Node,
    stream: JournaledStream,
    progress: ClientProgress,
    deadline: float,
    excluded_names: set[str],
) -> Coroutine:
    """Run or continue the stream on one replica until it ends, fails or is preempted.

    Returns without an error if another attempt may follow.

    Raises
    ------
    Refused
        No slot became free before the deadline.
    OutcomeUnknown
        The replica failed, and the class of service forbids another attempt.
    TimedOut
        The replica failed, and the deadline has passed.
    """
    route, service, terms = node.find("layout").route(stream.request["entry"])
    prefix = route.get("prefix", "")
    wait_deadline = deadline if stream.pieces else min(deadline, progress.first_piece_deadline)
    lease = yield from node.find("dispatch").acquire(
        route["service"],
        route["class"],
        terms,
        prefix_key(prefix),
        wait_deadline,
        excluded_names,
        progress.was_preempted,
        True,
    )
    progress.was_preempted = False
    replica, handle = lease.replica, None
    stall_seconds = service.get("stall_ms", DEFAULT_STALL_MS) / 1000
    try:
        check_before_sending(node, replica, deadline)
        lease.may_still_run = True
        handle = yield OpenStream(
            replica.address,
            replica.path("/v1/generate"),
            {
                "inquiry": stream.name,
                "prefix": prefix,
                "prompt": stream.request["prompt"],
                "from": len(stream.pieces),
                "max_pieces": stream.request.get("max_pieces", DEFAULT_MAX_PIECES),
            },
            min(deadline - node.now(), stall_seconds),
        )
        if handle.status == 503:
            lease.may_still_run = False
            raise Busy(replica=replica.name)
        yield from relay_pieces(node, stream, progress, handle, lease, stall_seconds, deadline)
    except Busy:
        node.count("busy_replicas")
        node.find("replicas").mark_full(replica)
    except BackendError as error:
        node.count("replica_troubles")
        node.log("warning", "attempt on replica %s failed: %s", replica.name, error)
        excluded_names.add(replica.name)
        if not isinstance(error, NotSent):
            node.find("replicas").eject(replica)
            if node.now() >= deadline:
                raise TimedOut(stream=stream.name) from error
            if not may_fail_over(terms, stream.pieces):
                raise OutcomeUnknown(stream=stream.name) from error
    finally:
        lease.release()
        if handle is not None:
            handle.close()


def check_before_sending(node: Node, replica: Replica, deadline: float) -> None:
    """Raise Refused or NotSent if the request may no longer be sent to the chosen replica."""
    node.find("freshness").check()
    if node.now() >= deadline:
        raise Refused(reason="no time left")
    if not node.find("replicas").is_available(replica):
        raise NotSent(replica=replica.name, reason="left")


def check_line(line: Any, request_id: str, count: int) -> None:
    """Raise BackendError unless the line is the next one of this request after `count` pieces."""
    if not isinstance(line, dict) or line.get("inquiry") != request_id:
        raise BackendError(reason="broken off" if line is None else "strange line")
    if line.get("end"):
        if line.get("pieces") != count:
            raise BackendError(reason="pieces are missing")
    elif line.get("n") != count + 1 or not isinstance(line.get("piece"), str):
        raise BackendError(reason="strange piece")


def relay_pieces(
    node: Node,
    stream: JournaledStream,
    progress: ClientProgress,
    handle: Any,
    lease: SlotLease,
    stall_seconds: float,
    deadline: float,
) -> Coroutine:
    """Relay the numbered pieces of a replica; each is replicated before it is sent.

    Returns at the end of the stream, or after a piece if the slot lease was preempted.
    """
    journal = node.find("journal")
    while True:
        seconds = max(MIN_TIMEOUT_SECONDS, min(deadline - node.now(), stall_seconds))
        line = yield ReadLine(handle, seconds)
        check_line(line, stream.name, len(stream.pieces))
        if line.get("end"):
            lease.may_still_run = False
            yield from journal.append(stream, (), has_ended=True)
            yield from send_journaled(stream, progress)
            return
        yield from journal.append(stream, (line["piece"],))
        yield from send_journaled(stream, progress)
        if lease.is_preempted:
            progress.was_preempted = True
            return
