"""A replica on a real socket whose every connection follows a written coroutine."""

import struct

import gevent.event
import gevent.socket
from gevent.server import StreamServer

from quillring.kernel.effects import SendRequest
from quillring.kernel.http_client import send_request

RESET = struct.pack("ii", 1, 0)
ID_HEADER = "x-id"


def answer(name, body, more=b"", headers=b"", status=b"200 OK"):
    """Return a framed answer under an id; `more` follows in the same segment."""
    head = b"HTTP/1.1 %s\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n"
    return head % (status, name, headers, len(body)) + body + more


def request(name, method=b"POST"):
    """Return the bytes of a request, under an id if it has one."""
    id_line = b"X-Id: %s\r\n" % name if name else b""
    return b"%s / HTTP/1.1\r\n%sContent-Length: 0\r\n\r\n" % (method, id_line)


def reset(sock):
    """Reset a connection."""
    sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, RESET)
    sock.close()


class ScriptedPeer:
    """Each connection runs the next coroutine: a function(peer, sock)."""

    def __init__(self, *coroutines):
        self.coroutines = list(coroutines)
        self.received = []
        self.connections = 0
        self.told = gevent.event.Event()
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = ("127.0.0.1", self.server.server_port)

    def _serve(self, sock, _):
        self.connections += 1
        if self.coroutines:
            self.coroutines.pop(0)(self, sock)
        sock.close()

    def read(self, sock):
        """Note one whole head that came; False at the end of the connection."""
        data = b""
        while b"\r\n\r\n" not in data:
            try:
                part = sock.recv(65536)
            except OSError:
                return False
            if not part:
                return False
            data += part
        self.received.append(data)
        return True

    def stop(self):
        """Listen no more: new connections are refused."""
        self.server.stop(timeout=0)


def answers(*texts):
    """Return a coroutine that answers each request of a connection with the next text."""

    def coroutine(peer, sock):
        for data in texts:
            if not peer.read(sock):
                return
            sock.sendall(data)

    return coroutine


def open_request(peer, name, may_reuse=True, seconds=5, method=b"POST"):
    """Send a request; return the handle of its answer."""
    data = request(name and name.encode(), method)
    return send_request(SendRequest(peer.address, data, seconds, may_reuse, (ID_HEADER, name)))


def read_body(handle, seconds=5):
    """Return the whole body of an answer."""
    try:
        handle.read_head(seconds)
        parts = []
        while (part := handle.read_body_part(seconds)) is not None:
            parts.append(part)
        return b"".join(parts)
    finally:
        handle.close()


def ask(peer, name, may_reuse=True, seconds=5, method=b"POST"):
    """Send a request and return the whole body of its answer."""
    return read_body(open_request(peer, name, may_reuse, seconds, method), seconds)
