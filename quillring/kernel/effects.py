"""Effects: the operations that a coroutine may request from the runtime that drives it.

A coroutine is a generator: the state machine of one task. It yields an effect, is sent the result
of the effect, and reads the time only through its node. gevent drives coroutines in production,
simpy in the simulator.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from quillring.kernel.backend import Handle
    from quillring.kernel.http_client import ClientExchange
    from quillring.kernel.types import Address


class Effect:
    """Base of all effects."""

    __slots__ = ()


class Sleep(Effect):
    """Resume after `seconds`."""

    __slots__ = ("seconds",)

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds


class Wait(Effect):
    """Resume with True once the signal is set, or with False after `seconds`."""

    __slots__ = ("signal", "seconds")

    def __init__(self, signal: Signal, seconds: float) -> None:
        self.signal = signal
        self.seconds = seconds


class FetchJson(Effect):
    """Send one HTTP request with a JSON body to a replica; resume with (status, JSON body).

    With `may_repeat` it may use an idle connection, and is retried once if that one broke.
    Raises NotSent when it did not run, BackendError when it may have run or took over `seconds`.
    """

    __slots__ = ("address", "method", "path", "body", "seconds", "may_repeat")

    def __init__(
        self,
        address: Address,
        method: str,
        path: str,
        body: Any,
        seconds: float,
        may_repeat: bool,
    ) -> None:
        self.address = address
        self.method = method
        self.path = path
        self.body = body
        self.seconds = seconds
        self.may_repeat = may_repeat


class OpenStream(Effect):
    """Open a streamed HTTP response of a replica; resume with its handle."""

    __slots__ = ("address", "path", "body", "seconds")

    def __init__(self, address: Address, path: str, body: Any, seconds: float) -> None:
        self.address = address
        self.path = path
        self.body = body
        self.seconds = seconds


class ReadLine(Effect):
    """Resume with the next JSON line of an open stream, or None at its end."""

    __slots__ = ("handle", "seconds")

    def __init__(self, handle: Handle, seconds: float) -> None:
        self.handle = handle
        self.seconds = seconds


class SendRequest(Effect):
    """Send the bytes of one HTTP request; resume with the handle of its response.

    `answer_id` is (lower-case header name, value); responses with another value are skipped.
    Raises NotSent when it did not run, BackendError when it may have run.
    """

    __slots__ = ("address", "data", "seconds", "may_reuse", "answer_id")

    def __init__(
        self,
        address: Address,
        data: bytes,
        seconds: float,
        may_reuse: bool,
        answer_id: tuple[str, str | None],
    ) -> None:
        self.address = address
        self.data = data
        self.seconds = seconds
        self.may_reuse = may_reuse
        self.answer_id = answer_id


class ReadHead(Effect):
    """Resume once the response header is read; after a stall it may be awaited again."""

    __slots__ = ("handle", "seconds")

    def __init__(self, handle: ClientExchange, seconds: float) -> None:
        self.handle = handle
        self.seconds = seconds


class ReadBody(Effect):
    """Resume with the next bytes of a response body, or None at its complete end."""

    __slots__ = ("handle", "seconds")

    def __init__(self, handle: ClientExchange, seconds: float) -> None:
        self.handle = handle
        self.seconds = seconds


class SendToClient(Effect):
    """Send one item of a streamed response to the client: a JSON line, a head or body bytes."""

    __slots__ = ("item",)

    def __init__(self, item: Any) -> None:
        self.item = item


class Signal:
    """A one-shot event with a value that any runtime can wait for."""

    __slots__ = ("is_set", "value", "watchers")

    def __init__(self) -> None:
        self.is_set = False
        self.value: Any = None
        self.watchers: list[Callable[[], object]] = []

    def set(self, value: Any = None) -> None:
        """Set the signal and call its watchers; a second call changes nothing."""
        if self.is_set:
            return
        self.is_set, self.value = True, value
        woken_watchers, self.watchers = self.watchers, []
        for watcher in woken_watchers:
            watcher()
