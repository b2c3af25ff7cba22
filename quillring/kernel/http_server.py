"""HTTP/1.1 server for requests that are forwarded to replicas unchanged."""

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
    """HTTP server on one address; owns its listening socket and runs a coroutine for each request.

    `handle(node, request)` is a coroutine. For a streamed response it sends (status, headers, first
    body bytes) and then body bytes with SendToClient, and returns None; otherwise it returns
    (status, headers, body). If it raises an error, or returns a response after it has sent a head,
    the connection is closed, and the client sees an incomplete response.

    `limits()` returns the current HttpLimits; `report(error)` is called for unexpected exceptions.
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
        """Start listening on an address with TCP_NODELAY set; return this server."""
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
        """Stop listening; open connections are not closed."""
        self.server.stop(timeout=0)
