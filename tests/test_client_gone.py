"""A process that wakes finds requests whose clients have gone; none of them may run."""

import socket

import gevent
import gevent.socket
import pytest

from quillring.kernel.client_connection import ClientConnection
from quillring.kernel.http_messages import HttpLimits

ORDER = b"POST /orders/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"


class StandInServer:
    """A server that notes the requests it is asked to answer."""

    def __init__(self):
        self.asked = []
        self.node = self.runtime = self
        self.under_way = 0
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
        self.asked.append(request.target)
        return 200, [], b""
        yield


@pytest.mark.parametrize("count", [1, 3])
@pytest.mark.parametrize("has_gone", [True, False])
def test_a_request_whose_client_has_gone_before_it_is_read_does_not_run(has_gone, count):
    near, far = socket.socketpair()
    far.sendall(ORDER * count)
    if has_gone:
        far.close()
    server = StandInServer()
    sock = gevent.socket.socket(near.family, near.type, fileno=near.detach())
    connection = gevent.spawn(ClientConnection(server, sock).run)
    while not has_gone and len(server.asked) < count:
        gevent.idle()
    far.close()
    connection.join()
    assert len(server.asked) == (0 if has_gone else count)
