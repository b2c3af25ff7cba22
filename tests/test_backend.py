"""HTTP calls to replicas: retries, reuse of idle connections and surplus answers."""

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
    """A server on a free port; subclasses handle each connection in `serve`."""

    def __init__(self):
        self.requests = []
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        self.address = ("127.0.0.1", self.server.server_port)


@pytest.fixture
def start_server():
    """Return a function that starts a server of the given class; all are stopped after the test."""
    servers = []

    def start(server_class):
        servers.append(server_class())
        return servers[-1]

    yield start
    for server in servers:
        server.server.stop(timeout=0)


class ClosesAtSecondRequest(ScriptedServer):
    """Answers the first request of each connection and closes the connection at the second."""

    def serve(self, conn, _):
        with conn, conn.makefile("rb") as reader:
            for is_first in (True, False):
                while (line := reader.readline()) not in (b"\r\n", b""):
                    if b"HTTP/1.1" in line:
                        self.requests.append((is_first, line))
                if line and is_first:
                    conn.sendall(ANSWER)


def fetch(server, may_retry):
    """Fetch JSON by POST from a server; return (status, decoded body)."""
    return backend.fetch(FetchJson(server.address, "POST", "/x", {}, 5, may_retry))


def test_a_repeatable_request_is_retried_when_an_idle_connection_breaks(start_server):
    server = start_server(ClosesAtSecondRequest)
    assert [fetch(server, True) for _ in range(3)] == [(200, True)] * 3
    assert [is_first for is_first, _ in server.requests] == [True, False, True, False, True]


def test_a_non_repeatable_request_always_uses_a_new_connection(start_server):
    server = start_server(ClosesAtSecondRequest)
    assert fetch(server, True) == (200, True)
    assert [fetch(server, False) for _ in range(2)] == [(200, True)] * 2
    assert all(is_first for is_first, _ in server.requests)


def test_a_request_that_times_out_is_not_retried():
    silent = StreamServer(("127.0.0.1", 0), lambda conn, _: gevent.event.Event().wait())
    silent.start()
    effect = FetchJson(("127.0.0.1", silent.server_port), "GET", "/", None, 0.05, True)
    with pytest.raises(BackendError):
        backend.fetch(effect)


def test_the_wsgi_server_sends_without_waiting_for_tcp_acknowledgements():
    server = start_wsgi_server(("127.0.0.1", 0), lambda environ, start: [])
    assert server.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    server.stop()


class ClosesUnanswered(ScriptedServer):
    """Reads one request of each connection and closes without an answer."""

    def serve(self, conn, _):
        with conn, conn.makefile("rb") as reader:
            lines = []
            while (line := reader.readline()) not in (b"\r\n", b""):
                lines.append(line)
            if lines:
                self.requests.append(lines[0])


@pytest.mark.parametrize("method", ["GET", "POST", "DELETE"])
def test_a_non_repeatable_request_is_not_resent_by_the_http_library(start_server, method):
    server = start_server(ClosesUnanswered)
    with pytest.raises(BackendError):
        backend.fetch(FetchJson(server.address, method, "/x", None, 5, False))
    assert len(server.requests) == 1


def test_opening_a_stream_is_not_retried(start_server):
    server = start_server(ClosesUnanswered)
    with pytest.raises(BackendError):
        backend.open_stream(OpenStream(server.address, "/x", {}, 5))
    assert len(server.requests) == 1


def test_a_request_that_may_have_run_on_an_idle_connection_is_not_reported_as_not_sent(
    start_server,
):
    server = start_server(ClosesAtSecondRequest)
    assert fetch(server, True) == (200, True)
    server.server.stop(timeout=0)
    with pytest.raises(BackendError) as failure:
        fetch(server, True)
    assert not isinstance(failure.value, NotSent)
    assert len(server.requests) == 2


class SendsSurplusAnswer(ScriptedServer):
    """Answers one request of each connection; repeats the first answer after `may_send_surplus`."""

    def __init__(self):
        self.connections = 0
        self.may_send_surplus, self.may_close = gevent.event.Event(), gevent.event.Event()
        super().__init__()

    def serve(self, conn, _):
        self.connections += 1
        with conn, conn.makefile("rb") as reader:
            while reader.readline() not in (b"\r\n", b""):
                pass
            conn.sendall(answer_bytes(b'"first"'))
            if self.connections == 1:
                self.may_send_surplus.wait(5)
                conn.sendall(answer_bytes(b'"first"'))
            self.may_close.wait(5)


def answer_bytes(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def test_a_connection_with_surplus_bytes_is_not_reused(start_server):
    server = start_server(SendsSurplusAnswer)
    effect = FetchJson(server.address, "GET", "/x", None, 5, True)
    with mock.patch.object(backend, "IDLE_CLIENTS", backend.IdleClients()):
        assert backend.fetch(effect) == (200, "first")
        server.may_send_surplus.set()
        pool = backend.IDLE_CLIENTS.clients[0][1]._connection_pool
        sock = pool.get_socket()
        pool.return_socket(sock)
        assert select.select([sock], [], [], 5)[0]
        assert backend.fetch(effect) == (200, "first")
    server.may_close.set()
    assert server.connections == 2
