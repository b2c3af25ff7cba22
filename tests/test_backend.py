import socket
from unittest import mock

import gevent.event
import pytest
from gevent import select
from gevent.server import StreamServer

from quillring.kernel import backend
from quillring.kernel.effects import FetchJson, OpenStream
from quillring.kernel.errors import BackendError, NotSent
from quillring.kernel.wsgi_server import start_wsgi_server

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntrue"


class ScriptedServer:
    """Serves each connection as an heir's `serve` does, on a port of its own."""

    def __init__(self):
        self.requests = []
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        self.address = ("127.0.0.1", self.server.server_port)


@pytest.fixture
def start():
    """Return a function that starts a server of a class; all are stopped in the end."""
    servers = []

    def started(server_class):
        servers.append(server_class())
        return servers[-1]

    yield started
    for server in servers:
        server.server.stop(timeout=0)


class BreaksAtSecondRequest(ScriptedServer):
    """Answers the first request of each connection, breaks off at the second."""

    def serve(self, conn, _):
        with conn, conn.makefile("rb") as reader:
            for is_first in (True, False):
                while (line := reader.readline()) not in (b"\r\n", b""):
                    if b"HTTP/1.1" in line:
                        self.requests.append((is_first, line))
                if line and is_first:
                    conn.sendall(ANSWER)


def fetch(server, may_retry):
    return backend.fetch(FetchJson(server.address, "POST", "/x", {}, 5, may_retry))


def test_what_may_repeat_survives_a_kept_connection_that_breaks_off(start):
    server = start(BreaksAtSecondRequest)
    assert [fetch(server, True) for _ in range(3)] == [(200, True)] * 3
    assert [is_first for is_first, _ in server.requests] == [True, False, True, False, True]


def test_what_may_not_repeat_never_goes_over_a_kept_connection(start):
    server = start(BreaksAtSecondRequest)
    assert fetch(server, True) == (200, True)
    assert [fetch(server, False) for _ in range(2)] == [(200, True)] * 2
    assert all(is_first for is_first, _ in server.requests)


def test_no_answer_in_time_is_not_tried_again():
    silent = StreamServer(("127.0.0.1", 0), lambda conn, _: gevent.event.Event().wait())
    silent.start()
    effect = FetchJson(("127.0.0.1", silent.server_port), "GET", "/", None, 0.05, True)
    with pytest.raises(BackendError):
        backend.fetch(effect)


def test_answers_do_not_wait_for_acknowledgements():
    server = start_wsgi_server(("127.0.0.1", 0), lambda environ, start: [])
    assert server.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    server.stop()


class ClosesUnanswered(ScriptedServer):
    """Reads each request and closes without an answer."""

    def serve(self, conn, _):
        with conn, conn.makefile("rb") as reader:
            lines = []
            while (line := reader.readline()) not in (b"\r\n", b""):
                lines.append(line)
            if lines:
                self.requests.append(lines[0])


@pytest.mark.parametrize("method", ["GET", "POST", "DELETE"])
def test_what_may_not_repeat_is_sent_once_also_by_the_library_below(start, method):
    server = start(ClosesUnanswered)
    with pytest.raises(BackendError):
        backend.fetch(FetchJson(server.address, method, "/x", None, 5, False))
    assert len(server.requests) == 1


def test_a_stream_is_opened_once(start):
    server = start(ClosesUnanswered)
    with pytest.raises(BackendError):
        backend.open_stream(OpenStream(server.address, "/x", {}, 5))
    assert len(server.requests) == 1


def test_what_may_have_run_over_a_kept_connection_is_never_called_not_sent(start):
    server = start(BreaksAtSecondRequest)
    assert fetch(server, True) == (200, True)
    server.server.stop(timeout=0)
    with pytest.raises(BackendError) as failure:
        fetch(server, True)
    assert not isinstance(failure.value, NotSent)
    assert len(server.requests) == 2


class SendsSurplusAnswer(ScriptedServer):
    """Sends each answer, and a late copy of it when told to."""

    def __init__(self):
        self.connections = 0
        self.repeats, self.has_ended = gevent.event.Event(), gevent.event.Event()
        super().__init__()

    def serve(self, conn, _):
        self.connections += 1
        with conn, conn.makefile("rb") as reader:
            while reader.readline() not in (b"\r\n", b""):
                pass
            conn.sendall(whole(b'"first"'))
            if self.connections == 1:
                self.repeats.wait(5)
                conn.sendall(whole(b'"first"'))
            self.has_ended.wait(5)


def whole(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def test_a_connection_with_surplus_bytes_serves_no_further_request(start):
    server = start(SendsSurplusAnswer)
    effect = FetchJson(server.address, "GET", "/x", None, 5, True)
    with mock.patch.object(backend, "IDLE_CLIENTS", backend.IdleClients()):
        assert backend.fetch(effect) == (200, "first")
        server.repeats.set()
        pool = backend.IDLE_CLIENTS.clients[0][1]._connection_pool
        sock = pool.get_socket()
        pool.return_socket(sock)
        assert select.select([sock], [], [], 5)[0]
        assert backend.fetch(effect) == (200, "first")
    server.has_ended.set()
    assert server.connections == 2
