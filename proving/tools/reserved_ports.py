"""Free ports that stay a local fleet's own from the choice to its end; a test aid."""

import socket


class ReservedPorts:
    """The ports of one fleet, each held by a socket that is bound and never listens.

    The system gives a held port to nobody else. A process of the fleet can still listen at it, as
    its servers allow the reuse of an address that nobody listens at. A node's datagrams go by the
    port of its frames, so that they need no hold of their own.
    """

    __slots__ = ("sockets",)

    def __init__(self):
        self.sockets = []

    def take(self, host):
        """Return the host with a port that is free, and held from now on."""
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((host, 0))
        self.sockets.append(holder)
        return f"{host}:{holder.getsockname()[1]}"

    def close(self):
        """Let go of all ports."""
        while self.sockets:
            self.sockets.pop().close()
