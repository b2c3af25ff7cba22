"""Progress of a forwarded request, and the rules for a retry at another replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import OutcomeUnknown
from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from quillring.forward.load_balancer import InFlightRequest
    from quillring.forward.response import Response
    from quillring.forward.route_table import ForwardRoute
    from quillring.forward.types import Replica
    from quillring.kernel.errors import BackendError
    from quillring.kernel.node import Node

SILENCE_TIMEOUT_FACTOR = 1.2
"""Multiple of the route's gap goal without a byte after which the attempt is abandoned."""
STALL = "stall"
NON_REPLICA_FAILURE_REASONS = ("left", "no time left")


class RequestProgress:
    """Progress of one request: attempts made, replicas to avoid, and what the client has received.

    `attempts` counts the attempts that may have reached a replica, including those with a "not run"
    response; attempts that ended in NotSent are not counted. `in_flight_request` belongs to the
    last attempt.
    """

    __slots__ = (
        "attempts",
        "excluded_names",
        "last_event_id",
        "has_sent_head",
        "deadline",
        "last_response",
        "in_flight_request",
    )

    def __init__(self, deadline: float, last_event_id: int | None) -> None:
        self.attempts = 0
        self.excluded_names: set[str] = set()
        self.last_event_id = last_event_id
        self.has_sent_head = False
        self.deadline = deadline
        self.last_response: Response | None = None
        self.in_flight_request: InFlightRequest | None = None


class AttemptOutcome(NamedTuple):
    """Result of an attempt: final, or to be retried.

    A final outcome has the response that is still to be sent; None if a stream was forwarded to
    its end.
    """

    is_final: bool
    response: Response | None = None


RETRY = AttemptOutcome(False)
STREAM_COMPLETE = AttemptOutcome(True)


def first_byte_timeout(node: Node, route: ForwardRoute, progress: RequestProgress) -> float | None:
    """Return the seconds to wait for the first byte; None if a retry would not be allowed."""
    if not may_retry(node, route, progress):
        return None
    return route.gap_goal_seconds * SILENCE_TIMEOUT_FACTOR


def may_retry(node: Node, route: ForwardRoute, progress: RequestProgress) -> bool:
    """Return whether a request that may have run may be retried at another replica."""
    is_in_time: bool = node.now() < progress.deadline
    return route.is_retryable and progress.attempts < route.max_attempts and is_in_time


def check_may_retry(
    node: Node, route: ForwardRoute, progress: RequestProgress, error: BackendError
) -> None:
    """Raise OutcomeUnknown unless the request may be retried after a failed attempt."""
    if not route.is_retryable:
        raise OutcomeUnknown(reason="the replica broke off") from error
    if not may_retry(node, route, progress):
        raise OutcomeUnknown(reason="no attempt left") from error


def record_failed_attempt(
    node: Node, progress: RequestProgress, replica: Replica, error: BackendError, is_certain: bool
) -> None:
    """Exclude the replica from this request, and record the failure if the replica caused it."""
    reason = error.detail.get("reason", "")
    node.count(f"forward_{error.kind}_{reason}")
    progress.excluded_names.add(replica.name)
    if reason not in NON_REPLICA_FAILURE_REASONS:
        node.find("placement").record_failure(replica, is_certain or reason == STALL)
