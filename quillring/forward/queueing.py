"""Waiting for a place: short, and refused as soon as it is hopeless."""

from quillring.kernel.effects import Wait
from quillring.kernel.errors import Refused

HELD_SHARE = 0.2
LOOK_AGAIN = 0.05


def come_back(node, progress):
    """Return after how many seconds to come back: a fourth of the time that is left."""
    return max(0.05, (progress.end_time - node.now()) / 4)


def choose(placement, service, request, progress):
    """Return a replica not tried yet; for a stream that has begun, one tried before will do."""
    chosen_replica = placement.choose(service, request, progress.avoided_names)
    if chosen_replica is None and progress.avoided_names and progress.has_head:
        return placement.choose(service, request)
    return chosen_replica


def acquire(node, forward, service, request, progress, arrived_at):
    """Coroutine: return a replica for the request, or refuse within a fifth of its goal.

    A stream that has begun, whose client has pieces already, waits until its end. Nothing is
    chosen once the request's time is over: no attempt could follow.
    """
    placement = node.find("placement")
    held_until = progress.end_time
    if not progress.has_head:
        held_until = min(held_until, arrived_at + forward.goal_seconds * HELD_SHARE)
    while True:
        if node.now() < progress.end_time:
            chosen_replica = choose(placement, service, request, progress)
            if chosen_replica is not None:
                return chosen_replica
        if node.now() >= held_until:
            node.count("forward_refusals")
            raise Refused(
                reason="no replica", service=service, come_back_s=come_back(node, progress)
            )
        yield Wait(placement.changed, min(LOOK_AGAIN, max(0.001, held_until - node.now())))
