"""Waiting for a place: short, and refused as soon as it is hopeless."""

from quillring.kernel.effects import Wait
from quillring.kernel.errors import Refused

HELD_SHARE = 0.2
LOOK_AGAIN = 0.05


def come_back(node, sending):
    """Return after how many seconds to come back: a fourth of the time that is left."""
    return max(0.05, (sending.end_time - node.now()) / 4)


def acquire(node, forward, service, request, sending, arrived_at):
    """Script: return a replica for the request, or refuse within a fifth of its goal.

    A stream that has begun, whose client has pieces already, waits until its end.
    """
    placement = node.find("placement")
    held_until = sending.end_time
    if not sending.has_head:
        held_until = min(held_until, arrived_at + forward.goal_seconds * HELD_SHARE)
    while True:
        chosen_replica = placement.choose(service, request, sending.avoided_names)
        if chosen_replica is None and sending.avoided_names and sending.has_head:
            chosen_replica = placement.choose(service, request)
        if chosen_replica is not None:
            return chosen_replica
        if node.now() >= held_until:
            node.count("forward_refusals")
            raise Refused(
                reason="no replica", service=service, come_back_s=come_back(node, sending)
            )
        yield Wait(placement.changed, min(LOOK_AGAIN, max(0.001, held_until - node.now())))
