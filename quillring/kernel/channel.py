"""The one-way connections between nodes: what they hold, and what their end tells."""

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

FRAME_HEAD = struct.Struct(">I")
QUEUE_LIMIT = 1024
HELD_FACTOR = 10
READABLE = 1
DISCARD_UNSENT = struct.pack("ii", 1, 0)


class Channel:
    """The one-way connection to an address; frames queued on it may be lost.

    A frame that has waited HELD_FACTOR times `timeout` is dropped, and closing discards what the
    system has not sent yet: so much is the longest that a copy is held here through a cut.
    Nobody answers on it, so it can be read only once the other side closed it. Where nobody listens
    there any more, `on_refused(address)` is told.
    """

    __slots__ = ("address", "timeout", "queue", "conn", "watcher", "on_refused")

    def __init__(
        self,
        address: Address,
        timeout: float,
        on_refused: Callable[[Address], object] = lambda address: None,
    ) -> None:
        self.address = address
        self.timeout = timeout
        self.queue = gevent.queue.Queue()
        self.conn: Any = None
        self.watcher: Any = None
        self.on_refused = on_refused

    def put(self, data: bytes) -> None:
        """Queue a frame, unless too many wait already."""
        if self.queue.qsize() < QUEUE_LIMIT:
            self.queue.put((time.monotonic(), data))

    def run(self) -> None:
        """Write frames for ever, connecting anew after a failure."""
        while True:
            queued_at, data = self.queue.get()
            if time.monotonic() - queued_at > self.timeout * HELD_FACTOR:
                continue
            for _ in range(2):
                try:
                    self._connect().sendall(FRAME_HEAD.pack(len(data)) + data)
                    break
                except ConnectionRefusedError:
                    self.on_refused(self.address)
                    break
                except OSError:
                    self.close()

    def _connect(self) -> Any:
        if self.conn is None:
            conn = gevent.socket.create_connection(self.address, self.timeout)
            conn.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
            self.conn = conn
            self.watcher = gevent.get_hub().loop.io(conn.fileno(), READABLE)
            self.watcher.start(gevent.spawn, self._look_again, conn)
        return self.conn

    def _look_again(self, conn: Any) -> None:
        """Close a connection that the other side closed, and see whether anyone listens there."""
        if self.conn is not conn:
            return
        self.close()
        try:
            gevent.socket.create_connection(self.address, self.timeout).close()
        except ConnectionRefusedError:
            self.on_refused(self.address)
        except OSError:
            return

    def close(self) -> None:
        """Close the connection, if there is one."""
        conn, self.conn = self.conn, None
        watcher, self.watcher = self.watcher, None
        if watcher is not None:
            watcher.stop()
            watcher.close()
        if conn is not None:
            with contextlib.suppress(OSError):
                conn.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, DISCARD_UNSENT)
            conn.close()
