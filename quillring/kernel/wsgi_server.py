"""The HTTP/1.1 server of the JSON interface, by gevent's WSGI server."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from gevent.pywsgi import WSGIServer

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.types import Address


def start_wsgi_server(address: Address, app: Any, error_log: Any = None) -> Any:
    """Start serving the application at an address.

    The server sends head and body separately; accepted connections inherit TCP_NODELAY, so that
    the body does not wait for the acknowledgement of the head (Nagle's algorithm).
    """
    server = WSGIServer(address, app, log=None, error_log=error_log)
    server.init_socket()
    server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    server.start()
    return server
