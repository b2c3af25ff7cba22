"""The client side of HTTP/1.1 + JSON towards replicas, by geventhttpclient.

Addresses are IP addresses, so a blocking resolver never waits and needs no thread pool.
"""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING

import gevent
from geventhttpclient import HTTPClient, HTTPParseError

from quillring.kernel.errors import BackendError, NotSent

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.effects import FetchJson, OpenStream, ReadLine
    from quillring.kernel.types import Address

gevent.config.resolver = "block"
HEADERS = {"Content-Type": "application/json"}
SHORTEST_WAIT = 0.01
SENDINGS_BEYOND_THE_FIRST = 0
READ_ERRORS = (OSError, HTTPParseError, ValueError)


class Handle:
    """An open streamed response; owns its HTTP connection."""

    __slots__ = ("client", "response", "status", "kept")

    def __init__(self, client: Any, response: Any) -> None:
        self.client = client
        self.response = response
        self.status: int = response.status_code
        self.kept = b""

    def close(self) -> None:
        """Close the connection; the replica cancels the request when it sees that."""
        self.client.close()


def _connect(address: Address, seconds: float) -> Any:
    client = HTTPClient(
        address[0],
        address[1],
        connection_timeout=max(min(seconds, 1.0), SHORTEST_WAIT),
        network_timeout=max(seconds, SHORTEST_WAIT),
        concurrency=1,
    )
    try:
        sock = client._connection_pool.get_socket()
    except OSError as error:
        raise NotSent(address=list(address), reason=type(error).__name__) from error
    client._connection_pool.return_socket(sock)
    send_once(client)
    return client


def send_once(client: Any) -> None:
    """Disable the library's own retries of GET and DELETE after a close or a reset.

    It retries as many times as its pool has places, plus one; it has no setting that turns this
    off, so the size of the pool is set to -1.
    """
    client._connection_pool.size = SENDINGS_BEYOND_THE_FIRST - 1


def _request(client: Any, method: str, path: str, body: Any) -> Any:
    data = b"" if body is None else json.dumps(body).encode()
    return client.request(method, path, body=data, headers=HEADERS)


class Idle:
    """At most `room` idle connections for requests that may be sent twice; reused LIFO."""

    __slots__ = ("clients", "room")

    def __init__(self, room: int = 256) -> None:
        self.clients: list[tuple[Address, Any]] = []
        self.room = room

    def take(self, address: Address) -> Any:
        """Take out and return a client connected to the address, or None."""
        for number in range(len(self.clients) - 1, -1, -1):
            if self.clients[number][0] == address:
                return self.clients.pop(number)[1]
        return None

    def put(self, address: Address, client: Any) -> None:
        """Keep a client whose response was read completely; close the oldest beyond `room`."""
        self.clients.append((address, client))
        if len(self.clients) > self.room:
            self.clients.pop(0)[1].close()


IDLE = Idle()


def fetch(effect: FetchJson) -> tuple[int, Any]:
    """Send a request and return (status, JSON body).

    A request with `may_repeat` is retried once, on a new connection, when an idle one broke.

    Raises
    ------
    NotSent
        No connection could be made, so the request did not run.
    BackendError
        The request may have run; also raised when the retry could not connect.
    """
    end_time = time.monotonic() + effect.seconds
    kept_client = IDLE.take(effect.address) if effect.may_repeat else None
    if kept_client is not None:
        try:
            return _exchange(kept_client, effect, effect.seconds)
        except BackendError as error:
            if error.detail["reason"] == "time":
                raise
        seconds_left = end_time - time.monotonic()
        try:
            client = _connect(effect.address, seconds_left)
        except NotSent as error:
            raise BackendError(**error.detail) from error
        return _exchange(client, effect, seconds_left)
    return _exchange(_connect(effect.address, effect.seconds), effect, effect.seconds)


def _exchange(client: Any, effect: FetchJson, seconds: float) -> tuple[int, Any]:
    is_whole = False
    try:
        with gevent.Timeout(max(seconds, SHORTEST_WAIT), BackendError(reason="time")):
            response = _request(client, effect.method, effect.path, effect.body)
            answer = response.status_code, json.loads(response.read() or b"null")
        is_whole = True
        return answer
    except READ_ERRORS as error:
        raise BackendError(reason=type(error).__name__) from error
    finally:
        if is_whole and effect.may_repeat:
            IDLE.put(effect.address, client)
        else:
            client.close()


def open_stream(effect: OpenStream) -> Handle:
    """Send a request and return the handle of its streamed response; NotSent or BackendError."""
    client = _connect(effect.address, effect.seconds)
    try:
        with gevent.Timeout(effect.seconds, BackendError(reason="time")):
            return Handle(client, _request(client, "POST", effect.path, effect.body))
    except (*READ_ERRORS, BackendError) as error:
        client.close()
        if isinstance(error, BackendError):
            raise
        raise BackendError(reason=type(error).__name__) from error


def next_line(effect: ReadLine) -> Any:
    """Return the next JSON line, or None at the end; BackendError after `seconds` of silence."""
    try:
        with gevent.Timeout(effect.seconds, BackendError(reason="stall")):
            line = effect.handle.response.readline(b"\n")
            return json.loads(line) if line else None
    except READ_ERRORS as error:
        raise BackendError(reason=type(error).__name__) from error
