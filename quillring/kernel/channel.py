"""One-way TCP connections between nodes: length-prefixed frames and detection of a closed peer."""

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
    """The one-way connection to an address; owns its queue of frames, which may be lost.

    A frame that was queued for more than HELD_FACTOR times `timeout` seconds is dropped, and
    closing discards what the kernel has not sent (SO_LINGER 0); this bounds how old a frame can be
    when it arrives after a network partition. The peer never writes, so the socket becomes
    readable only when the peer closes it. If the address then refuses connections,
    `on_refused(address)` is called.
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
        """Queue a frame; drop it if QUEUE_LIMIT frames are queued."""
        if self.queue.qsize() < QUEUE_LIMIT:
            self.queue.put((time.monotonic(), data))

    def run(self) -> None:
        """Write queued frames in a loop; reconnect and retry a frame once after a failure."""
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
        """Close a connection that the peer closed, and probe whether its address still listens."""
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
