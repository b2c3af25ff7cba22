"""Handling of a forwarded request: wait for a replica, make an attempt, respond or retry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.forward.attempt import is_not_run, is_sealed, open_response, record_if_misdirected
from quillring.forward.decision_log import (
    CACHED_PREFIX,
    NOT_PLACED,
    OTHER_ZONE,
    OWN_ZONE,
    DecisionRecord,
)
from quillring.forward.queueing import retry_after_seconds, wait_for_replica
from quillring.forward.response import Response, read_response, stream_events
from quillring.forward.retry import (
    RETRY,
    STREAM_COMPLETE,
    AttemptOutcome,
    RequestProgress,
    check_may_retry,
    first_byte_timeout,
    may_retry,
    record_failed_attempt,
)
from quillring.kernel.errors import BackendError, NotSent, OutcomeUnknown, Refused

if TYPE_CHECKING:
    from quillring.forward.header_names import HeaderNames
    from quillring.forward.load_balancer import InFlightRequest
    from quillring.forward.request import Request
    from quillring.forward.route_table import ForwardRoute
    from quillring.forward.types import Replica
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

URGENCY_BY_RANK = (1, 3, 4, 5, 6)
MAX_URGENCY = 9
LONG_PROMPT_TOKENS = 4000
SUCCESS_STATUSES = range(200, 300)
SERVER_ERROR_STATUSES = range(500, 600)
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses from which clients conclude that their request has not run."""


def urgency_of(route: ForwardRoute, request: Request) -> int:
    """Return the urgency sent to a replica: by the route's rank, with short prompts first."""
    is_long = request.prompt_tokens >= LONG_PROMPT_TOKENS
    rank = min(route.urgency, len(URGENCY_BY_RANK) - 1)
    return min(MAX_URGENCY, URGENCY_BY_RANK[rank] + is_long)


def deadline_of(route: ForwardRoute, request: Request, arrived_at: float) -> float:
    """Return the earlier of the request's deadline and the end of the route's timeout."""
    seconds = route.timeout_seconds
    if request.deadline_ms is not None:
        seconds = min(seconds, request.deadline_ms / 1000)
    return arrived_at + seconds


def check_ready(node: Node) -> None:
    """Raise Refused while the node has no configuration, or while it is closing.

    A node that has just started does not know the routes; one that is closing might abort the
    request.
    """
    if node.is_closing:
        raise Refused(reason="closing", come_back_s=node.bounds.gossip_interval)
    if node.find("forwards").is_empty():
        raise Refused(reason="no layout yet", come_back_s=node.bounds.read_timeout)


def forward_request(
    node: Node, route: ForwardRoute, request: Request, arrived_at: float
) -> Coroutine:
    """Forward a request; emit a stream's head and bytes, or return a complete Response."""
    progress = RequestProgress(deadline_of(route, request, arrived_at), request.last_event_id)
    decisions = node.find("decisions")
    if not decisions.should_sample():
        return (yield from forward_until_final(node, route, request, progress, arrived_at))
    try:
        return (yield from forward_until_final(node, route, request, progress, arrived_at))
    finally:
        decisions.add(decision_record(node, route, request, progress, arrived_at))


def forward_until_final(
    node: Node, route: ForwardRoute, request: Request, progress: RequestProgress, arrived_at: float
) -> Coroutine:
    """Make attempts until one is final or no further attempt is allowed."""
    service = route.pick_service(request.id or request.target)
    while True:
        try:
            replica = yield from wait_for_replica(
                node, route, service, request, progress, arrived_at
            )
        except Refused:
            if progress.last_response is not None:
                return progress.last_response
            raise
        outcome = yield from try_replica(node, route, request, progress, replica)
        if outcome.is_final:
            return outcome.response


