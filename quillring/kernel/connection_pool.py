"""Pool of persistent connections to replicas; limited by the keep-alive time of the replica."""

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

    ResponseId = tuple[str, str | None]
    """Header that identifies the response to a request: its lower-case name and expected value."""

CONNECT_TIMEOUT_SECONDS = 0.4
EXPIRY_CHECK_CONNECTIONS = 512
"""Number of idle connections above which expired ones are closed when one is added."""
MAX_REQUESTS_PER_CONNECTION = 1000


class ReplicaConnection:
    """A connection to a replica and the parser of the responses on it.

    Attributes
    ----------
    exchange : the current request and response; the parser's callbacks go to it
    idle_until : monotonic time until which the idle connection may be reused
    was_reused : whether the connection has been in the pool
    sent_request_ids : ids of all requests that were sent on the connection
    """

    __slots__ = (
        "address",
        "sock",
        "parser",
        "exchange",
        "idle_until",
        "was_reused",
        "sent_request_ids",
    )

    def __init__(self, address: Address, sock: Any) -> None:
        self.address = address
        self.sock = sock
        self.parser = httptools.HttpResponseParser(self)
        self.exchange: ClientExchange
        self.idle_until: float = 0
        self.was_reused = False
        self.sent_request_ids: set[ResponseId] = set()

    def on_message_begin(self) -> None:
        """Begin a response (httptools callback)."""
        self.exchange.begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field (httptools callback)."""
        self.exchange.lines.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """End the header section (httptools callback)."""
        self.exchange.end_head(self.parser.get_status_code(), self.parser.should_keep_alive())

    def on_body(self, data: bytes) -> None:
        """Add bytes of the body (httptools callback)."""
        self.exchange.add(data)

    def on_message_complete(self) -> None:
        """End a response (httptools callback)."""
        self.exchange.end()

    def close(self) -> None:
        """Close the connection; the replica cancels a request that it is still processing."""
        self.sock.close()


class ConnectionPool:
    """Idle connections by address, reused last in, first out; owns them while they are idle."""

    __slots__ = ("idle",)

    def __init__(self) -> None:
        self.idle: dict[Address, list[ReplicaConnection]] = {}

    def take(
        self, address: Address, response_id: ResponseId | None = None
    ) -> ReplicaConnection | None:
        """Remove and return an idle connection that has neither expired nor unread input, or None.

        A connection that already carried a request with this id is closed: a late duplicate of the
        earlier response would be mistaken for the response to the new request.
        """
        idle_connections = self.idle.get(address, [])
        while idle_connections:
            connection = idle_connections.pop()
            is_fresh = time.monotonic() < connection.idle_until
            if (
                is_fresh
                and response_id not in connection.sent_request_ids
                and not is_readable(connection.sock)
            ):
                return connection
            connection.close()
        return None

    def put(self, connection: ReplicaConnection, keep_alive_seconds: float) -> None:
        """Add a connection whose last response was complete; it expires after `keep_alive_seconds`.

        It is closed instead if it has carried MAX_REQUESTS_PER_CONNECTION request ids, which bounds
        the size of `sent_request_ids`.
        """
        if len(connection.sent_request_ids) >= MAX_REQUESTS_PER_CONNECTION:
            connection.close()
            return
        connection.idle_until = time.monotonic() + keep_alive_seconds
        connection.was_reused = True
        self.idle.setdefault(connection.address, []).append(connection)
        if sum(map(len, self.idle.values())) > EXPIRY_CHECK_CONNECTIONS:
            self.close_expired()

    def close_expired(self) -> None:
        """Close and remove the idle connections that have expired."""
        now = time.monotonic()
        for address, idle_connections in list(self.idle.items()):
            for connection in idle_connections:
                if connection.idle_until <= now:
                    connection.close()
            unexpired = [c for c in idle_connections if c.idle_until > now]
            self.idle = {**self.idle, address: unexpired}
        self.idle = {
            address: unexpired_connections
            for address, unexpired_connections in self.idle.items()
            if unexpired_connections
        }


POOL = ConnectionPool()


def is_readable(sock: Any) -> bool:
    """Return whether a socket has unread input or was closed by the peer."""
    return bool(select.select([sock], [], [], 0)[0])


def wait_until_ready(sock: Any) -> tuple[bool, bool]:
    """Wait until a socket is readable or writable; return (is readable, is writable)."""
    may_read, may_write, _ = select.select([sock], [sock], [])
    return bool(may_read), bool(may_write)


def connect(address: Address, seconds: float) -> ReplicaConnection:
    """Return a new connection to an address.

    Raises NotSent if the connection is refused, or is not established within `seconds` or
    CONNECT_TIMEOUT_SECONDS, whichever is less.
    """
    try:
        sock = gevent.socket.create_connection(
            tuple(address), timeout=max(0.001, min(seconds, CONNECT_TIMEOUT_SECONDS))
        )
    except OSError as error:
        raise NotSent(address=list(address), reason=type(error).__name__) from error
    sock.settimeout(None)
    sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
    return ReplicaConnection((address[0], address[1]), sock)
