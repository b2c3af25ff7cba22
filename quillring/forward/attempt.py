"""One sending of a request to one replica, and what its answer says about having run."""

from quillring.forward.request import Request
from quillring.kernel.effects import NextHead, SendOn
from quillring.kernel.errors import BackendError, NotSent, StaleConnection

AFTER_END = 0.05
WRONG_REPLICA = 421


def open_answer(
    node,
    replica,
    request: Request,
    last_event,
    urgency,
    end_time,
    may_reuse,
    patience=None,
):
    """Coroutine: send the request on and return the answer's handle once its head is there.

    `end_time` is the node's time at which the client waits no more. With a `patience` in seconds a
    replica from which nothing at all came for so long is left, and one that works for others gets
    four times as long. `may_reuse` says that the request may run again: only then does it go out on
    a kept connection, and if that had died it is sent once more on a new one, with the replica
    and the time left looked at anew. Raises NotSent where nothing reached the replica, BackendError
    where the request may have run.
    """
    fields = (node, replica, request, last_event, urgency, end_time)
    if may_reuse:
        try:
            return (yield from send_once(*fields, True, patience))
        except StaleConnection:
            node.count("forward_stale_connections")
        return (yield from send_again(*fields, patience))
    return (yield from send_once(*fields, False, patience))


def send_again(node, replica, request, last_event, urgency, end_time, patience):
    """Coroutine: send once more what a dead connection may have brought to the replica.

    Whatever the second sending comes to, the request may have run: neither NotSent nor the
    replica's word of not run is passed on.
    """
    fields = (node, replica, request, last_event, urgency, end_time)
    try:
        handle = yield from send_once(*fields, False, patience)
    except NotSent as error:
        raise BackendError(**error.detail) from error
    if is_not_run(node.find("dialect"), handle):
        handle.close()
        note_misplaced(node, replica, handle)
        raise BackendError(reason="not run this time")
    return handle


def send_once(node, replica, request, last_event, urgency, end_time, may_reuse, patience):
    """Send the request on one connection and return the handle once its head is there."""
    if not node.find("replicas").may_be_sent(replica):
        raise NotSent(replica=replica.name, reason="left")
    dialect = node.find("dialect")
    seconds_left = end_time - node.now()
    if seconds_left <= 0:
        raise NotSent(replica=replica.name, reason="no time left")
    data = request.to_bytes(dialect, replica.name, seconds_left, urgency, last_event)
    answer_id = (dialect.request_id, request.id)
    handle = yield SendOn(replica.address, data, seconds_left, may_reuse, answer_id)
    has_head = False
    try:
        yield from wait_for_head(node, replica, handle, end_time, patience)
        has_head = True
        return handle
    finally:
        if not has_head:
            handle.close()


def wait_for_head(node, replica, handle, end_time, patience):
    """Coroutine: return once the head is there; BackendError when it is not in time."""
    sent_at = node.now()
    for factor in (1, 4) if patience else (None,):
        seconds_left = end_time - node.now() + AFTER_END
        seconds = seconds_left if factor is None else min(seconds_left, patience * factor)
        try:
            yield NextHead(handle, seconds)
            return
        except BackendError as error:
            is_silent = node.find("placement").is_silent(replica, node.now() - sent_at)
            if error.detail["reason"] != "stall" or factor != 1 or is_silent:
                raise
            if node.now() >= end_time:
                raise


def note_misplaced(node, replica, handle):
    """Note it where another replica answered at the address."""
    if handle.status == WRONG_REPLICA:
        node.find("replicas").misplaced(replica)


def is_not_run(dialect, handle):
    """Tell whether the replica says that it did not run the request and never will."""
    return handle.status == WRONG_REPLICA or dialect.not_run in handle.headers


def is_sealed(dialect, handle):
    """Tell whether the answer bears its replica's seal."""
    return dialect.seal in handle.headers
