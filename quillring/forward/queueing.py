"""Queueing for a replica: short, and refused with a retry-after as soon as it is hopeless."""

from __future__ import annotations

from typing import TYPE_CHECKING

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
"""Share of the route's latency goal that a request queues at most."""
POLL_INTERVAL_SECONDS = 0.05
MIN_RETRY_AFTER_SECONDS = 0.05
MIN_WAIT_SECONDS = 0.001


def retry_after_seconds(node: Node, progress: RequestProgress) -> float:
    """Return after how many seconds to retry: a fourth of the time that is left."""
    return max(MIN_RETRY_AFTER_SECONDS, (progress.end_time - node.now()) / 4)


def choose_replica(
    load_balancer: LoadBalancer, service: str, request: Request, progress: RequestProgress
) -> Replica | None:
    """Return a replica not tried yet; for a stream that has begun, one tried before will do."""
    replica = load_balancer.choose(service, request, progress.avoided_names)
    if replica is None and progress.avoided_names and progress.has_head:
        return load_balancer.choose(service, request)
    return replica


def wait_for_replica(
    node: Node,
    route: ForwardRoute,
    service: str,
    request: Request,
    progress: RequestProgress,
    arrived_at: float,
) -> Coroutine:
    """Return a replica for the request once there is one.

    A stream that has begun, whose client has pieces already, queues until its end. Nothing is
    chosen once the request's time is over: no attempt could follow.

    Raises
    ------
    Refused
        No replica became free within the queue timeout.
    """
    load_balancer = node.find("placement")
    queue_until = progress.end_time
    if not progress.has_head:
        queue_until = min(
            queue_until, arrived_at + route.latency_goal_seconds * QUEUE_TIMEOUT_SHARE
        )
    while True:
        if node.now() < progress.end_time:
            replica = choose_replica(load_balancer, service, request, progress)
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
        yield Wait(load_balancer.changed, seconds)
