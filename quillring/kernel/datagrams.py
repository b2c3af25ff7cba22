"""UDP datagrams of a process: one socket, read in batches."""

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
    """A bound UDP socket; what arrives during one pause is read in one batch, in order.

    Waking the process costs as much as reading several datagrams, and a heartbeat read a small
    fraction of its period later is as good.
    """

    __slots__ = ("socket",)

    def __init__(self, host: str, port: int) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind((host, port))

    def run(self, take: Callable[[bytes], object], rest: Callable[[], object]) -> None:
        """Call `take` for each datagram and `rest` after each batch, in an endless loop."""
        while True:
            gevent.socket.wait_read(self.socket.fileno())
            for data in self._waiting():
                take(data)
            rest()

    def _waiting(self) -> Iterator[bytes]:
        """Yield the received datagrams, at most BATCH."""
        for _ in range(BATCH):
            try:
                data = self.socket.recv(LIMIT)
            except BlockingIOError:
                return
            except OSError:
                continue
            yield data

    def send(self, address: Address, data: bytes) -> None:
        """Send a datagram; errors are ignored, as it may be lost anyway."""
        try:
            self.socket.sendto(data, address)
        except OSError:
            return
