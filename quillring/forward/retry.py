"""How far one forwarded request has come, and whether another replica may be asked."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import OutcomeUnknown
from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from quillring.forward.response import Response
    from quillring.forward.route_table import ForwardRoute
    from quillring.forward.types import Replica
    from quillring.kernel.errors import BackendError
    from quillring.kernel.node import Node

SILENCE_TIMEOUT_FACTOR = 1.2
"""A replica is left after so many times the route's gap goal without a byte."""
STALL = "stall"
NOT_THE_REPLICAS_FAULT = ("left", "no time left")


class RequestProgress:
    """How far one request has come: attempts made, replicas to avoid, what the client has.

    `attempts` counts the replicas that the request may have reached, those that said they did not
    run it included; only an attempt that provably reached nothing is not counted.
    """

    __slots__ = (
        "attempts",
        "avoided_names",
        "last_event_id",
        "has_head",
        "end_time",
        "last_response",
    )

    def __init__(self, end_time: float, last_event_id: int | None) -> None:
        self.attempts = 0
        self.avoided_names: set[str] = set()
        self.last_event_id = last_event_id
        self.has_head = False
        self.end_time = end_time
        self.last_response: Response | None = None


class AttemptOutcome(NamedTuple):
    """What an attempt came to: the end of the request with its response, or another attempt.

    A stream that was passed on to its end is final without a response.
    """

    is_final: bool
    response: Response | None = None


RETRY = AttemptOutcome(False)
STREAM_COMPLETE = AttemptOutcome(True)


def first_byte_timeout(node: Node, route: ForwardRoute, progress: RequestProgress) -> float | None:
    """Return after how many seconds of silence a replica is left, or None if none may follow."""
    if not may_retry(node, route, progress):
        return None
    return route.gap_goal_seconds * SILENCE_TIMEOUT_FACTOR


def may_retry(node: Node, route: ForwardRoute, progress: RequestProgress) -> bool:
    """Tell whether another replica may be asked after one that may have run the request."""
    is_in_time: bool = node.now() < progress.end_time
    return route.is_retryable and progress.attempts < route.max_attempts and is_in_time


def check_may_retry(
    node: Node, route: ForwardRoute, progress: RequestProgress, error: BackendError
) -> None:
    """Raise OutcomeUnknown unless another replica may be asked after a failed attempt."""
    if not route.is_retryable:
        raise OutcomeUnknown(reason="the replica broke off") from error
    if not may_retry(node, route, progress):
        raise OutcomeUnknown(reason="no attempt left") from error


def record_failed_attempt(
    node: Node, progress: RequestProgress, replica: Replica, error: BackendError, is_certain: bool
) -> None:
    """Avoid the replica from now on for this request, and note the failure in its health."""
    reason = error.detail.get("reason", "")
    node.count(f"forward_{error.kind}_{reason}")
    progress.avoided_names.add(replica.name)
    if reason not in NOT_THE_REPLICAS_FAULT:
        node.find("placement").record_failure(replica, is_certain or reason == STALL)
