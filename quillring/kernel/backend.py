"""HTTP/1.1 + JSON towards back ends, by geventhttpclient.

Addresses are IP numbers, so the resolver has nothing to wait for and needs no threads.
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
    """An open streamed answer."""

    __slots__ = ("client", "response", "status", "kept")

    def __init__(self, client: Any, response: Any) -> None:
        self.client = client
        self.response = response
        self.status: int = response.status_code
        self.kept = b""

    def close(self) -> None:
        """Close the connection, which tells the replica to stop."""
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
    """Keep the library from sending GET and DELETE up to three times after a close or a reset.

    It allows as many sendings beyond the first as its pool has places, and one more; no setting
    of its own turns that off.
    """
    client._connection_pool.size = SENDINGS_BEYOND_THE_FIRST - 1


def _request(client: Any, method: str, path: str, body: Any) -> Any:
    data = b"" if body is None else json.dumps(body).encode()
    return client.request(method, path, body=data, headers=HEADERS)


class Idle:
    """Connections kept open between requests that may repeat, the latest used again first."""

    __slots__ = ("clients", "room")

    def __init__(self, room: int = 256) -> None:
        self.clients: list[tuple[Address, Any]] = []
        self.room = room

    def take(self, address: Address) -> Any:
        """Return a client that is connected to the address, or None."""
        for number in range(len(self.clients) - 1, -1, -1):
            if self.clients[number][0] == address:
                return self.clients.pop(number)[1]
        return None

    def put(self, address: Address, client: Any) -> None:
        """Keep a client whose answer was read whole; the oldest goes when there are too many."""
        self.clients.append((address, client))
        if len(self.clients) > self.room:
            self.clients.pop(0)[1].close()


IDLE = Idle()


def fetch(effect: FetchJson) -> tuple[int, Any]:
    """Send a request and return (status, JSON body).

    One that may repeat is sent once more, on a new connection, where a kept one broke off; it may
    have run by then, so that a refused new connection is no NotSent.
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
    """Send a request and return the handle of its streamed answer."""
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
    """Return the next JSON line, or None at the end."""
    try:
        with gevent.Timeout(effect.seconds, BackendError(reason="stall")):
            line = effect.handle.response.readline(b"\n")
            return json.loads(line) if line else None
    except READ_ERRORS as error:
        raise BackendError(reason=type(error).__name__) from error
