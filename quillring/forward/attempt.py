"""One sending of a request to one replica, and what its answer says about having run."""

from quillring.forward.request import Request
from quillring.kernel.effects import NextHead, SendOn
from quillring.kernel.troubles import BackendTrouble, NotSent

AFTER_END = 0.05


def open_answer(
    node, replica, request: Request, lastEvent, urgency, endTime, mayReuse, patience=None,
):
    """Script: send the request on and return the answer's handle once its head is there.

    `endTime` is the node's time at which the sender waits no more. With a `patience` in seconds a
    replica from which nothing at all came for so long is left, and one that works for others gets
    four times as long. Raises NotSent where nothing reached the replica, BackendTrouble where the
    request may have run.
    """
    if not node.find("replicas").may_be_sent(replica):
        raise NotSent(replica=replica.name, reason="left")
    dialect = node.find("dialect")
    secondsLeft = endTime - node.now()
    if secondsLeft <= 0:
        raise NotSent(replica=replica.name, reason="no time left")
    data = request.to_bytes(dialect, replica.name, secondsLeft, urgency, lastEvent)
    answerId = None if request.id is None else (dialect.inquiry, request.id)
    handle = yield SendOn(replica.address, data, secondsLeft, mayReuse, answerId)
    hasHead = False
    try:
        yield from wait_for_head(node, replica, handle, endTime, patience)
        hasHead = True
        return handle
    finally:
        if not hasHead:
            handle.close()


def wait_for_head(node, replica, handle, endTime, patience):
    """Script: return once the head is there; BackendTrouble when it is not in time."""
    sentAt = node.now()
    for factor in (1, 4) if patience else (None,):
        secondsLeft = endTime - node.now() + AFTER_END
        seconds = secondsLeft if factor is None else min(secondsLeft, patience * factor)
        try:
            yield NextHead(handle, seconds)
            return
        except BackendTrouble as trouble:
            isSilent = node.find("placement").is_silent(replica, node.now() - sentAt)
            if trouble.detail["reason"] != "stall" or factor != 1 or isSilent:
                raise
            if node.now() >= endTime:
                raise


def is_not_run(dialect, handle):
    """Tell whether the replica says that it did not run the request and never will."""
    return handle.status == 421 or dialect.not_run in handle.headers


def is_sealed(dialect, handle):
    """Tell whether the answer bears its replica's seal."""
    return dialect.seal in handle.headers
