"""Received HTTP/1.1 requests, their limits, and the encoding of responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import QuillringError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quillring.kernel.types import HeaderLines

REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    409: "Conflict",
    412: "Precondition Failed",
    413: "Content Too Large",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class HttpLimits:
    """Limits on the size of requests and on the idle times of a client connection.

    Attributes
    ----------
    head_bytes, body_bytes : maximum size of the head and of the body of a request
    head_seconds : maximum time without input within a request
    idle_seconds : maximum idle time of a connection between two requests
    """

    __slots__ = ("head_bytes", "body_bytes", "head_seconds", "idle_seconds")

    def __init__(
        self,
        head_bytes: int = 16384,
        body_bytes: int = 4 << 20,
        head_seconds: float = 3.0,
        idle_seconds: float = 15.0,
    ) -> None:
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.head_seconds = head_seconds
        self.idle_seconds = idle_seconds


class HttpRequest:
    """One complete request as received.

    Attributes
    ----------
    lines : header fields as (name, value), in their order
    headers : values of the header fields by lower-case name, the last one if a name is repeated
    is_persistent : whether the client keeps the connection open after the response
    arrived_at : monotonic time at which the end of the request was read, in seconds
    """

    __slots__ = ("method", "target", "lines", "headers", "body", "is_persistent", "arrived_at")

    def __init__(
        self,
        method: str,
        target: str,
        lines: HeaderLines,
        body: bytes,
        is_persistent: bool,
        arrived_at: float,
    ) -> None:
        self.method = method
        self.target = target
        self.lines = lines
        self.headers = {name.lower(): value for name, value in lines}
        self.body = body
        self.is_persistent = is_persistent
        self.arrived_at = arrived_at


class RequestRejected(QuillringError):
    """The request is malformed or over a limit.

    The client gets a response with `status`, after which the connection is closed.
    """

    kind = "bad_client"
    status = 400


def encode_head(status: int, headers: Iterable[tuple[str, str]]) -> bytes:
    """Return the status line and header section of a response, including the empty line."""
    lines = [f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Status')}"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of a body in chunked transfer coding (RFC 9112, section 7.1)."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class ClientGone(QuillringError):
    """The client closed its connection."""

    kind = "client_gone"
