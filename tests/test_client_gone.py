"""Requests whose clients disconnected before they were read must not run.

A process that was suspended finds such requests in its socket buffers when it resumes.
"""

import socket

import gevent
import gevent.socket
import pytest

from quillring.kernel.client_connection import ClientConnection
from quillring.kernel.http_messages import HttpLimits

ORDER_REQUEST = b"POST /orders/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"


class FakeServer:
    """A server that records the targets of the requests it handles."""

    def __init__(self):
        self.handled_targets = []
        self.node = self.runtime = self
        self.requests_in_flight = 0
        self.is_draining = False

    def limits(self):
        return HttpLimits()

    def now(self):
        return 0.0

    def report(self, error):
        raise error

    def handle(self, node, request):
        return request

    def lines(self, request):
        self.handled_targets.append(request.target)
        return 200, [], b""
        yield


@pytest.mark.parametrize("count", [1, 3])
@pytest.mark.parametrize("is_disconnected", [True, False])
def test_request_is_not_run_if_its_client_disconnected_before_it_was_read(is_disconnected, count):
    server_socket, client_socket = socket.socketpair()
    client_socket.sendall(ORDER_REQUEST * count)
    if is_disconnected:
        client_socket.close()
    server = FakeServer()
    gevent_socket = gevent.socket.socket(
        server_socket.family, server_socket.type, fileno=server_socket.detach()
    )
    connection = gevent.spawn(ClientConnection(server, gevent_socket).run)
    while not is_disconnected and len(server.handled_targets) < count:
        gevent.idle()
    client_socket.close()
    connection.join()
    assert len(server.handled_targets) == (0 if is_disconnected else count)