def decision_record(
    node: Node, route: ForwardRoute, request: Request, progress: RequestProgress, arrived_at: float
) -> DecisionRecord:
    """Return the decision record of a finished request."""
    last, now = progress.in_flight_request, node.now()
    if last is None:
        goal = route.latency_goal_seconds
        waited = now - arrived_at
        tokens = request.prompt_tokens
        return DecisionRecord(
            route.name, NOT_PLACED, None, None, tokens, 0, 0, 0, 0, waited, None, waited, goal, 0
        )
    estimate, replica = last.estimate, last.replica
    if estimate.uncached_tokens < request.prompt_tokens:
        reason = CACHED_PREFIX
    else:
        reason = OWN_ZONE if replica.zone == node.me.zone else OTHER_ZONE
    first_token_at = last.first_token_at
    return DecisionRecord(
        route=route.name,
        reason=reason,
        replica=replica.name,
        replica_zone=replica.zone,
        prompt_tokens=request.prompt_tokens,
        uncached_tokens=estimate.uncached_tokens,
        known_in_flight=estimate.in_flight,
        expected_wait_seconds=estimate.wait_seconds,
        expected_first_token_seconds=estimate.first_token_seconds,
        queued_seconds=last.started_at - arrived_at,
        first_token_seconds=None if first_token_at is None else first_token_at - arrived_at,
        total_seconds=now - arrived_at,
        goal_seconds=route.latency_goal_seconds,
        attempts=progress.attempts,
    )


def try_replica(
    node: Node, route: ForwardRoute, request: Request, progress: RequestProgress, replica: Replica
) -> Coroutine:
    """Make one attempt and return its AttemptOutcome.

    Raises
    ------
    OutcomeUnknown
        The attempt failed, the request may have run, and no further attempt is allowed.
    """
    progress.attempts += 1
    in_flight_request = node.find("placement").start_request(replica, request)
    progress.in_flight_request = in_flight_request
    handle = None
    try:
        handle = yield from open_response(
            node,
            replica,
            request,
            progress.last_event_id,
            urgency_of(route, request),
            progress.deadline,
            route.is_retryable,
            first_byte_timeout(node, route, progress),
        )
        in_flight_request.record_response_head()
        return (yield from forward_response(node, route, progress, handle, in_flight_request))
    except NotSent as error:
        record_failed_attempt(node, progress, replica, error, True)
        progress.attempts -= 1
    except BackendError as error:
        record_failed_attempt(node, progress, replica, error, False)
        check_may_retry(node, route, progress, error)
    finally:
        in_flight_request.finish()
        if handle is not None:
            handle.close()
    return RETRY


def forward_response(
    node: Node,
    route: ForwardRoute,
    progress: RequestProgress,
    handle: Any,
    in_flight_request: InFlightRequest,
) -> Coroutine:
    """Check the head of a response and forward its body; raise BackendError if it is invalid."""
    header_names = node.find("dialect")
    if is_not_run(header_names, handle):
        handle_not_run(node, route, progress, handle, in_flight_request.replica)
        return RETRY
    check_head(header_names, handle)
    is_stream = handle.headers.get("content-type", "").startswith("text/event-stream")
    if is_stream and handle.status == 200:
        yield from stream_events(node, route, progress, handle, in_flight_request)
        return STREAM_COMPLETE
    response = yield from read_response(node, progress, handle)
    if handle.status in SUCCESS_STATUSES:
        in_flight_request.record_body_bytes(len(response.body))
    if handle.status in SERVER_ERROR_STATUSES and may_retry(node, route, progress):
        progress.excluded_names.add(in_flight_request.replica.name)
        progress.last_response = response
        return RETRY
    return AttemptOutcome(True, check_head_not_sent(progress, response))


def check_head(header_names: HeaderNames, handle: Any) -> None:
    """Raise BackendError for a success without a seal, or a status that falsely means "not run".

    Clients conclude from NOT_RUN_STATUSES that their request has not run; without the replica's
    "not run" header, it may have run.
    """
    if handle.status in SUCCESS_STATUSES and not is_sealed(header_names, handle):
        raise BackendError(reason="no seal")
    if handle.status in NOT_RUN_STATUSES:
        raise BackendError(reason="no word of not run", status=handle.status)


def handle_not_run(
    node: Node, route: ForwardRoute, progress: RequestProgress, handle: Any, replica: Replica
) -> None:
    """Exclude a replica that did not run the request; raise Refused if no attempt is left.

    A stream that has begun may exceed the limit of attempts, because a replica that refuses a
    request does not run it.
    """
    progress.excluded_names.add(replica.name)
    record_if_misdirected(node, replica, handle)
    if progress.attempts >= route.max_attempts and not progress.has_sent_head:
        seconds = retry_after_seconds(node, progress) / 2
        raise Refused(reason="replicas are full", come_back_s=seconds)


def check_head_not_sent(progress: RequestProgress, response: Response) -> Response:
    """Return the response; raise OutcomeUnknown if the head of a stream has been sent."""
    if progress.has_sent_head:
        raise OutcomeUnknown(reason="a failure amid the stream")
    return response
