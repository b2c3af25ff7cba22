"""Forwarding of a replica's response: complete, or streamed event by event."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.forward.attempt import RESPONSE_GRACE_SECONDS
from quillring.forward.events import EventReader
from quillring.forward.request import hop_by_hop_headers
from quillring.forward.retry import SILENCE_TIMEOUT_FACTOR, STALL, may_retry
from quillring.kernel.effects import ReadBody, SendToClient
from quillring.kernel.errors import BackendError
from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quillring.forward.load_balancer import InFlightRequest
    from quillring.forward.retry import RequestProgress
    from quillring.forward.route_table import ForwardRoute
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

LONG_SILENCE_TIMEOUT_FACTOR = 4
"""Like SILENCE_TIMEOUT_FACTOR, for a replica that responds to other requests meanwhile."""


class Response(NamedTuple):
    """Status, headers and body for the client; the body of a stream is its first bytes."""

    status: int
    header_pairs: list[tuple[str, str]]
    body: bytes


def end_to_end_headers(headers: Mapping[str, str]) -> list[tuple[str, str]]:
    """Return the headers of a response without the hop-by-hop headers (RFC 9110, 7.6.1)."""
    removed = hop_by_hop_headers(headers)
    return [(name, value) for name, value in headers.items() if name not in removed]


def read_response(node: Node, progress: RequestProgress, handle: Any) -> Coroutine:
    """Read the complete body and return a Response; raise BackendError if it is cut off or late."""
    parts: list[bytes] = []
    while True:
        part = yield ReadBody(handle, progress.deadline - node.now() + RESPONSE_GRACE_SECONDS)
        if part is None:
            return Response(handle.status, end_to_end_headers(handle.headers), b"".join(parts))
        parts.append(part)


def stream_events(
    node: Node,
    route: ForwardRoute,
    progress: RequestProgress,
    handle: Any,
    in_flight_request: InFlightRequest,
) -> Coroutine:
    """Forward complete events as they arrive, until the stream ends.

    Raises
    ------
    BackendError
        The stream failed or ended within an event.
    """
    reader = EventReader(progress.last_event_id)
    while True:
        data = yield from read_next_bytes(node, route, progress, handle, in_flight_request)
        if data is None:
            break
        in_flight_request.record_body_bytes(len(data))
        events = reader.feed(data)
        if events:
            yield from emit_stream(progress, handle, b"".join(event.raw for event in events))
        if reader.last_event_id is not None:
            progress.last_event_id = reader.last_event_id
    if not reader.is_at_event_boundary:
        raise BackendError(reason="cut event")
    if reader.unparsed or not progress.has_sent_head:
        yield from emit_stream(progress, handle, reader.unparsed)


def emit_stream(progress: RequestProgress, handle: Any, data: bytes) -> Coroutine:
    """Emit bytes of a stream to the client, the first ones together with the response head."""
    if progress.has_sent_head:
        yield SendToClient(data)
        return
    progress.has_sent_head = True
    yield SendToClient(Response(handle.status, end_to_end_headers(handle.headers), data))


def read_next_bytes(
    node: Node,
    route: ForwardRoute,
    progress: RequestProgress,
    handle: Any,
    in_flight_request: InFlightRequest,
) -> Coroutine:
    """Return the next bytes, or None at the end; raise BackendError if the replica stalls."""
    timeout = route.gap_goal_seconds * SILENCE_TIMEOUT_FACTOR
    while True:
        seconds_left = progress.deadline - node.now() + RESPONSE_GRACE_SECONDS
        if not may_retry(node, route, progress):
            return (yield ReadBody(handle, seconds_left))
        try:
            return (yield ReadBody(handle, min(timeout, seconds_left)))
        except BackendError as error:
            is_past_deadline = node.now() >= progress.deadline
            is_long_timeout = timeout >= route.gap_goal_seconds * LONG_SILENCE_TIMEOUT_FACTOR
            if error.detail["reason"] != STALL or is_past_deadline or is_long_timeout:
                raise
            if node.find("placement").is_unresponsive(in_flight_request.replica, timeout):
                raise
            timeout = route.gap_goal_seconds * LONG_SILENCE_TIMEOUT_FACTOR
