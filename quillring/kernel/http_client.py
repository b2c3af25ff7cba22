"""The HTTP/1.1 client towards replicas: no pipelining, responses matched by request id.

Parsed by httptools. A persistent connection is reused only within its keep-alive time, and only for
a request id that it has not carried. A request that was written completely is never retried here:
only `forward.attempt` knows whether that is allowed.
"""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING

import gevent
import httptools

from quillring.kernel.connection_pool import POOL, connect, wait_for_either
from quillring.kernel.errors import BackendError, NotSent, StaleConnection

if TYPE_CHECKING:
    from quillring.kernel.connection_pool import ReplicaConnection
    from quillring.kernel.effects import SendRequest

READ_SIZE = 65536
KEEP_SECONDS = 4.0
KEEP_SHARE = 0.6
HEAD_METHOD = b"HEAD "


class ClientExchange:
    """One request and its response, read incrementally; owns the connection until `close`."""

    __slots__ = (
        "connection",
        "effect",
        "answer_id",
        "lines",
        "status",
        "headers",
        "is_kept",
        "parts",
        "is_whole",
        "is_ours",
        "has_head",
        "has_bytes",
        "is_framed",
        "is_closed",
        "has_surplus",
        "is_written",
    )

    def __init__(self, connection: ReplicaConnection, effect: SendRequest) -> None:
        self.connection = connection
        self.effect = effect
        self.answer_id = effect.answer_id
        self.parts: deque[bytes] = deque()
        self.has_bytes = False
        self.is_whole = self.has_surplus = False
        self.is_closed = False
        self.is_written = False
        self.begin()

    def begin(self) -> None:
        """Begin a response; one that follows our own is surplus and is ignored."""
        if self.is_whole:
            self.has_surplus = True
            return
        self.lines: list[tuple[str, str]] = []
        self.status: int = 0
        self.headers: dict[str, str] = {}
        self.is_kept = False
        self.is_ours = self.has_head = self.is_framed = False

    def end_head(self, status: int, is_kept: bool) -> None:
        """End the header section; an interim response or one to another request is skipped."""
        if self.has_surplus:
            return
        self.status, self.is_kept = status, is_kept
        self.headers = {name.lower(): value for name, value in self.lines}
        self.is_ours = status >= 200 and self._bears_our_id()
        self.has_head = self.is_ours
        self.is_framed = "content-length" in self.headers or "transfer-encoding" in self.headers
        if self.is_ours and self.effect.data.startswith(HEAD_METHOD):
            self.is_whole, self.is_kept = True, False

    def _bears_our_id(self) -> bool:
        """Return whether the response has the id of the request and no other id."""
        id_header, request_id = self.answer_id
        named_ids = {value for name, value in self.lines if name.lower() == id_header}
        return named_ids == ({request_id} if request_id is not None else set())

    def add(self, data: bytes) -> None:
        """Add bytes of the body."""
        if self.is_ours and not self.is_whole:
            self.parts.append(data)

    def end(self) -> None:
        """End a response; it is complete if it is our own."""
        if self.is_ours:
            self.is_whole = True

    def read(self) -> None:
        """Read once from the connection and parse the input; BackendError if it ended too early.

        A body without a length is complete once the replica closed the connection, but not after a
        reset (RFC 9112, section 6.3). Invalid bytes after a complete response are ignored.
        """
        try:
            data = self.connection.sock.recv(READ_SIZE)
        except OSError as error:
            raise BackendError(reason=type(error).__name__) from error
        if not data:
            self.take_close()
            return
        self.has_bytes = True
        try:
            self.connection.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.is_whole:
                raise BackendError(reason="no answer") from error
            self.has_surplus = True

    def take_close(self) -> None:
        """Handle the orderly close of the connection, which ends a body without a length."""
        if self.is_framed or not self.is_ours:
            raise BackendError(reason="broken off")
        self.is_whole, self.is_kept = True, False

    def write_until(self, end_time: float) -> None:
        """Write the request until `end_time`; NotSent if that has passed, else BackendError."""
        seconds = end_time - time.monotonic()
        if seconds <= 0:
            self.connection.close()
            raise NotSent(reason="no time left")
        self.connection.answer = self
        self.connection.carried_ids.add(self.answer_id)
        try:
            with gevent.Timeout(seconds, BackendError(reason="stall")):
                self._write()
        except OSError as error:
            raise BackendError(reason=type(error).__name__) from error

    def _write(self) -> None:
        """Write the request; stop early if the replica responds before it has read everything."""
        sock = self.connection.sock
        rest = memoryview(self.effect.data)
        rest = rest[sock.send(rest) :]
        while rest and not self.has_head:
            may_read, may_write = wait_for_either(sock)
            if may_read:
                self.read()
            elif may_write:
                rest = rest[sock.send(rest) :]
        self.is_written = not rest

    def read_head(self, seconds: float) -> None:
        """Return once the head is read; StaleConnection if a reused connection was dead."""
        try:
            self._read_head(seconds)
        except BackendError as error:
            if error.detail["reason"] == "stall" or self.has_bytes or not self.connection.was_used:
                raise
            raise StaleConnection(**error.detail) from error

    def _read_head(self, seconds: float) -> None:
        if not self.has_head:
            with gevent.Timeout(max(seconds, 0.001), BackendError(reason="stall")):
                while not self.has_head:
                    self.read()

    def read_body_part(self, seconds: float) -> bytes | None:
        """Return the next bytes of the body, or None at its complete end; BackendError if cut."""
        if not self.parts and not self.is_whole:
            with gevent.Timeout(max(seconds, 0.001), BackendError(reason="stall")):
                while not self.parts and not self.is_whole:
                    self.read()
        if not self.parts:
            return None
        data = b"".join(self.parts)
        self.parts.clear()
        return data

    def keep_seconds(self) -> float:
        """Return the seconds for which to reuse the connection, by its Keep-Alive header if any."""
        for word in self.headers.get("keep-alive", "").split(","):
            name, _, value = word.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                return int(value) * KEEP_SHARE
        return KEEP_SECONDS * KEEP_SHARE

    def close(self) -> None:
        """End the exchange; pool the connection only if request and response were complete."""
        if self.is_closed:
            return
        self.is_closed = True
        is_sound = self.is_whole and self.is_kept and self.is_written
        keep_seconds = self.keep_seconds() if is_sound else 0
        if keep_seconds > 0 and not self.parts and not self.has_surplus:
            POOL.put(self.connection, keep_seconds)
        else:
            self.connection.close()


def send_request(effect: SendRequest) -> ClientExchange:
    """Send a request on an idle or a new connection and return the handle of its response.

    A request without an id gets a new connection, as its response could not be distinguished from a
    surplus one. If the request could not be written completely on an idle connection, it is sent on
    a new one: a replica never runs an incomplete request.

    Raises
    ------
    NotSent
        No connection could be made, or no time is left.
    BackendError
        The request could not be written on a new connection; it may have run.
    """
    end_time = time.monotonic() + effect.seconds
    may_reuse = effect.may_reuse and effect.answer_id[1] is not None
    kept = (
        POOL.take((effect.address[0], effect.address[1]), effect.answer_id) if may_reuse else None
    )
    if kept is not None:
        answer = ClientExchange(kept, effect)
        try:
            answer.write_until(end_time)
            return answer
        except NotSent:
            raise
        except BackendError:
            kept.close()
        except BaseException:
            kept.close()
            raise
    answer = ClientExchange(connect(effect.address, end_time - time.monotonic()), effect)
    try:
        answer.write_until(end_time)
    except BaseException:
        answer.close()
        raise
    return answer
