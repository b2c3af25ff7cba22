"""Queueing of requests until a replica is available, limited by the latency goal."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.forward.load_balancer import LatencyGoals
from quillring.kernel.effects import Wait
from quillring.kernel.errors import Refused

if TYPE_CHECKING:
    from quillring.forward.load_balancer import LoadBalancer
    from quillring.forward.request import Request
    from quillring.forward.retry import RequestProgress
    from quillring.forward.route_table import ForwardRoute
    from quillring.forward.types import Replica
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

QUEUE_TIMEOUT_SHARE = 0.2
"""Longest queueing time of a request, as a share of the route's latency goal."""
POLL_INTERVAL_SECONDS = 0.05
MIN_RETRY_AFTER_SECONDS = 0.05
MIN_WAIT_SECONDS = 0.001


def retry_after_seconds(node: Node, progress: RequestProgress) -> float:
    """Return the value of Retry-After in seconds: a quarter of the time until the deadline."""
    return max(MIN_RETRY_AFTER_SECONDS, (progress.deadline - node.now()) / 4)


def choose_replica(
    load_balancer: LoadBalancer,
    route: ForwardRoute,
    service: str,
    request: Request,
    progress: RequestProgress,
) -> Replica | None:
    """Return an untried replica; for a stream that has begun, a tried one if there is no other."""
    goals = LatencyGoals(route.latency_goal_seconds, route.gap_goal_seconds)
    replica = load_balancer.choose(service, request, progress.excluded_names, goals=goals)
    if replica is None and progress.excluded_names and progress.has_sent_head:
        return load_balancer.choose(service, request, goals=goals)
    return replica


def wait_for_replica(
    node: Node,
    route: ForwardRoute,
    service: str,
    request: Request,
    progress: RequestProgress,
    arrived_at: float,
) -> Coroutine:
    """Wait for a replica for the request and return it.

    The wait ends QUEUE_TIMEOUT_SHARE of the latency goal after the arrival of the request, or at
    the deadline for a stream that has begun. No replica is chosen after the deadline.

    Raises
    ------
    Refused
        No replica became available within that time.
    """
    load_balancer = node.find("placement")
    queue_until = progress.deadline
    if not progress.has_sent_head:
        queue_until = min(
            queue_until, arrived_at + route.latency_goal_seconds * QUEUE_TIMEOUT_SHARE
        )
    while True:
        if node.now() < progress.deadline:
            replica = choose_replica(load_balancer, route, service, request, progress)
            if replica is not None:
                return replica
        if node.now() >= queue_until:
            node.count("forward_refusals")
            raise Refused(
                reason="no replica",
                service=service,
                come_back_s=retry_after_seconds(node, progress),
            )
        seconds = min(POLL_INTERVAL_SECONDS, max(MIN_WAIT_SECONDS, queue_until - node.now()))
        yield Wait(load_balancer.availability_changed, seconds)
