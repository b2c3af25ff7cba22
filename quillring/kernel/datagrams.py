"""The datagrams of a process: one socket, read in batches."""

import socket

import gevent.socket

LIMIT = 65535
BATCH = 256


class Datagrams:
    """A bound socket; what comes in within a rest is taken in one wake, in its order.

    A wake of the process costs as much as reading several datagrams, and a heartbeat that is taken
    a small share of its period later tells the same.
    """

    __slots__ = ("socket",)

    def __init__(self, host, port):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind((host, port))

    def run(self, take, rest):
        """Hand each datagram to a function, for ever; rest after each batch."""
        while True:
            gevent.socket.wait_read(self.socket.fileno())
            for data in self._waiting():
                take(data)
            rest()

    def _waiting(self):
        """Yield the datagrams that have come in, a batch at most."""
        for _ in range(BATCH):
            try:
                data = self.socket.recv(LIMIT)
            except BlockingIOError:
                return
            except OSError:
                continue
            yield data

    def send(self, address, data):
        """Send a datagram; it may be lost."""
        try:
            self.socket.sendto(data, address)
        except OSError:
            return
