"""HTTP/1.1 client for replicas, without pipelining; responses are matched by request id.

Responses are parsed with httptools. A persistent connection is reused only within its keep-alive
time, and only for a request id that it has not carried yet. A request that was written completely
is never retried here: whether a retry is allowed is decided in `forward.attempt`.
"""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING

import gevent
import httptools

from quillring.kernel.connection_pool import POOL, connect, wait_until_ready
from quillring.kernel.errors import BackendError, NotSent, StaleConnection

if TYPE_CHECKING:
    from quillring.kernel.connection_pool import ReplicaConnection
    from quillring.kernel.effects import SendRequest

MAX_READ_BYTES = 65536
DEFAULT_KEEP_ALIVE_SECONDS = 4.0
KEEP_ALIVE_RATIO = 0.6
"""Share of a keep-alive timeout within which an idle connection is reused."""
HEAD_METHOD = b"HEAD "


class ClientExchange:
    """One request and its response, read incrementally; owns the connection until `close`.

    Attributes
    ----------
    response_id : (lower-case header name, value) that identifies the response to the request
    lines : header fields of the current response as (name, value)
    is_persistent : whether the replica keeps the connection open after the response
    body_parts : bytes of the body that were received and not yet read
    is_matching : whether the current response is the one to the request
    has_head : whether the header section of the matching response was read
    is_complete : whether the matching response was received completely
    has_bytes : whether any bytes were received for this request
    has_body_framing : whether the response has a Content-Length or Transfer-Encoding header
    has_surplus_bytes : whether bytes followed the complete response
    is_written : whether the request was written completely
    """

    __slots__ = (
        "connection",
        "effect",
        "response_id",
        "lines",
        "status",
        "headers",
        "is_persistent",
        "body_parts",
        "is_complete",
        "is_matching",
        "has_head",
        "has_bytes",
        "has_body_framing",
        "is_closed",
        "has_surplus_bytes",
        "is_written",
    )

    def __init__(self, connection: ReplicaConnection, effect: SendRequest) -> None:
        self.connection = connection
        self.effect = effect
        self.response_id = effect.response_id
        self.body_parts: deque[bytes] = deque()
        self.has_bytes = False
        self.is_complete = self.has_surplus_bytes = False
        self.is_closed = False
        self.is_written = False
        self.begin()

    def begin(self) -> None:
        """Begin a response; one that follows the complete matching response is ignored."""
        if self.is_complete:
            self.has_surplus_bytes = True
            return
        self.lines: list[tuple[str, str]] = []
        self.status: int = 0
        self.headers: dict[str, str] = {}
        self.is_persistent = False
        self.is_matching = self.has_head = self.has_body_framing = False

    def end_head(self, status: int, is_persistent: bool) -> None:
        """End the header section; interim responses and responses to other requests are skipped."""
        if self.has_surplus_bytes:
            return
        self.status, self.is_persistent = status, is_persistent
        self.headers = {name.lower(): value for name, value in self.lines}
        self.is_matching = status >= 200 and self._bears_our_id()
        self.has_head = self.is_matching
        self.has_body_framing = (
            "content-length" in self.headers or "transfer-encoding" in self.headers
        )
        if self.is_matching and self.effect.data.startswith(HEAD_METHOD):
            self.is_complete, self.is_persistent = True, False

    def _bears_our_id(self) -> bool:
        """Return whether the response has the id of the request and no other id.

        If the request has no id, the response must not have one either.
        """
        id_header, request_id = self.response_id
        named_ids = {value for name, value in self.lines if name.lower() == id_header}
        return named_ids == ({request_id} if request_id is not None else set())

    def add(self, data: bytes) -> None:
        """Add bytes of the body, unless the response is skipped."""
        if self.is_matching and not self.is_complete:
            self.body_parts.append(data)

    def end(self) -> None:
        """End a response; if it is the matching one, it is complete."""
        if self.is_matching:
            self.is_complete = True

    def read(self) -> None:
        """Read once from the connection and parse the input.

        Raises BackendError if the connection ended before the response, or on invalid HTTP. A body
        without a length is complete when the replica closes the connection, but not after a reset
        (RFC 9112, section 6.3). Invalid bytes after a complete response are ignored.
        """
        try:
            data = self.connection.sock.recv(MAX_READ_BYTES)
        except OSError as error:
            raise BackendError(reason=type(error).__name__) from error
        if not data:
            self.on_close()
            return
        self.has_bytes = True
        try:
            self.connection.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.is_complete:
                raise BackendError(reason="no answer") from error
            self.has_surplus_bytes = True

    def on_close(self) -> None:
        """Handle an orderly close of the connection, which completes a body without a length."""
        if self.has_body_framing or not self.is_matching:
            raise BackendError(reason="broken off")
        self.is_complete, self.is_persistent = True, False

    def write_until(self, deadline: float) -> None:
        """Write the request before `deadline`, a monotonic time in seconds.

        Raises NotSent if the deadline has already passed, BackendError if the write failed or was
        not finished in time.
        """
        seconds = deadline - time.monotonic()
        if seconds <= 0:
            self.connection.close()
            raise NotSent(reason="no time left")
        self.connection.exchange = self
        self.connection.sent_request_ids.add(self.response_id)
        try:
            with gevent.Timeout(seconds, BackendError(reason="stall")):
                self._write()
        except OSError as error:
            raise BackendError(reason=type(error).__name__) from error

    def _write(self) -> None:
        """Write the request; stop early if the replica responds before it has read all of it."""
        sock = self.connection.sock
        unsent = memoryview(self.effect.data)
        unsent = unsent[sock.send(unsent) :]
        while unsent and not self.has_head:
            may_read, may_write = wait_until_ready(sock)
            if may_read:
                self.read()
            elif may_write:
                unsent = unsent[sock.send(unsent) :]
        self.is_written = not unsent

    def read_head(self, seconds: float) -> None:
        """Read up to the end of the header section.

        Raises BackendError if the connection broke or after `seconds`, StaleConnection if a reused
        connection broke before any byte of the response.
        """
        try:
            self._read_head(seconds)
        except BackendError as error:
            if (
                error.detail["reason"] == "stall"
                or self.has_bytes
                or not self.connection.was_reused
            ):
                raise
            raise StaleConnection(**error.detail) from error

    def _read_head(self, seconds: float) -> None:
        if not self.has_head:
            with gevent.Timeout(max(seconds, 0.001), BackendError(reason="stall")):
                while not self.has_head:
                    self.read()

    def read_body_part(self, seconds: float) -> bytes | None:
        """Return the next bytes of the body, or None once the body was read completely.

        Raises BackendError if the body was cut off or nothing arrived within `seconds`.
        """
        if not self.body_parts and not self.is_complete:
            with gevent.Timeout(max(seconds, 0.001), BackendError(reason="stall")):
                while not self.body_parts and not self.is_complete:
                    self.read()
        if not self.body_parts:
            return None
        data = b"".join(self.body_parts)
        self.body_parts.clear()
        return data

    def keep_alive_seconds(self) -> float:
        """Return for how many seconds the connection may be reused.

        It is a share of the timeout in the Keep-Alive header or of the default, so that the
        connection is not reused when the replica is about to close it.
        """
        for parameter in self.headers.get("keep-alive", "").split(","):
            name, _, value = parameter.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                return int(value) * KEEP_ALIVE_RATIO
        return DEFAULT_KEEP_ALIVE_SECONDS * KEEP_ALIVE_RATIO

    def close(self) -> None:
        """End the exchange; return the connection to the pool if it can be reused, else close it.

        It can be reused if request and response were complete, the body was read, nothing follows
        the response, and the replica keeps the connection open.
        """
        if self.is_closed:
            return
        self.is_closed = True
        is_reusable = self.is_complete and self.is_persistent and self.is_written
        keep_alive_seconds = self.keep_alive_seconds() if is_reusable else 0
        if keep_alive_seconds > 0 and not self.body_parts and not self.has_surplus_bytes:
            POOL.put(self.connection, keep_alive_seconds)
        else:
            self.connection.close()


def send_request(effect: SendRequest) -> ClientExchange:
    """Send a request on an idle or a new connection and return the handle of its response.

    A request without an id always gets a new connection, because its response could not be
    distinguished from a surplus response to an earlier request. If the request could not be written
    completely on an idle connection, it is sent on a new one; this is safe because a replica never
    runs an incomplete request.

    Raises
    ------
    NotSent
        No connection could be established, or the timeout has passed.
    BackendError
        The request could not be written on a new connection; it may have run.
    """
    deadline = time.monotonic() + effect.seconds
    may_reuse = effect.may_reuse and effect.response_id[1] is not None
    idle_connection = (
        POOL.take((effect.address[0], effect.address[1]), effect.response_id) if may_reuse else None
    )
    if idle_connection is not None:
        exchange = ClientExchange(idle_connection, effect)
        try:
            exchange.write_until(deadline)
            return exchange
        except NotSent:
            raise
        except BackendError:
            idle_connection.close()
        except BaseException:
            idle_connection.close()
            raise
    exchange = ClientExchange(connect(effect.address, deadline - time.monotonic()), effect)
    try:
        exchange.write_until(deadline)
    except BaseException:
        exchange.close()
        raise
    return exchange
