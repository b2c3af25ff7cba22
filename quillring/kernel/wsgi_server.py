"""HTTP/1.1 server of the JSON interface, based on gevent's WSGI server."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from gevent.pywsgi import WSGIServer

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.types import Address


def start_wsgi_server(address: Address, app: Any, error_log: Any = None) -> Any:
    """Start serving the application on an address; return the server.

    The server writes head and body separately. TCP_NODELAY, which accepted connections inherit,
    keeps Nagle's algorithm from delaying the body until the client acknowledges the head.
    """
    server = WSGIServer(address, app, log=None, error_log=error_log)
    server.init_socket()
    server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    server.start()
    return server
