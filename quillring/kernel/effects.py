"""Effects: the operations that a coroutine may request from the runtime that drives it.

A coroutine is a generator. It yields an effect; the runtime performs it and resumes the coroutine
with the result, or throws an error into it. A coroutine reads the time only through its node, so it
runs unchanged on gevent in production and on simpy in the simulator.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from quillring.kernel.backend import StreamHandle
    from quillring.kernel.http_client import ClientExchange
    from quillring.kernel.types import Address


class Effect:
    """Base class of all effects."""

    __slots__ = ()


class Sleep(Effect):
    """Resume after `seconds`."""

    __slots__ = ("seconds",)

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds


class Wait(Effect):
    """Resume with True as soon as the signal is set, or with False after `seconds`."""

    __slots__ = ("signal", "seconds")

    def __init__(self, signal: Signal, seconds: float) -> None:
        self.signal = signal
        self.seconds = seconds


class FetchJson(Effect):
    """Send one HTTP request with a JSON body to a replica; resume with (status, JSON body).

    With `may_retry` it may use an idle connection, and is retried once if that connection broke.
    Raises NotSent if the request did not run; BackendError if it may have run, also after a timeout
    of `seconds`.
    """

    __slots__ = ("address", "method", "path", "body", "seconds", "may_retry")

    def __init__(
        self,
        address: Address,
        method: str,
        path: str,
        body: Any,
        seconds: float,
        may_retry: bool,
    ) -> None:
        self.address = address
        self.method = method
        self.path = path
        self.body = body
        self.seconds = seconds
        self.may_retry = may_retry


class OpenStream(Effect):
    """Send a POST request with a JSON body to a replica; resume with a handle of its response.

    Raises NotSent if the request did not run, BackendError if it may have run.
    """

    __slots__ = ("address", "path", "body", "seconds")

    def __init__(self, address: Address, path: str, body: Any, seconds: float) -> None:
        self.address = address
        self.path = path
        self.body = body
        self.seconds = seconds


class ReadLine(Effect):
    """Resume with the next JSON line of an open stream, or with None at its end.

    Raises BackendError if the stream broke or no line arrived within `seconds`.
    """

    __slots__ = ("handle", "seconds")

    def __init__(self, handle: StreamHandle, seconds: float) -> None:
        self.handle = handle
        self.seconds = seconds


class SendRequest(Effect):
    """Send the bytes of one HTTP request; resume with a handle of its response.

    `response_id` is a (lower-case header name, value) that identifies the response; responses with
    another value are skipped. With `may_reuse` an idle connection may be used. Raises NotSent if
    the request did not run, BackendError if it may have run.
    """

    __slots__ = ("address", "data", "seconds", "may_reuse", "response_id")

    def __init__(
        self,
        address: Address,
        data: bytes,
        seconds: float,
        may_reuse: bool,
        response_id: tuple[str, str | None],
    ) -> None:
        self.address = address
        self.data = data
        self.seconds = seconds
        self.may_reuse = may_reuse
        self.response_id = response_id


class ReadHead(Effect):
    """Resume once the header section of a response was read.

    Raises BackendError if the connection broke, or with reason "stall" after `seconds`; after a
    stall the effect may be requested again.
    """

    __slots__ = ("handle", "seconds")

    def __init__(self, handle: ClientExchange, seconds: float) -> None:
        self.handle = handle
        self.seconds = seconds


class ReadBody(Effect):
    """Resume with the next bytes of a response body, or with None once the body is complete.

    Raises BackendError if the body was cut off or nothing arrived within `seconds`.
    """

    __slots__ = ("handle", "seconds")

    def __init__(self, handle: ClientExchange, seconds: float) -> None:
        self.handle = handle
        self.seconds = seconds


class SendToClient(Effect):
    """Send one item of a streamed response to the client.

    The item is a value that is sent as a JSON line, or, for a forwarded request, first (status,
    headers, first body bytes) and then body bytes.
    """

    __slots__ = ("item",)

    def __init__(self, item: Any) -> None:
        self.item = item


class Signal:
    """A one-shot event with a value; coroutines wait for it by the effect Wait on any runtime."""

    __slots__ = ("is_set", "value", "watchers")

    def __init__(self) -> None:
        self.is_set = False
        self.value: Any = None
        self.watchers: list[Callable[[], object]] = []

    def set(self, value: Any = None) -> None:
        """Set the signal and its value, and call its watchers; further calls have no effect."""
        if self.is_set:
            return
        self.is_set, self.value = True, value
        woken_watchers, self.watchers = self.watchers, []
        for watcher in woken_watchers:
            watcher()
