"""One-way TCP connections between nodes: length-prefixed frames, detection of closed peers."""

from __future__ import annotations

import contextlib
import struct
import time
from typing import TYPE_CHECKING

import gevent
import gevent.queue
import gevent.socket

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from quillring.kernel.types import Address

FRAME_HEADER = struct.Struct(">I")
MAX_QUEUED_FRAMES = 1024
MAX_QUEUED_TIMEOUTS = 10
"""Maximum time of a frame in the queue, as a multiple of the timeout of the channel."""
READABLE_EVENT = 1
DISCARD_UNSENT = struct.pack("ii", 1, 0)
"""SO_LINGER option with a timeout of 0: closing discards unsent data."""


class Channel:
    """A one-way connection to an address with a queue of outgoing frames; frames may be lost.

    The age of a frame that arrives after a network partition is bounded: a frame that was queued
    for more than MAX_QUEUED_TIMEOUTS times `timeout` seconds is dropped, and closing the connection
    discards the data that the operating system has not sent yet (SO_LINGER 0).

    The peer never writes, so the socket becomes readable only when the peer closes it. If the
    address refuses connections afterwards, `on_refused(address)` is called.
    """

    __slots__ = ("address", "timeout", "queue", "sock", "close_watcher", "on_refused")

    def __init__(
        self,
        address: Address,
        timeout: float,
        on_refused: Callable[[Address], object] = lambda address: None,
    ) -> None:
        self.address = address
        self.timeout = timeout
        self.queue = gevent.queue.Queue()
        self.sock: Any = None
        self.close_watcher: Any = None
        self.on_refused = on_refused

    def put(self, data: bytes) -> None:
        """Queue a frame; drop it if MAX_QUEUED_FRAMES frames are already queued."""
        if self.queue.qsize() < MAX_QUEUED_FRAMES:
            self.queue.put((time.monotonic(), data))

    def run(self) -> None:
        """Send queued frames in an endless loop; after an error, reconnect and retry once."""
        while True:
            queued_at, data = self.queue.get()
            if time.monotonic() - queued_at > self.timeout * MAX_QUEUED_TIMEOUTS:
                continue
            for _ in range(2):
                try:
                    self._connect().sendall(FRAME_HEADER.pack(len(data)) + data)
                    break
                except ConnectionRefusedError:
                    self.on_refused(self.address)
                    break
                except OSError:
                    self.close()

    def _connect(self) -> Any:
        if self.sock is None:
            sock = gevent.socket.create_connection(self.address, self.timeout)
            sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
            self.sock = sock
            self.close_watcher = gevent.get_hub().loop.io(sock.fileno(), READABLE_EVENT)
            self.close_watcher.start(gevent.spawn, self._on_peer_close, sock)
        return self.sock

    def _on_peer_close(self, sock: Any) -> None:
        """Close a connection that the peer closed, and probe whether its address still listens.

        Does nothing if the connection was replaced in the meantime.
        """
        if self.sock is not sock:
            return
        self.close()
        try:
            gevent.socket.create_connection(self.address, self.timeout).close()
        except ConnectionRefusedError:
            self.on_refused(self.address)
        except OSError:
            return

    def close(self) -> None:
        """Close the connection, if one is open, and discard its unsent data."""
        sock, self.sock = self.sock, None
        close_watcher, self.close_watcher = self.close_watcher, None
        if close_watcher is not None:
            close_watcher.stop()
            close_watcher.close()
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, DISCARD_UNSENT)
            sock.close()
