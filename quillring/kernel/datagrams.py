"""The datagrams of a process: one socket, read in batches."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import gevent.socket

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from quillring.kernel.types import Address

LIMIT = 65535
BATCH = 256


class Datagrams:
    """A bound socket; what comes in within a rest is taken in one wake, in its order.

    A wake of the process costs as much as reading several datagrams, and a heartbeat that is taken
    a small share of its period later tells the same.
    """

    __slots__ = ("socket",)

    def __init__(self, host: str, port: int) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind((host, port))

    def run(self, take: Callable[[bytes], object], rest: Callable[[], object]) -> None:
        """Hand each datagram to a function, for ever; rest after each batch."""
        while True:
            gevent.socket.wait_read(self.socket.fileno())
            for data in self._waiting():
                take(data)
            rest()

    def _waiting(self) -> Iterator[bytes]:
        """Yield the datagrams that have come in, a batch at most."""
        for _ in range(BATCH):
            try:
                data = self.socket.recv(LIMIT)
            except BlockingIOError:
                return
            except OSError:
                continue
            yield data

    def send(self, address: Address, data: bytes) -> None:
        """Send a datagram; it may be lost."""
        try:
            self.socket.sendto(data, address)
        except OSError:
            return
