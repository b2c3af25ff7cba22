"""The listening side of HTTP/1.1, by gevent's WSGI server."""

import socket

from gevent.pywsgi import WSGIServer


def start_server(address, app, error_log=None):
    """Start serving the application at an address.

    The server sends head and body apart; accepted connections inherit that neither waits for the
    other's acknowledgement.
    """
    server = WSGIServer(address, app, log=None, error_log=error_log)
    server.init_socket()
    server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    server.start()
    return server
