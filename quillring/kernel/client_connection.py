"""One HTTP/1.1 client connection whose requests are forwarded unchanged; parsed by httptools.

gevent's WSGI server serves the product's own interface. It can't be used here: a response must be
aborted so that it does not look complete, a disconnect of the client must cancel the request at the
replica, and the request target must be forwarded byte for byte.
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

READ_SIZE = 65536
PIPELINED = 8
SHORTEST_WAIT = 0.001
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
CLIENT_GONE, NO_UPGRADE = "client gone", "no upgrade"


class ClientConnection:
    """One client connection; owns its socket and answers pipelined requests in order."""

    __slots__ = (
        "server",
        "sock",
        "reader",
        "requests",
        "handler",
        "is_gone",
        "can_read",
        "rests_since",
    )

    def __init__(self, server: HttpServer, sock: Any) -> None:
        self.server = server
        self.sock = sock
        self.reader = RequestReader(server, self._take, self._offer_to_go_on)
        self.requests = gevent.queue.Queue()
        self.handler: Any = None
        self.is_gone = False
        self.can_read = gevent.event.Event()
        self.can_read.set()
        self.rests_since = server.now()

    def _take(self, request: HttpRequest) -> None:
        self.requests.put(request)
        if self.requests.qsize() >= PIPELINED:
            self.can_read.clear()

    def read_all(self) -> None:
        """Read until the client closes; then cancel its request in progress."""
        end = self._read_to_end()
        self.requests.put(end)
        if end is not CLIENT_GONE:
            self._wait_for_close()
        self.is_gone = True
        if self.handler is not None:
            self.handler.kill(block=False)

    def _wait_for_close(self) -> None:
        """Discard input until the client closes."""
        try:
            while self.sock.recv(READ_SIZE):
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
                elif (end := self._end_of_time()) is not None:
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
        """Return the next bytes, b"" when the client closed, or None after a timeout.

        A client may be idle for `idle_seconds` after the end of the last response. Input that
        arrived while the process was suspended counts as in time.
        """
        limits = self.server.limits()
        seconds = limits.idle_seconds
        if self.reader.is_reading:
            seconds = limits.head_seconds
        elif not self._is_busy():
            seconds = max(SHORTEST_WAIT, self._rest_left())
        with gevent.Timeout(seconds, False):
            data: bytes = self.sock.recv(READ_SIZE)
            self.rests_since = self.server.now()
            return data
        return None

    def _end_of_time(self) -> RequestRejected | str | None:
        """Return why reading ends after a timeout, or None while the client has time left."""
        if self._is_busy() or is_readable(self.sock):
            return None
        if self.reader.is_reading:
            return RequestRejected(status=408)
        return CLIENT_GONE if self._rest_left() <= 0 else None

    def _is_busy(self) -> bool:
        return self.handler is not None or not self.requests.empty()

    def _rest_left(self) -> float:
        return self.rests_since + self.server.limits().idle_seconds - self.server.now()

    def _offer_to_go_on(self) -> None:
        """Send 100 Continue (RFC 9110, section 10.1.1) once no earlier response is pending."""
        if self.reader.owes_interim and not self._is_busy():
            self.reader.owes_interim = False
            self.sock.sendall(INTERIM)

    def run(self) -> None:
        """Answer the requests of the connection in order until its client disconnects.

        After the process was suspended, queued requests may have been abandoned by their client.
        """
        reading = gevent.spawn(self.read_all)
        try:
            while True:
                request = self.requests.get()
                self.can_read.set()
                if self.is_gone:
                    return
                if not isinstance(request, HttpRequest):
                    self._send_refusal(request)
                    return
                self.handler = gevent.spawn(self._answer, request)
                self.handler.join()
                is_sound = self.handler.value is True
                self.handler = None
                self.rests_since = self.server.now()
                if not is_sound or self.is_gone:
                    return
                self._offer_to_go_on()
        finally:
            reading.kill(block=False)
            self.sock.close()

    def _send_refusal(self, end: RequestRejected | str) -> None:
        if isinstance(end, RequestRejected):
            headers = [("Content-Length", "0"), ("Connection", "close")]
            self._send(encode_head(end.detail["status"], headers))

    def _send(self, data: bytes) -> None:
        try:
            self.sock.sendall(data)
        except OSError as error:
            raise ClientGone() from error

    def _answer(self, request: HttpRequest) -> bool:
        """Answer one request; return True if the connection may serve another."""
        node = self.server.node
        node.under_way += 1
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
            node.under_way -= 1
            if lines is not None:
                lines.close()

    def _send_lines(self, request: HttpRequest, lines: Generator[Any, None, Any]) -> bool:
        """Send what the handler emits as a chunked stream, or its return value as one response."""
        has_head = False
        while True:
            try:
                line = next(lines)
            except StopIteration as stop:
                if not has_head:
                    return self._send_whole(request, *stop.value)
                if stop.value is not None:
                    return False
                self._send(LAST_CHUNK)
                return self._is_kept(request)
            if has_head:
                self._send(encode_chunk(line) if line else b"")
            else:
                has_head = True
                self._send_head(request, *line)

    def _send_head(
        self, request: HttpRequest, status: int, headers: HeaderLines, body: bytes
    ) -> None:
        keeping = self._keeping(self._is_kept(request))
        head = encode_head(status, [*headers, ("Transfer-Encoding", "chunked"), *keeping])
        self._send(head + (encode_chunk(body) if body else b""))

    def _send_whole(
        self, request: HttpRequest, status: int, headers: HeaderLines, body: bytes
    ) -> bool:
        is_kept = self._is_kept(request)
        length = ("Content-Length", str(len(body)))
        head = encode_head(status, [*headers, length, *self._keeping(is_kept)])
        self._send(head + (b"" if request.method == "HEAD" else body))
        return is_kept

    def _is_kept(self, request: HttpRequest) -> bool:
        return request.is_kept and not self.server.node.is_draining

    def _keeping(self, is_kept: bool) -> HeaderLines:
        return [] if is_kept else [("Connection", "close")]
