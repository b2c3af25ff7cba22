"""Free ports, reserved for a local fleet until it ends; for tests."""

import socket


class ReservedPorts:
    """The ports of one fleet, each reserved by a socket that is bound but never listens.

    The kernel assigns a reserved port to no other socket. A process of the fleet can still listen
    on it: its servers set SO_REUSEADDR, which allows this as long as no other socket listens. A
    node uses one port number for frames (TCP) and datagrams (UDP); the UDP port needs no
    reservation.
    """

    __slots__ = ("sockets",)

    def __init__(self):
        self.sockets = []

    def reserve(self, host):
        """Reserve a free port on the host; return `host:port`."""
        reservation = socket.socket()
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reservation.bind((host, 0))
        self.sockets.append(reservation)
        return f"{host}:{reservation.getsockname()[1]}"

    def close(self):
        """Release all ports."""
        while self.sockets:
            self.sockets.pop().close()
