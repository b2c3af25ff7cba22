"""The production runtime: coroutines driven by gevent, messages over UDP and TCP sockets."""

from __future__ import annotations

import os
import random
import time
from typing import TYPE_CHECKING

import gevent
import gevent.event
import gevent.server
import gevent.socket

from quillring.kernel import http_client
from quillring.kernel.channel import FRAME_HEADER, Channel
from quillring.kernel.datagrams import DatagramSocket
from quillring.kernel.effects import (
    FetchJson,
    OpenStream,
    ReadBody,
    ReadHead,
    ReadLine,
    SendRequest,
    SendToClient,
    Sleep,
    Wait,
)
from quillring.kernel.errors import QuillringError
from quillring.kernel.lazy import lazy_module
from quillring.kernel.timer_coalescing import TimerCoalescer

if TYPE_CHECKING:
    from collections.abc import Callable, Generator
    from typing import Any

    from quillring.kernel.effects import Effect, Signal
    from quillring.kernel.types import Address, Coroutine

    DataHandler = Callable[[bytes], object]

gevent.config.resolver = "block"
backend = lazy_module("quillring.kernel.backend")

MAX_FRAME_BYTES = 64 * 1024 * 1024
TIMER_STEP_SECONDS = 0.03


class GeventRuntime:
    """Provides the clock, randomness, network and coroutines of one process.

    Owns the UDP socket and the outgoing channels. `report(error)` is called for each exception that
    escapes from a handler or a coroutine, `on_refused(address)` when a peer's address refuses
    connections.
    """

    __slots__ = (
        "random",
        "datagrams",
        "channels",
        "report",
        "frame_timeout",
        "on_refused",
        "timers",
    )

    def __init__(self, report: Callable[[Exception], object], frame_timeout: float) -> None:
        self.random = random.Random(os.urandom(16))
        self.datagrams: DatagramSocket
        self.channels: dict[Address, Channel] = {}
        self.report = report
        self.frame_timeout = frame_timeout
        self.on_refused: Callable[[Address], object] = lambda address: None
        self.timers = TimerCoalescer(time.monotonic(), TIMER_STEP_SECONDS)

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def wall_time(self) -> float:
        """Return Unix time in seconds, for timestamps that must be valid after a restart."""
        return time.time()

    def secret(self, count: int) -> bytes:
        """Return `count` cryptographically random bytes."""
        return os.urandom(count)

    def listen(self, host: str, port: int, on_datagram: DataHandler, on_frame: DataHandler) -> Any:
        """Start receiving UDP datagrams and TCP frames at the address; return the TCP server.

        `on_datagram` and `on_frame` are called with the bytes of each message. Datagrams are read
        in batches, about one timer step apart.
        """
        self.datagrams = DatagramSocket(host, port)
        gevent.spawn(
            self.datagrams.run,
            lambda data: self._call_handler(on_datagram, data),
            lambda: self.sleep(self.timers.step_seconds),
        )
        server = gevent.server.StreamServer(
            (host, port), lambda conn, _: self._read_frames(conn, on_frame)
        )
        server.start()
        return server

    def _read_frames(self, conn: Any, on_frame: DataHandler) -> None:
        """Pass each frame of a connection to the handler until the peer closes it.

        A frame longer than MAX_FRAME_BYTES is reported as an empty one, which the handler counts as
        invalid, and ends the connection.
        """
        with conn, conn.makefile("rb") as reader:
            while True:
                try:
                    header = reader.read(FRAME_HEADER.size)
                    if len(header) < FRAME_HEADER.size:
                        return
                    (length,) = FRAME_HEADER.unpack(header)
                    data = reader.read(length) if length <= MAX_FRAME_BYTES else b""
                except OSError:
                    return
                if len(data) < length <= MAX_FRAME_BYTES:
                    return
                self._call_handler(on_frame, data)
                if length > MAX_FRAME_BYTES:
                    return

    def _call_handler(self, handler: Callable[[Any], object], data: Any) -> None:
        """Call a handler; report any exception that it raises."""
        try:
            handler(data)
        except Exception as error:
            self.report(error)

    def datagram(self, address: Address, data: bytes) -> None:
        """Send a datagram, without a delivery guarantee."""
        self.datagrams.send((address[0], address[1]), data)

    def frame(self, address: Address, data: bytes) -> None:
        """Queue a frame on the channel to the address, without a delivery guarantee."""
        channel = self.channels.get(address)
        if channel is None:
            channel = self.channels[address] = Channel(
                address, self.frame_timeout, self._report_refused
            )
            gevent.spawn(channel.run)
        channel.put(data)

    def _report_refused(self, address: Address) -> None:
        """Call `on_refused` for an address that refuses connections."""
        self._call_handler(self.on_refused, address)

    def reset(self, address: Address) -> None:
        """Close the connection to the address of a failed member; the next frame reconnects."""
        channel = self.channels.get(address)
        if channel is not None:
            channel.close()

    def spawn(self, coroutine: Coroutine) -> Any:
        """Start a coroutine in a new greenlet; return the greenlet."""
        return gevent.spawn(self._run, coroutine)

    def _run(self, coroutine: Coroutine) -> Any:
        """Run a coroutine to completion; report any exception that it raises."""
        try:
            return self.drive(coroutine)
        except QuillringError as error:
            self.report(error)
        except Exception as error:
            self.report(error)

    def drive(self, coroutine: Coroutine) -> Any:
        """Run a coroutine to completion in the current greenlet and return its result.

        Items that it sends with SendToClient are discarded.
        """
        lines = self.lines(coroutine)
        try:
            while True:
                next(lines)
        except StopIteration as stop:
            return stop.value

    def lines(self, coroutine: Coroutine) -> Generator[Any, None, Any]:
        """Run a coroutine in the current greenlet; yield its SendToClient items; return its result.

        A QuillringError raised by an effect is thrown into the coroutine. Closing this generator
        closes the coroutine.
        """
        value, error = None, None
        try:
            while True:
                try:
                    effect = coroutine.throw(error) if error else coroutine.send(value)
                except StopIteration as stop:
                    return stop.value
                value, error = None, None
                if isinstance(effect, SendToClient):
                    yield effect.item
                    continue
                try:
                    value = self.perform(effect)
                except QuillringError as raised_error:
                    error = raised_error
        finally:
            coroutine.close()

    def perform(self, effect: Effect) -> Any:
        """Perform one effect and return its result."""
        match effect:
            case Sleep():
                self.sleep(effect.seconds)
                return None
            case Wait():
                return self._wait(effect.signal, effect.seconds)
            case FetchJson():
                return backend.fetch(effect)
            case OpenStream():
                return backend.open_stream(effect)
            case ReadLine():
                return backend.read_line(effect)
            case SendRequest():
                return http_client.send_request(effect)
            case ReadHead():
                return effect.handle.read_head(effect.seconds)
            case ReadBody():
                return effect.handle.read_body_part(effect.seconds)

    def sleep(self, seconds: float) -> None:
        """Sleep for about `seconds`, aligned to the timer grid to share wake-ups."""
        gevent.sleep(self.timers.aligned_seconds(time.monotonic(), seconds))

    def _wait(self, signal: Signal, seconds: float) -> bool:
        """Wait up to `seconds` for a signal; return whether it is set."""
        if signal.is_set:
            return True
        wake_event = gevent.event.Event()
        signal.watchers.append(wake_event.set)
        wake_event.wait(max(0, seconds))
        if not signal.is_set and wake_event.set in signal.watchers:
            signal.watchers.remove(wake_event.set)
        return signal.is_set
