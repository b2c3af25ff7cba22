"""Server side of one HTTP/1.1 connection whose requests are forwarded to replicas unchanged.

It parses requests with httptools. gevent's WSGI server, which serves the JSON interface, cannot be
used here: a failed response must be aborted so that the client sees it as incomplete, a disconnect
of the client must cancel the request at the replica, and the request target must be forwarded byte
for byte.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import gevent.event
import gevent.queue
import gevent.socket
import httptools

from quillring.kernel.connection_pool import is_readable
from quillring.kernel.errors import QuillringError
from quillring.kernel.http_messages import (
    ClientGone,
    HttpRequest,
    RequestRejected,
    encode_chunk,
    encode_head,
)
from quillring.kernel.http_request_reader import RequestReader

if TYPE_CHECKING:
    from collections.abc import Generator
    from typing import Any

    from quillring.kernel.http_server import HttpServer
    from quillring.kernel.types import HeaderLines

MAX_READ_BYTES = 65536
MAX_PIPELINED_REQUESTS = 8
MIN_TIMEOUT_SECONDS = 0.001
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
CLIENT_GONE, NO_UPGRADE = "client gone", "no upgrade"


class ClientConnection:
    """One client connection; owns its socket and answers pipelined requests in order.

    One greenlet reads and parses requests into a queue, another runs their handlers one by one.
    Reading pauses while MAX_PIPELINED_REQUESTS requests are queued.
    """

    __slots__ = (
        "server",
        "sock",
        "reader",
        "requests",
        "handler",
        "is_client_gone",
        "can_read",
        "idle_since",
    )

    def __init__(self, server: HttpServer, sock: Any) -> None:
        self.server = server
        self.sock = sock
        self.reader = RequestReader(server, self._enqueue, self._send_due_continue)
        self.requests = gevent.queue.Queue()
        self.handler: Any = None
        self.is_client_gone = False
        self.can_read = gevent.event.Event()
        self.can_read.set()
        self.idle_since = server.now()

    def _enqueue(self, request: HttpRequest) -> None:
        self.requests.put(request)
        if self.requests.qsize() >= MAX_PIPELINED_REQUESTS:
            self.can_read.clear()

    def read_all(self) -> None:
        """Read requests until the client closes the connection; then cancel the running handler.

        If reading ends for another reason, this reason is queued after the requests, and the rest
        of the input is discarded.
        """
        end = self._read_to_end()
        self.requests.put(end)
        if end is not CLIENT_GONE:
            self._wait_for_close()
        self.is_client_gone = True
        if self.handler is not None:
            self.handler.kill(block=False)

    def _wait_for_close(self) -> None:
        """Discard input until the client closes the connection."""
        try:
            while self.sock.recv(MAX_READ_BYTES):
                pass
        except OSError:
            return

    def _read_to_end(self) -> RequestRejected | str:
        """Return why reading ended: CLIENT_GONE, NO_UPGRADE or the RequestRejected to send."""
        try:
            while True:
                self.can_read.wait()
                data = self._receive()
                if data == b"":
                    return CLIENT_GONE
                if data is not None:
                    self.reader.feed(data)
                elif (end := self._end_reason_after_timeout()) is not None:
                    return end
        except OSError:
            return CLIENT_GONE
        except httptools.HttpParserUpgrade:
            return NO_UPGRADE
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, OSError):
                return CLIENT_GONE
            return cause if isinstance(cause, RequestRejected) else RequestRejected(status=400)

    def _receive(self) -> bytes | None:
        """Return the next bytes, b"" if the client closed the connection, or None after a timeout.

        The timeout is `head_seconds` within a request and `idle_seconds` while requests are being
        answered; otherwise it is what remains of the `idle_seconds` that began with the last input
        or the end of the last response.
        """
        limits = self.server.limits()
        seconds = limits.idle_seconds
        if self.reader.is_reading:
            seconds = limits.head_seconds
        elif not self._is_busy():
            seconds = max(MIN_TIMEOUT_SECONDS, self._idle_seconds_left())
        with gevent.Timeout(seconds, False):
            data: bytes = self.sock.recv(MAX_READ_BYTES)
            self.idle_since = self.server.now()
            return data
        return None

    def _end_reason_after_timeout(self) -> RequestRejected | str | None:
        """Return why reading ends after a timeout, or None if it continues.

        It continues while a request is being answered, while idle time remains, and if input is
        available: input that arrived while the process was suspended counts as in time.
        """
        if self._is_busy() or is_readable(self.sock):
            return None
        if self.reader.is_reading:
            return RequestRejected(status=408)
        return CLIENT_GONE if self._idle_seconds_left() <= 0 else None

    def _is_busy(self) -> bool:
        """Return whether a request is queued or being answered."""
        return self.handler is not None or not self.requests.empty()

    def _idle_seconds_left(self) -> float:
        """Return the seconds until the idle timeout, negative if it has passed."""
        return self.idle_since + self.server.limits().idle_seconds - self.server.now()

    def _send_due_continue(self) -> None:
        """Send 100 Continue (RFC 9110, section 10.1.1) if due and no response is pending."""
        if self.reader.is_continue_due and not self._is_busy():
            self.reader.is_continue_due = False
            self.sock.sendall(CONTINUE_RESPONSE)

    def run(self) -> None:
        """Answer the requests of the connection in order until it ends, then close it.

        Requests that are still queued when the client has disconnected are dropped; after the
        process was suspended, several may be queued together with the disconnect.
        """
        reader_greenlet = gevent.spawn(self.read_all)
        try:
            while True:
                request = self.requests.get()
                self.can_read.set()
                if self.is_client_gone:
                    return
                if not isinstance(request, HttpRequest):
                    self._send_rejection(request)
                    return
                self.handler = gevent.spawn(self._answer, request)
                self.handler.join()
                is_reusable = self.handler.value is True
                self.handler = None
                self.idle_since = self.server.now()
                if not is_reusable or self.is_client_gone:
                    return
                self._send_due_continue()
        finally:
            reader_greenlet.kill(block=False)
            self.sock.close()

    def _send_rejection(self, end: RequestRejected | str) -> None:
        if isinstance(end, RequestRejected):
            headers = [("Content-Length", "0"), ("Connection", "close")]
            self._send(encode_head(end.detail["status"], headers))

    def _send(self, data: bytes) -> None:
        try:
            self.sock.sendall(data)
        except OSError as error:
            raise ClientGone() from error

    def _answer(self, request: HttpRequest) -> bool:
        """Answer one request; return whether the connection may serve another one."""
        node = self.server.node
        node.requests_in_flight += 1
        lines = None
        try:
            lines = node.runtime.lines(self.server.handle(node, request))
            return self._send_lines(request, lines)
        except QuillringError:
            return False
        except Exception as error:
            self.server.report(error)
            return False
        finally:
            node.requests_in_flight -= 1
            if lines is not None:
                lines.close()

    def _send_lines(self, request: HttpRequest, lines: Generator[Any, None, Any]) -> bool:
        """Send the items that a handler emits as a chunked body, or its result as one response.

        Returns whether the connection may serve another request. It may not if the handler returned
        a result after a head was sent: the stream is then left without its last chunk.
        """
        has_head = False
        while True:
            try:
                line = next(lines)
            except StopIteration as stop:
                if not has_head:
                    return self._send_complete(request, *stop.value)
                if stop.value is not None:
                    return False
                self._send(LAST_CHUNK)
                return self._stays_open(request)
            if has_head:
                self._send(encode_chunk(line) if line else b"")
            else:
                has_head = True
                self._send_head(request, *line)

    def _send_head(
        self, request: HttpRequest, status: int, headers: HeaderLines, body: bytes
    ) -> None:
        connection_headers = self._connection_headers(self._stays_open(request))
        head = encode_head(
            status, [*headers, ("Transfer-Encoding", "chunked"), *connection_headers]
        )
        self._send(head + (encode_chunk(body) if body else b""))

    def _send_complete(
        self, request: HttpRequest, status: int, headers: HeaderLines, body: bytes
    ) -> bool:
        is_persistent = self._stays_open(request)
        length = ("Content-Length", str(len(body)))
        head = encode_head(status, [*headers, length, *self._connection_headers(is_persistent)])
        self._send(head + (b"" if request.method == "HEAD" else body))
        return is_persistent

    def _stays_open(self, request: HttpRequest) -> bool:
        """Return whether the connection may serve another request; not while draining."""
        return request.is_persistent and not self.server.node.is_draining

    def _connection_headers(self, is_persistent: bool) -> HeaderLines:
        return [] if is_persistent else [("Connection", "close")]
