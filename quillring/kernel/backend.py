"""Client for HTTP/1.1 + JSON requests to replicas, based on geventhttpclient.

All addresses are IP addresses, so gevent's blocking resolver never blocks and no resolver thread
pool is needed.
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
JSON_HEADERS = {"Content-Type": "application/json"}
MIN_TIMEOUT_SECONDS = 0.01
MAX_LIBRARY_RETRIES = 0
READ_ERRORS = (OSError, HTTPParseError, ValueError)


class StreamHandle:
    """Handle of an open streamed response; owns its HTTP connection."""

    __slots__ = ("client", "response", "status", "unread_bytes")

    def __init__(self, client: Any, response: Any) -> None:
        self.client = client
        self.response = response
        self.status: int = response.status_code
        self.unread_bytes = b""

    def close(self) -> None:
        """Close the connection; the replica cancels the request when it detects the close."""
        self.client.close()


def _connect(address: Address, seconds: float) -> Any:
    """Return a client connected to the address; raises NotSent if that fails."""
    client = HTTPClient(
        address[0],
        address[1],
        connection_timeout=max(min(seconds, 1.0), MIN_TIMEOUT_SECONDS),
        network_timeout=max(seconds, MIN_TIMEOUT_SECONDS),
        concurrency=1,
    )
    try:
        sock = client._connection_pool.get_socket()
    except OSError as error:
        raise NotSent(address=list(address), reason=type(error).__name__) from error
    client._connection_pool.return_socket(sock)
    disable_library_retries(client)
    return client


def disable_library_retries(client: Any) -> None:
    """Disable the automatic retries of geventhttpclient for GET and DELETE after a lost connection.

    The library retries (pool size + 1) times and has no setting to disable this, so the pool size
    is set to -1.
    """
    client._connection_pool.size = MAX_LIBRARY_RETRIES - 1


def _request(client: Any, method: str, path: str, body: Any) -> Any:
    """Send a request with a JSON body, or without a body if it is None; return the response."""
    data = b"" if body is None else json.dumps(body).encode()
    return client.request(method, path, body=data, headers=JSON_HEADERS)


class IdleClients:
    """Pool of at most `capacity` idle connections, reused last in, first out.

    Only for requests that may be sent twice, as an idle connection can break during a request.
    """

    __slots__ = ("clients", "capacity")

    def __init__(self, capacity: int = 256) -> None:
        self.clients: list[tuple[Address, Any]] = []
        self.capacity = capacity

    def take(self, address: Address) -> Any:
        """Remove and return a client connected to the address, or None."""
        for index in range(len(self.clients) - 1, -1, -1):
            if self.clients[index][0] == address:
                return self.clients.pop(index)[1]
        return None

    def put(self, address: Address, client: Any) -> None:
        """Add a client whose response was read completely; close the oldest if over capacity."""
        self.clients.append((address, client))
        if len(self.clients) > self.capacity:
            self.clients.pop(0)[1].close()


IDLE_CLIENTS = IdleClients()


def fetch(effect: FetchJson) -> tuple[int, Any]:
    """Send a request and return (status, JSON body).

    A request with `may_retry` is retried once on a new connection if a reused idle one broke.

    Raises
    ------
    NotSent
        No connection could be established, so the request did not run.
    BackendError
        The request may have run. Also raised if the retry could not connect, since the first
        attempt may have run. `reason` is "time" after a timeout.
    """
    deadline = time.monotonic() + effect.seconds
    idle_client = IDLE_CLIENTS.take(effect.address) if effect.may_retry else None
    if idle_client is not None:
        try:
            return _exchange(idle_client, effect, effect.seconds)
        except BackendError as error:
            if error.detail["reason"] == "time":
                raise
        seconds_left = deadline - time.monotonic()
        try:
            client = _connect(effect.address, seconds_left)
        except NotSent as error:
            raise BackendError(**error.detail) from error
        return _exchange(client, effect, seconds_left)
    return _exchange(_connect(effect.address, effect.seconds), effect, effect.seconds)


def _exchange(client: Any, effect: FetchJson, seconds: float) -> tuple[int, Any]:
    """Send a request and return (status, JSON body); pool the client if it can be reused.

    Raises BackendError, with the reason "time" after `seconds`.
    """
    is_complete = False
    try:
        with gevent.Timeout(max(seconds, MIN_TIMEOUT_SECONDS), BackendError(reason="time")):
            response = _request(client, effect.method, effect.path, effect.body)
            answer = response.status_code, json.loads(response.read() or b"null")
        is_complete = True
        return answer
    except READ_ERRORS as error:
        raise BackendError(reason=type(error).__name__) from error
    finally:
        if is_complete and effect.may_retry:
            IDLE_CLIENTS.put(effect.address, client)
        else:
            client.close()


def open_stream(effect: OpenStream) -> StreamHandle:
    """Send a POST request and return the handle of its streamed response.

    Raises
    ------
    NotSent
        No connection could be established, so the request did not run.
    BackendError
        The request may have run.
    """
    client = _connect(effect.address, effect.seconds)
    try:
        with gevent.Timeout(effect.seconds, BackendError(reason="time")):
            return StreamHandle(client, _request(client, "POST", effect.path, effect.body))
    except (*READ_ERRORS, BackendError) as error:
        client.close()
        if isinstance(error, BackendError):
            raise
        raise BackendError(reason=type(error).__name__) from error


def read_line(effect: ReadLine) -> Any:
    """Return the next JSON line, or None at the end of the stream.

    Raises BackendError if the connection broke, the line is not JSON, or nothing arrived within
    `effect.seconds` (reason "stall").
    """
    try:
        with gevent.Timeout(effect.seconds, BackendError(reason="stall")):
            line = effect.handle.response.readline(b"\n")
            return json.loads(line) if line else None
    except READ_ERRORS as error:
        raise BackendError(reason=type(error).__name__) from error
