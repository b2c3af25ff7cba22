"""The way of a forwarded request through a node: one function a kind, read top to bottom."""

from quillring.forward.attempt import is_not_run, is_sealed, note_misplaced, open_answer
from quillring.forward.queueing import acquire, come_back
from quillring.forward.response import read_whole, relay_events
from quillring.forward.retry import (
    GO_ON,
    STREAM_ENDED,
    Outcome,
    Progress,
    check_may_follow,
    first_patience,
    may_go_on,
    note_error,
)
from quillring.kernel.errors import BackendError, NotSent, OutcomeUnknown, Refused

URGENCIES = (1, 3, 4, 5, 6)
LONG_PROMPT = 4000
SUCCESSES = range(200, 300)
FAILURES = range(500, 600)
PROMISES = frozenset((408, 421, 429, 503))


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
    """Refuse while no layout is known yet, and what a node that ends might have to cut.

    A node that just started can't tell what there is.
    """
    if node.is_closing:
        raise Refused(reason="closing", come_back_s=node.bounds.gossip_interval)
    if node.find("forwards").is_empty():
        raise Refused(reason="no layout yet", come_back_s=node.bounds.read_timeout)


def serve(node, forward, request, arrived_at):
    """Coroutine: pass a request on; emits head and bytes of a stream, or returns a whole answer."""
    progress = Progress(end_time(node, forward, request, arrived_at), request.last_event)
    service = forward.service_for(request.id or request.target)
    while True:
        try:
            replica = yield from acquire(node, forward, service, request, progress, arrived_at)
        except Refused:
            if progress.last_answer is not None:
                return progress.last_answer
            raise
        outcome = yield from try_replica(node, forward, request, progress, replica)
        if outcome.is_final:
            return outcome.answer


def try_replica(node, forward, request, progress, replica):
    """Coroutine: make one attempt; OutcomeUnknown where it failed and no other may follow."""
    progress.attempts += 1
    lease = node.find("placement").begin(replica, request)
    handle = None
    try:
        handle = yield from open_answer(
            node,
            replica,
            request,
            progress.last_event,
            urgency_of(forward, request),
            progress.end_time,
            forward.may_repeat,
            first_patience(node, forward, progress),
        )
        lease.heard()
        return (yield from take_answer(node, forward, progress, handle, lease))
    except NotSent as error:
        note_error(node, progress, replica, error, True)
        progress.attempts -= 1
    except BackendError as error:
        note_error(node, progress, replica, error, False)
        check_may_follow(node, forward, progress, error)
    finally:
        lease.end()
        if handle is not None:
            handle.close()
    return GO_ON


def take_answer(node, forward, progress, handle, lease):
    """Coroutine: judge the head of an answer and take its body; BackendError where it is none."""
    dialect = node.find("dialect")
    if is_not_run(dialect, handle):
        take_refusal(node, forward, progress, handle, lease.replica)
        return GO_ON
    check_head(dialect, handle)
    is_stream = handle.headers.get("content-type", "").startswith("text/event-stream")
    if is_stream and handle.status == 200:
        yield from relay_events(node, forward, progress, handle, lease)
        return STREAM_ENDED
    answer = yield from read_whole(node, progress, handle)
    if handle.status in FAILURES and may_go_on(node, forward, progress):
        progress.avoided_names.add(lease.replica.name)
        progress.last_answer = answer
        return GO_ON
    return Outcome(True, check_whole(progress, answer))


def check_head(dialect, handle):
    """Refuse a success without the replica's seal, and a promise without the word of not run.

    A client takes the statuses of PROMISES for the word that the request has not run; without that
    word of the replica it may have.
    """
    if handle.status in SUCCESSES and not is_sealed(dialect, handle):
        raise BackendError(reason="no seal")
    if handle.status in PROMISES:
        raise BackendError(reason="no word of not run", status=handle.status)


def take_refusal(node, forward, progress, handle, replica):
    """Note that a replica did not run the request; Refused when no other may be asked.

    A stream that has begun may be offered to further replicas: those that refused it ran nothing.
    """
    progress.avoided_names.add(replica.name)
    note_misplaced(node, replica, handle)
    if progress.attempts >= forward.tries and not progress.has_head:
        raise Refused(reason="replicas are full", come_back_s=come_back(node, progress) / 2)


def check_whole(progress, answer):
    """Return the answer; where a stream's head is out already, nothing can follow it."""
    if progress.has_head:
        raise OutcomeUnknown(reason="a failure amid the stream")
    return answer
