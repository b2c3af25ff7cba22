"""One attempt: a request sent to one replica, and what its response says about having run."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.forward.retry import STALL
from quillring.kernel.effects import ReadHead, SendRequest
from quillring.kernel.errors import BackendError, NotSent, StaleConnection

if TYPE_CHECKING:
    from quillring.forward.header_names import HeaderNames
    from quillring.forward.request import Request
    from quillring.forward.types import Replica
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

GRACE_SECONDS = 0.05
"""A response is waited for so long past the end of its request."""
MISDIRECTED_REQUEST = 421
"""Status of a replica that is not the one named in the request (RFC 9110, section 15.5.20)."""
BUSY_TIMEOUT_FACTOR = 4
"""A replica that answers other requests gets so many times the first-byte timeout."""


def open_response(
    node: Node,
    replica: Replica,
    request: Request,
    last_event_id: int | None,
    urgency: int | None,
    end_time: float,
    may_reuse: bool,
    first_byte_timeout: float | None = None,
) -> Coroutine:
    """Send the request and return the response's handle once its head is there.

    Parameters
    ----------
    end_time
        The node's time, in seconds, at which the client waits no more.
    may_reuse
        The request may run again: only then does it go out on a kept connection, and if that had
        died it is sent once more on a new one, with the replica and the time left looked at anew.
    first_byte_timeout
        Seconds after which a replica from which nothing at all came is left; one that answers
        other requests gets four times as long.

    Raises
    ------
    NotSent
        Nothing reached the replica.
    BackendError
        The request may have run.
    """
    fields = (node, replica, request, last_event_id, urgency, end_time)
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
    end_time: float,
    first_byte_timeout: float | None,
) -> Coroutine:
    """Send once more what a dead connection may have brought to the replica.

    Whatever the second sending comes to, the request may have run: neither NotSent nor the
    replica's word of not having run it is passed on.
    """
    fields = (node, replica, request, last_event_id, urgency, end_time)
    try:
        handle = yield from send_once(*fields, False, first_byte_timeout)
    except NotSent as error:
        raise BackendError(**error.detail) from error
    if is_not_run(node.find("dialect"), handle):
        handle.close()
        note_if_misdirected(node, replica, handle)
        raise BackendError(reason="not run this time")
    return handle


def send_once(
    node: Node,
    replica: Replica,
    request: Request,
    last_event_id: int | None,
    urgency: int | None,
    end_time: float,
    may_reuse: bool,
    first_byte_timeout: float | None,
) -> Coroutine:
    """Send the request on one connection and return the handle once the head is there."""
    if not node.find("replicas").may_receive_requests(replica):
        raise NotSent(replica=replica.name, reason="left")
    header_names = node.find("dialect")
    seconds_left = end_time - node.now()
    if seconds_left <= 0:
        raise NotSent(replica=replica.name, reason="no time left")
    data = request.to_bytes(header_names, replica.name, seconds_left, urgency, last_event_id)
    answer_id = (header_names.request_id, request.id)
    handle = yield SendRequest(replica.address, data, seconds_left, may_reuse, answer_id)
    has_head = False
    try:
        yield from wait_for_head(node, replica, handle, end_time, first_byte_timeout)
        has_head = True
        return handle
    finally:
        if not has_head:
            handle.close()


def wait_for_head(
    node: Node, replica: Replica, handle: Any, end_time: float, first_byte_timeout: float | None
) -> Coroutine:
    """Return once the head is there; BackendError when it is not in time."""
    if not first_byte_timeout:
        yield ReadHead(handle, end_time - node.now() + GRACE_SECONDS)
        return
    sent_at = node.now()
    try:
        seconds_left = end_time - node.now() + GRACE_SECONDS
        yield ReadHead(handle, min(seconds_left, first_byte_timeout))
        return
    except BackendError as error:
        is_unresponsive = node.find("placement").is_unresponsive(replica, node.now() - sent_at)
        if error.detail["reason"] != STALL or is_unresponsive or node.now() >= end_time:
            raise
    seconds_left = end_time - node.now() + GRACE_SECONDS
    yield ReadHead(handle, min(seconds_left, first_byte_timeout * BUSY_TIMEOUT_FACTOR))


def note_if_misdirected(node: Node, replica: Replica, handle: Any) -> None:
    """Note it where another replica answered at the address."""
    if handle.status == MISDIRECTED_REQUEST:
        node.find("replicas").note_misdirected(replica)


def is_not_run(header_names: HeaderNames, handle: Any) -> bool:
    """Tell whether the replica says that it did not run the request and never will."""
    return handle.status == MISDIRECTED_REQUEST or header_names.not_run in handle.headers


def is_sealed(header_names: HeaderNames, handle: Any) -> bool:
    """Tell whether the response bears its replica's seal."""
    return header_names.seal in handle.headers
