"""Model inquiries: streamed, numbered, journalled, resumed."""

from quillring.classes.promises import may_resume, may_run_on
from quillring.edge.admission import check_admission, check_open
from quillring.edge.dispatch import prefix_key
from quillring.edge.tokens import make_token, read_token
from quillring.kernel.checks import StrictValidator, read_count
from quillring.kernel.effects import Emit, Next, Open
from quillring.kernel.troubles import (
    BackendTrouble,
    BadInquiry,
    Busy,
    Conflict,
    NotSent,
    OutcomeUnknown,
    Refused,
    TimedOut,
    Trouble,
)
from quillring.kernel.wsgi import check_body, need_sender, route

MODEL_INQUIRY = StrictValidator({
    "type": "object",
    "additionalProperties": False,
    "required": ["entry", "prompt"],
    "properties": {
        "entry": {"type": "string", "maxLength": 41},
        "prompt": {"type": "string", "maxLength": 200_000},
        "max_pieces": {"type": "integer", "minimum": 1, "maximum": 100_000},
        "time_left_ms": {"type": "integer", "minimum": 1, "maximum": 86_400_000},
    },
})
STALL_MS = 4000


@route("POST", "/v1/inquiries")
def serve_model(node, inquiry):
    """Serve one streamed model inquiry."""
    need_sender(inquiry)
    check_body(MODEL_INQUIRY, inquiry.body)
    check_admission(node)
    _, service, promise = node.find("layout").entry(inquiry.body["entry"])
    if service["kind"] != "model":
        raise BadInquiry(field="entry", faults=[{"field": "entry", "fault": "not a model"}])
    timeLeft = min(inquiry.body.get("time_left_ms", 1 << 40), promise["time_left_ms"]) / 1000
    streamName = f"{node.me.name}-{node.world.random.getrandbits(96):024x}"
    stream = node.find("journal").open(streamName, inquiry.body, inquiry.sender)
    yield from run_stream(node, stream, 0, node.now() + timeLeft)


@route("GET", "/v1/streams/{token}", queryWords=("after",))
def resume_stream(node, inquiry):
    """Serve what follows the last piece the sender has."""
    check_open(node)
    secret = node.find("duty").founding()["secret"]
    streamName, tokenRound = read_token(
        secret, inquiry.words["token"], inquiry.sender, node.world.wall())
    sentCount = read_count(inquiry.query.get("after", ["0"])[0], "after")
    stream = yield from node.find("journal").claim(
        streamName, inquiry.sender, tokenRound,
        lambda found: len(found) > 2 and check_resumable(node, found[2]))
    check_resumable(node, stream.inquiry["entry"])
    if len(stream.pieces) < sentCount:
        raise Conflict(field="after", held=len(stream.pieces))
    node.count("resumes")
    _, _, promise = node.find("layout").entry(stream.inquiry["entry"])
    if not stream.ended:
        node.find("freshness").check()
        if not may_run_on(promise, stream.pieces):
            raise OutcomeUnknown(stream=stream.name)
    yield from run_stream(node, stream, sentCount, node.now() + promise["time_left_ms"] / 1000)


def check_resumable(node, entryName):
    """Refuse to resume where the class forbids it, before anything about the stream changes."""
    entry, _, promise = node.find("layout").entry(entryName)
    if not may_resume(promise):
        raise NotResumable(class_name=entry["class"])


class NotResumable(Trouble):
    """The class of this stream forbids resuming it."""

    kind = "not_resumable"
    status = 410


class Sending:
    """How far one answer has gone out to its sender."""

    __slots__ = ("count", "headLine", "hasHead", "isPaused", "firstEnd", "firstAt", "clock")

    def __init__(self, count, headLine, firstEnd, clock):
        self.count = count
        self.firstEnd = firstEnd
        self.headLine = headLine
        self.hasHead = False
        self.isPaused = False
        self.firstAt = None
        self.clock = clock


def run_stream(node, stream, sentCount, endTime):
    """Script: emit what the journal holds, then go on at replicas until the end."""
    secret = node.find("duty").founding()["secret"]
    token = make_token(secret, stream, node.world.wall())
    headLine = {"stream": stream.name, "resume": token, "after": sentCount}
    entry, _, promise = node.find("layout").entry(stream.inquiry["entry"])
    firstEnd = node.now() + promise["first_piece_ms"] / 1000
    sending = Sending(sentCount, headLine, firstEnd, node.now)
    avoidedNames = set()
    stream.isRunning = True
    try:
        yield from emit_held(stream, sending)
        while not stream.ended:
            yield from one_round(node, stream, sending, endTime, avoidedNames)
    except Trouble as trouble:
        if not sending.hasHead:
            raise
        node.count("broken_streams")
        yield Emit({"end": False, **trouble.to_json(), "pieces": sending.count})
        return
    finally:
        stream.isRunning = False
        if stream.round[0] == 1:
            node.find("meter").note(entry["class"], sending.firstAt, firstEnd)
        if not stream.pieces and not sending.hasHead:
            node.find("journal").forget(stream)
    yield Emit({"end": True, "pieces": len(stream.pieces)})


