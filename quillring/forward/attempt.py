"""One forwarding attempt: send a request to one replica and classify whether it ran."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.forward.retry import STALL
from quillring.kernel.effects import ReadHead, SendRequest
from quillring.kernel.errors import BackendError, NotSent, StaleConnection
from quillring.kernel.traffic import REPLICA_REQUEST

if TYPE_CHECKING:
    from quillring.forward.header_names import HeaderNames
    from quillring.forward.request import Request
    from quillring.forward.types import Replica
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

RESPONSE_GRACE_SECONDS = 0.05
"""Time for which a response is still read after the deadline of its request."""
MISDIRECTED_REQUEST = 421
"""Status from a replica other than the one named in the request (RFC 9110, section 15.5.20)."""
BUSY_FIRST_BYTE_TIMEOUT_FACTOR = 4
"""Multiple of the first-byte timeout for a replica that responds to other requests."""


def open_response(
    node: Node,
    replica: Replica,
    request: Request,
    last_event_id: int | None,
    urgency: int | None,
    deadline: float,
    may_reuse: bool,
    first_byte_timeout: float | None = None,
) -> Coroutine:
    """Send the request and return the response handle once the response head is read.

    Parameters
    ----------
    deadline
        When the request must be complete, in seconds of the node's clock.
    may_reuse
        Whether the request may run again. Only then may it be sent on an idle connection; if that
        connection turns out to be dead, the request is sent once more on a new one, after the
        replica's state and the deadline are checked again.
    first_byte_timeout
        Seconds without any response byte after which the attempt fails, multiplied by
        BUSY_FIRST_BYTE_TIMEOUT_FACTOR if the replica responds to other requests. None or 0: only
        the deadline applies.

    Raises
    ------
    NotSent
        The request has not run.
    BackendError
        The request may have run.
    """
    fields = (node, replica, request, last_event_id, urgency, deadline)
    if may_reuse:
        try:
            return (yield from send_once(*fields, True, first_byte_timeout))
        except StaleConnection:
            node.count("forward_stale_connections")
        return (yield from resend(*fields, first_byte_timeout))
    return (yield from send_once(*fields, False, first_byte_timeout))


def resend(
    node: Node,
    replica: Replica,
    request: Request,
    last_event_id: int | None,
    urgency: int | None,
    deadline: float,
    first_byte_timeout: float | None,
) -> Coroutine:
    """Send a request again on a new connection after a dead one may have delivered it.

    The first delivery may have run, whatever the second one returns. NotSent and a "not run"
    response therefore become BackendError.
    """
    fields = (node, replica, request, last_event_id, urgency, deadline)
    try:
        handle = yield from send_once(*fields, False, first_byte_timeout)
    except NotSent as error:
        raise BackendError(**error.detail) from error
    if is_not_run(node.find("dialect"), handle):
        handle.close()
        record_if_misdirected(node, replica, handle)
        raise BackendError(reason="not run this time")
    return handle


def send_once(
    node: Node,
    replica: Replica,
    request: Request,
    last_event_id: int | None,
    urgency: int | None,
    deadline: float,
    may_reuse: bool,
    first_byte_timeout: float | None,
) -> Coroutine:
    """Send the request on one connection and return its handle once the response head is read.

    Raises
    ------
    NotSent
        The request has not run; for example, the replica no longer accepts requests, or the
        deadline has passed.
    BackendError
        The request may have run.
    """
    if not node.find("replicas").may_receive_requests(replica):
        raise NotSent(replica=replica.name, reason="left")
    header_names = node.find("dialect")
    seconds_left = deadline - node.now()
    if seconds_left <= 0:
        raise NotSent(replica=replica.name, reason="no time left")
    data = request.to_bytes(header_names, replica.name, seconds_left, urgency, last_event_id)
    response_id = (header_names.request_id, request.id)
    node.traffic.record(REPLICA_REQUEST, replica.zone, len(data))
    handle = yield SendRequest(replica.address, data, seconds_left, may_reuse, response_id)
    has_head = False
    try:
        yield from wait_for_head(node, replica, handle, deadline, first_byte_timeout)
        has_head = True
        return handle
    finally:
        if not has_head:
            handle.close()


def wait_for_head(
    node: Node, replica: Replica, handle: Any, deadline: float, first_byte_timeout: float | None
) -> Coroutine:
    """Return once the response head is read; raise BackendError after the timeout."""
    if not first_byte_timeout:
        yield ReadHead(handle, deadline - node.now() + RESPONSE_GRACE_SECONDS)
        return
    sent_at = node.now()
    try:
        seconds_left = deadline - node.now() + RESPONSE_GRACE_SECONDS
        yield ReadHead(handle, min(seconds_left, first_byte_timeout))
        return
    except BackendError as error:
        is_unresponsive = node.find("placement").is_unresponsive(replica, node.now() - sent_at)
        if error.detail["reason"] != STALL or is_unresponsive or node.now() >= deadline:
            raise
    seconds_left = deadline - node.now() + RESPONSE_GRACE_SECONDS
    yield ReadHead(handle, min(seconds_left, first_byte_timeout * BUSY_FIRST_BYTE_TIMEOUT_FACTOR))


def record_if_misdirected(node: Node, replica: Replica, handle: Any) -> None:
    """Mark the replica as misdirected if the status is 421: another one answered at its address."""
    if handle.status == MISDIRECTED_REQUEST:
        node.find("replicas").mark_misdirected(replica)


def is_not_run(header_names: HeaderNames, handle: Any) -> bool:
    """Return whether the response states that the request has not run and never will."""
    return handle.status == MISDIRECTED_REQUEST or header_names.not_run in handle.headers


def is_sealed(header_names: HeaderNames, handle: Any) -> bool:
    """Return whether the response has the seal header, which marks it as the replica's own."""
    return header_names.seal in handle.headers
