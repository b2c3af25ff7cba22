"""Waiting for a place: short, and refused as soon as it is hopeless."""

from quillring.kernel.effects import Wait
from quillring.kernel.troubles import Refused

HELD_SHARE = 0.2
LOOK_AGAIN = 0.05


def come_back(node, sending):
    """Return after how many seconds to come back: a fourth of the time that is left."""
    return max(0.05, (sending.endTime - node.now()) / 4)


def acquire(node, forward, service, request, sending, arrivedAt):
    """Script: return a replica for the request, or refuse within a fifth of its goal.

    A stream that has begun, whose client has pieces already, waits until its end.
    """
    placement = node.find("placement")
    heldUntil = sending.endTime
    if not sending.hasHead:
        heldUntil = min(heldUntil, arrivedAt + forward.goalSeconds * HELD_SHARE)
    while True:
        chosenReplica = placement.choose(service, request, sending.avoidedNames)
        if chosenReplica is None and sending.avoidedNames and sending.hasHead:
            chosenReplica = placement.choose(service, request)
        if chosenReplica is not None:
            return chosenReplica
        if node.now() >= heldUntil:
            node.count("forward_refusals")
            raise Refused(
                reason="no replica", service=service, come_back_s=come_back(node, sending))
        yield Wait(placement.changed, min(LOOK_AGAIN, max(0.001, heldUntil - node.now())))
