"""A replica on a real socket that handles each connection with a scripted function."""

import struct

import gevent.event
import gevent.socket
from gevent.server import StreamServer

from quillring.kernel.effects import SendRequest
from quillring.kernel.http_client import send_request

ABORTIVE_CLOSE = struct.pack("ii", 1, 0)
ID_HEADER = "x-id"


def answer(name, body, trailing_bytes=b"", headers=b"", status=b"200 OK"):
    """Return an answer with an X-Id and a Content-Length, followed by `trailing_bytes`."""
    head = b"HTTP/1.1 %s\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n"
    return head % (status, name, headers, len(body)) + body + trailing_bytes


def request(name, method=b"POST"):
    """Return the bytes of a request, with an X-Id header unless the name is empty."""
    id_line = b"X-Id: %s\r\n" % name if name else b""
    return b"%s / HTTP/1.1\r\n%sContent-Length: 0\r\n\r\n" % (method, id_line)


def reset(sock):
    """Close a connection with a TCP reset."""
    sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, ABORTIVE_CLOSE)
    sock.close()


class ScriptedPeer:
    """A server that handles each connection with the next of the given functions (peer, sock)."""

    def __init__(self, *handlers):
        self.handlers = list(handlers)
        self.received = []
        self.connections = 0
        self.may_continue = gevent.event.Event()
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = ("127.0.0.1", self.server.server_port)

    def _serve(self, sock, _):
        self.connections += 1
        if self.handlers:
            self.handlers.pop(0)(self, sock)
        sock.close()

    def read(self, sock):
        """Read and record one complete head; return False if the connection ends before."""
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
        """Stop listening: new connections are refused."""
        self.server.stop(timeout=0)


def answers(*texts):
    """Return a connection handler that answers each request with the next of the texts."""

    def handle_connection(peer, sock):
        for data in texts:
            if not peer.read(sock):
                return
            sock.sendall(data)

    return handle_connection


def open_request(peer, name, may_reuse=True, seconds=5, method=b"POST"):
    """Send a request and return the handle for reading its answer."""
    data = request(name and name.encode(), method)
    return send_request(SendRequest(peer.address, data, seconds, may_reuse, (ID_HEADER, name)))


def read_body(handle, seconds=5):
    """Return the complete body of an answer and close its handle."""
    try:
        handle.read_head(seconds)
        parts = []
        while (part := handle.read_body_part(seconds)) is not None:
            parts.append(part)
        return b"".join(parts)
    finally:
        handle.close()


def ask(peer, name, may_reuse=True, seconds=5, method=b"POST"):
    """Send a request and return the complete body of its answer."""
    return read_body(open_request(peer, name, may_reuse, seconds, method), seconds)
