"""Pool of persistent connections to replicas, kept only while the replica keeps them open."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent.socket
import httptools
from gevent import select

from quillring.kernel.errors import NotSent

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.http_client import ClientExchange
    from quillring.kernel.types import Address

    AnswerId = tuple[str, str | None]
    """Lower-case name of a header and its value, by which an answer is known as due."""

CONNECT_SECONDS = 0.4
IDLE_LIMIT = 512
CARRIED_LIMIT = 1000


class ReplicaConnection:
    """A connection to a replica and the parser of the responses on it."""

    __slots__ = ("address", "sock", "parser", "answer", "idle_until", "was_used", "carried_ids")

    def __init__(self, address: Address, sock: Any) -> None:
        self.address = address
        self.sock = sock
        self.parser = httptools.HttpResponseParser(self)
        self.answer: ClientExchange
        self.idle_until: float = 0
        self.was_used = False
        self.carried_ids: set[AnswerId] = set()

    def on_message_begin(self) -> None:
        """Begin a response (httptools callback)."""
        self.answer.begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field (httptools callback)."""
        self.answer.lines.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """End the header section (httptools callback)."""
        self.answer.end_head(self.parser.get_status_code(), self.parser.should_keep_alive())

    def on_body(self, data: bytes) -> None:
        """Add bytes of the body (httptools callback)."""
        self.answer.add(data)

    def on_message_complete(self) -> None:
        """End a response (httptools callback)."""
        self.answer.end()

    def close(self) -> None:
        """Close the connection; a replica still working cancels the request."""
        self.sock.close()


class ConnectionPool:
    """Idle connections by address; owns them until they are taken, last in, first out."""

    __slots__ = ("idle",)

    def __init__(self) -> None:
        self.idle: dict[Address, list[ReplicaConnection]] = {}

    def take(self, address: Address, answer_id: AnswerId | None = None) -> ReplicaConnection | None:
        """Take out and return an idle connection with no sign of being closed, or None.

        A connection that already carried the same request id is closed: a late duplicate of the
        earlier response would be mistaken for the new one.
        """
        kept_connections = self.idle.get(address, [])
        while kept_connections:
            connection = kept_connections.pop()
            is_fresh = time.monotonic() < connection.idle_until
            if (
                is_fresh
                and answer_id not in connection.carried_ids
                and not is_readable(connection.sock)
            ):
                return connection
            connection.close()
        return None

    def put(self, connection: ReplicaConnection, keep_seconds: float) -> None:
        """Keep a connection whose last response was complete, up to CARRIED_LIMIT requests."""
        if len(connection.carried_ids) >= CARRIED_LIMIT:
            connection.close()
            return
        connection.idle_until = time.monotonic() + keep_seconds
        connection.was_used = True
        self.idle.setdefault(connection.address, []).append(connection)
        if sum(map(len, self.idle.values())) > IDLE_LIMIT:
            self.drop_old()

    def drop_old(self) -> None:
        """Close the idle connections whose time has expired."""
        now = time.monotonic()
        for address, kept_connections in list(self.idle.items()):
            for connection in kept_connections:
                if connection.idle_until <= now:
                    connection.close()
            sound = [c for c in kept_connections if c.idle_until > now]
            self.idle = {**self.idle, address: sound}
        self.idle = {address: kept for address, kept in self.idle.items() if kept}


POOL = ConnectionPool()


def is_readable(sock: Any) -> bool:
    """Return whether a connection has unread input: surplus bytes or end of file."""
    return bool(select.select([sock], [], [], 0)[0])


def wait_for_either(sock: Any) -> tuple[bool, bool]:
    """Wait until a connection is readable or writable; return (is readable, is writable)."""
    may_read, may_write, _ = select.select([sock], [sock], [])
    return bool(may_read), bool(may_write)


def connect(address: Address, seconds: float) -> ReplicaConnection:
    """Return a new connection to an address, or raise NotSent."""
    try:
        sock = gevent.socket.create_connection(
            tuple(address), timeout=max(0.001, min(seconds, CONNECT_SECONDS))
        )
    except OSError as error:
        raise NotSent(address=list(address), reason=type(error).__name__) from error
    sock.settimeout(None)
    sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
    return ReplicaConnection((address[0], address[1]), sock)
