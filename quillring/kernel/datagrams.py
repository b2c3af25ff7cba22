"""Sending and receiving of UDP datagrams over one socket that is read in batches."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import gevent.socket

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from quillring.kernel.types import Address

MAX_DATAGRAM_BYTES = 65535
MAX_BATCH_DATAGRAMS = 256


class DatagramSocket:
    """A bound UDP socket; datagrams that arrive between two batches are read together, in order.

    A wake-up of the process costs as much CPU time as reading several datagrams. The delay is
    acceptable: heartbeats are read late by only a small fraction of their interval.
    """

    __slots__ = ("socket",)

    def __init__(self, host: str, port: int) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind((host, port))

    def run(
        self, on_datagram: Callable[[bytes], object], after_batch: Callable[[], object]
    ) -> None:
        """Call `on_datagram` for each datagram and `after_batch` after each batch, endlessly."""
        while True:
            gevent.socket.wait_read(self.socket.fileno())
            for data in self._receive_batch():
                on_datagram(data)
            after_batch()

    def _receive_batch(self) -> Iterator[bytes]:
        """Yield the datagrams that have arrived, at most MAX_BATCH_DATAGRAMS.

        Socket errors are skipped, and count as a datagram.
        """
        for _ in range(MAX_BATCH_DATAGRAMS):
            try:
                data = self.socket.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue
            yield data

    def send(self, address: Address, data: bytes) -> None:
        """Send a datagram; errors are ignored, as UDP does not guarantee delivery anyway."""
        try:
            self.socket.sendto(data, address)
        except OSError:
            return
