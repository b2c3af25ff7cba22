"""The HTTP/1.1 server for requests that are forwarded unchanged."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent.server
import gevent.socket

from quillring.kernel.client_connection import ClientConnection
from quillring.kernel.errors import QuillringError

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from quillring.kernel.http_messages import HttpLimits, HttpRequest
    from quillring.kernel.node import Node
    from quillring.kernel.types import Address, Coroutine

    RequestHandler = Callable[[Node, HttpRequest], Coroutine]


class HttpServer:
    """A listening address; owns its server socket and runs a coroutine for each request.

    `handle(node, request)` is a coroutine: it emits (status, headers, first bytes) and then body
    bytes, or returns (status, headers, body). An error, or a response returned after a head was
    emitted, closes the connection, so that the client sees an incomplete response.
    """

    __slots__ = ("node", "handle", "limits", "report", "server")

    def __init__(
        self,
        node: Node,
        handle: RequestHandler,
        limits: Callable[[], HttpLimits],
        report: Callable[[Exception], object],
    ) -> None:
        self.node = node
        self.handle = handle
        self.limits = limits
        self.report = report
        self.server: Any = None

    def now(self) -> float:
        """Return the monotonic time of the node in seconds."""
        return self.node.now()

    def start(self, address: Address) -> HttpServer:
        """Listen at an address, with TCP_NODELAY; return the server."""
        self.server = gevent.server.StreamServer(tuple(address), self._serve, backlog=1024)
        self.server.init_socket()
        self.server.socket.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
        self.server.start()
        return self

    def _serve(self, sock: Any, _: Address) -> None:
        try:
            ClientConnection(self, sock).run()
        except (OSError, QuillringError):
            return

    def stop(self) -> None:
        """Stop listening."""
        self.server.stop(timeout=0)