def emit_held(stream, sending):
    """Script: emit the pieces that two nodes hold and the sender lacks."""
    if not sending.hasHead and (stream.ended or sending.count < len(stream.pieces)):
        sending.hasHead, sending.firstAt = True, sending.clock()
        yield Emit(sending.headLine)
    while sending.count < len(stream.pieces):
        sending.count += 1
        yield Emit({"n": sending.count, "piece": stream.pieces[sending.count - 1]})


def one_round(node, stream, sending, endTime, avoidedNames):
    """Script: run or continue the stream on one replica until it ends or breaks."""
    entry, service, promise = node.find("layout").entry(stream.inquiry["entry"])
    prefix = entry.get("prefix", "")
    waitEnd = endTime if stream.pieces else min(endTime, sending.firstEnd)
    lease = yield from node.find("dispatch").acquire(
        entry["service"], entry["class"], promise, prefix_key(prefix), waitEnd, avoidedNames,
        sending.isPaused, True,
    )
    sending.isPaused = False
    replica, handle = lease.replica, None
    try:
        check_before_sending(node, replica, endTime)
        lease.mayRunOn = True
        handle = yield Open(replica.address, replica.path("/v1/generate"), {
            "inquiry": stream.name, "prefix": prefix, "prompt": stream.inquiry["prompt"],
            "from": len(stream.pieces), "max_pieces": stream.inquiry.get("max_pieces", 64),
        }, min(endTime - node.now(), service.get("stall_ms", STALL_MS) / 1000))
        if handle.status == 503:
            lease.mayRunOn = False
            raise Busy(replica=replica.name)
        yield from read_pieces(node, stream, sending, handle, lease, service, endTime)
    except Busy:
        node.count("busy_replicas")
        node.find("replicas").busy(replica)
    except BackendTrouble as trouble:
        node.count("replica_troubles")
        node.log("warning", "replica %s: %s", replica.name, trouble)
        avoidedNames.add(replica.name)
        if not isinstance(trouble, NotSent):
            node.find("replicas").stalled(replica)
            if node.now() >= endTime:
                raise TimedOut(stream=stream.name) from trouble
            if not may_run_on(promise, stream.pieces):
                raise OutcomeUnknown(stream=stream.name) from trouble
    finally:
        lease.release()
        if handle is not None:
            handle.close()


def check_before_sending(node, replica, endTime):
    """Refuse when this node slept or the world moved on since the replica was chosen."""
    node.find("freshness").check()
    if node.now() >= endTime:
        raise Refused(reason="no time left")
    if not node.find("replicas").may_get_work(replica):
        raise NotSent(replica=replica.name, reason="left")


def check_line(line, inquiryName, count):
    """Refuse a replica's line unless it is the very next one of this inquiry."""
    if not isinstance(line, dict) or line.get("inquiry") != inquiryName:
        raise BackendTrouble(reason="broken off" if line is None else "strange line")
    if line.get("end"):
        if line.get("pieces") != count:
            raise BackendTrouble(reason="pieces are missing")
    elif line.get("n") != count + 1 or not isinstance(line.get("piece"), str):
        raise BackendTrouble(reason="strange piece")


def read_pieces(node, stream, sending, handle, lease, service, endTime):
    """Script: take the replica's numbered pieces, each one kept twice before it is emitted.

    Returns at the stream's end, or between two pieces when its room is wanted back.
    """
    journal, stallSeconds = node.find("journal"), service.get("stall_ms", STALL_MS) / 1000
    while True:
        line = yield Next(handle, max(0.001, min(endTime - node.now(), stallSeconds)))
        check_line(line, stream.name, len(stream.pieces))
        if line.get("end"):
            lease.mayRunOn = False
            yield from journal.keep(stream, (), ended=True)
            yield from emit_held(stream, sending)
            return
        yield from journal.keep(stream, (line["piece"],))
        yield from emit_held(stream, sending)
        if lease.isWantedBack:
            sending.isPaused = True
            return
