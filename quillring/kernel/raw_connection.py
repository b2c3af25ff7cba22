"""One client connection of HTTP/1.1 where bytes pass unchanged; parsing is httptools'.

gevent's WSGI server stays for the product's own interface. It can't be used here: an answer has to
be broken off without looking complete, a client's going away ends the replica's work, and the
target of a request must be passed on as it came.
"""

import gevent
import gevent.event
import gevent.queue
import gevent.socket
import httptools

from quillring.kernel.errors import QuillringError
from quillring.kernel.raw_http import BadClient, ClientGone, RawRequest, chunk, head_bytes

READ_SIZE = 65536
PIPELINED = 8


class RawConnection:
    """One client's connection; requests on it are answered one after the other."""

    __slots__ = (
        "server",
        "sock",
        "parser",
        "requests",
        "lines",
        "target",
        "body",
        "body_size",
        "head_size",
        "is_reading",
        "handler",
        "is_gone",
        "can_read",
    )

    def __init__(self, server, sock):
        self.server = server
        self.sock = sock
        self.parser = httptools.HttpRequestParser(self)
        self.requests = gevent.queue.Queue()
        self.handler = None
        self.is_gone = False
        self.can_read = gevent.event.Event()
        self.can_read.set()
        self._reset()

    def _reset(self):
        self.lines, self.target, self.body = [], b"", []
        self.body_size = self.head_size = 0
        self.is_reading = False

    def on_message_begin(self):
        """Begin to read a request."""
        self._reset()
        self.is_reading = True

    def on_url(self, data):
        """Take a piece of the target."""
        self.target += data
        self._grow_head(len(data))

    def on_header(self, name, value):
        """Take a header line."""
        self.lines.append((name.decode("latin-1"), value.decode("latin-1")))
        self._grow_head(len(name) + len(value) + 4)

    def _grow_head(self, size):
        self.head_size += size
        if self.head_size > self.server.limits().head_bytes:
            raise BadClient(status=431)

    def on_headers_complete(self):
        """Take the end of the head; ask for the body where the client waits for that."""
        for name, value in self.lines:
            if name.lower() == "expect" and value.lower() == "100-continue":
                self.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data):
        """Take bytes of the body."""
        self.body_size += len(data)
        if self.body_size > self.server.limits().body_bytes:
            raise BadClient(status=413)
        self.body.append(data)

    def on_message_complete(self):
        """Take the end of a request."""
        self.requests.put(
            RawRequest(
                self.parser.get_method().decode("latin-1"),
                self.target.decode("latin-1"),
                self.lines,
                b"".join(self.body),
                self.parser.should_keep_alive(),
                self.server.now(),
            )
        )
        self._reset()
        if self.requests.qsize() >= PIPELINED:
            self.can_read.clear()

    def read_all(self):
        """Read until the client closes; then whatever is under way for it ends."""
        fault = None
        try:
            while True:
                self.can_read.wait()
                limits = self.server.limits()
                seconds = limits.head_seconds if self.is_reading else limits.idle_seconds
                is_busy = self.handler is not None or not self.requests.empty()
                with gevent.Timeout(None if is_busy and not self.is_reading else seconds, False):
                    data = self.sock.recv(READ_SIZE)
                    if not data:
                        break
                    self.parser.feed_data(data)
                    continue
                if self.handler is None and self.requests.empty():
                    fault = BadClient(status=408) if self.is_reading else None
                    break
        except OSError:
            pass
        except httptools.HttpParserUpgrade:
            fault = BadClient(status=400)
        except httptools.HttpParserError as error:
            cause = error.__context__
            fault = cause if isinstance(cause, BadClient) else BadClient(status=400)
        self.is_gone = fault is None
        self.requests.put(fault)
        if self.handler is not None and self.is_gone:
            self.handler.kill(block=False)

    def run(self):
        """Answer the requests of the connection in their order, unless its client has gone.

        A process that was frozen finds requests whose clients gave them up long ago.
        """
        reader = gevent.spawn(self.read_all)
        try:
            while True:
                request = self.requests.get()
                self.can_read.set()
                if self.is_gone:
                    return
                if not isinstance(request, RawRequest):
                    if request is not None:
                        self._send(
                            head_bytes(
                                request.detail["status"],
                                [("Content-Length", "0"), ("Connection", "close")],
                            )
                        )
                    return
                self.handler = gevent.spawn(self._answer, request)
                self.handler.join()
                is_sound = self.handler.value is True
                self.handler = None
                if not is_sound or self.is_gone:
                    return
        finally:
            reader.kill(block=False)
            self.sock.close()

    def _send(self, data):
        try:
            self.sock.sendall(data)
        except OSError as error:
            raise ClientGone() from error

    def _answer(self, request):
        """Answer one request; return True when the connection may serve another."""
        node = self.server.node
        node.under_way += 1
        has_head = False
        lines = None
        try:
            lines = node.world.lines(self.server.handle(node, request))
            while True:
                try:
                    line = next(lines)
                except StopIteration as stop:
                    if has_head and stop.value is not None:
                        return False
                    if has_head:
                        self._send(b"0\r\n\r\n")
                        return self._is_kept(request)
                    status, headers, body = stop.value
                    is_kept = self._is_kept(request)
                    self._send(
                        head_bytes(
                            status,
                            [
                                *headers,
                                ("Content-Length", str(len(body))),
                                *self._keeping(is_kept),
                            ],
                        )
                        + (b"" if request.method == "HEAD" else body)
                    )
                    return is_kept
                if not has_head:
                    has_head = True
                    status, headers, body = line
                    self._send(
                        head_bytes(
                            status,
                            [
                                *headers,
                                ("Transfer-Encoding", "chunked"),
                                *self._keeping(self._is_kept(request)),
                            ],
                        )
                        + (chunk(body) if body else b"")
                    )
                elif line:
                    self._send(chunk(line))
        except QuillringError:
            return False
        except Exception as error:
            self.server.report(error)
            return False
        finally:
            node.under_way -= 1
            if lines is not None:
                lines.close()

    def _is_kept(self, request):
        return request.is_kept and not self.server.node.is_draining

    def _keeping(self, is_kept):
        return [] if is_kept else [("Connection", "close")]
