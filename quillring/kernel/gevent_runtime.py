"""The production runtime: gevent drives the coroutines, sockets carry datagrams and frames."""

import os
import random
import time

import gevent
import gevent.event
import gevent.server
import gevent.socket

from quillring.kernel import http_client
from quillring.kernel.channel import FRAME_HEAD, Channel
from quillring.kernel.datagrams import Datagrams
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
from quillring.kernel.steps import Steps

gevent.config.resolver = "block"
backend = lazy_module("quillring.kernel.backend")

FRAME_LIMIT = 64 * 1024 * 1024
REST_SECONDS = 0.03


class GeventRuntime:
    """Time, chance, network and coroutines of one process."""

    __slots__ = (
        "random",
        "datagrams",
        "channels",
        "report",
        "frame_timeout",
        "on_refused",
        "steps",
    )

    def __init__(self, report, frame_timeout):
        self.random = random.Random(os.urandom(16))
        self.datagrams = None
        self.channels = {}
        self.report = report
        self.frame_timeout = frame_timeout
        self.on_refused = lambda address: None
        self.steps = Steps(time.monotonic(), REST_SECONDS)

    def now(self):
        """Return monotonic seconds."""
        return time.monotonic()

    def wall_time(self):
        """Return seconds of the wall clock, for what outlives a process."""
        return time.time()

    def secret(self, count):
        """Return bytes nobody can guess."""
        return os.urandom(count)

    def listen(self, host, port, on_datagram, on_frame):
        """Take datagrams and frames at the address."""
        self.datagrams = Datagrams(host, port)
        gevent.spawn(
            self.datagrams.run,
            lambda data: self._guard(on_datagram, data),
            lambda: self.sleep(self.steps.seconds),
        )
        server = gevent.server.StreamServer(
            (host, port), lambda conn, _: self._read_frames(conn, on_frame)
        )
        server.start()
        return server

    def _read_frames(self, conn, on_frame):
        with conn, conn.makefile("rb") as reader:
            while True:
                try:
                    head = reader.read(FRAME_HEAD.size)
                    if len(head) < FRAME_HEAD.size:
                        return
                    (length,) = FRAME_HEAD.unpack(head)
                    data = reader.read(length) if length <= FRAME_LIMIT else b""
                except OSError:
                    return
                if len(data) < length <= FRAME_LIMIT:
                    return
                self._guard(on_frame, data)
                if length > FRAME_LIMIT:
                    return

    def _guard(self, handler, data):
        try:
            handler(data)
        except Exception as error:
            self.report(error)

    def datagram(self, address, data):
        """Send a datagram; it may be lost."""
        self.datagrams.send(tuple(address), data)

    def frame(self, address, data):
        """Queue a frame on the channel to the address; it may be lost."""
        channel = self.channels.get(address)
        if channel is None:
            channel = self.channels[address] = Channel(address, self.frame_timeout, self._refused)
            gevent.spawn(channel.run)
        channel.put(data)

    def _refused(self, address):
        self._guard(self.on_refused, address)

    def reset(self, address):
        """Drop the connection to a lost member, so that a healed link begins afresh at once."""
        channel = self.channels.get(address)
        if channel is not None:
            channel.close()

    def spawn(self, coroutine):
        """Run a coroutine in its own greenlet."""
        return gevent.spawn(self._run, coroutine)

    def _run(self, coroutine):
        try:
            return self.drive(coroutine)
        except QuillringError as error:
            self.report(error)
        except Exception as error:
            self.report(error)

    def drive(self, coroutine):
        """Run a coroutine to its end here and return its value."""
        lines = self.lines(coroutine)
        try:
            while True:
                next(lines)
        except StopIteration as stop:
            return stop.value

    def lines(self, coroutine):
        """Run a coroutine here; yield each line that it emits; return its value."""
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

    def perform(self, effect):
        """Bring about one effect and return its outcome."""
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
                return backend.next_line(effect)
            case SendRequest():
                return http_client.send_request(effect)
            case ReadHead():
                return effect.handle.read_head(effect.seconds)
            case ReadBody():
                return effect.handle.read_body_part(effect.seconds)

    def sleep(self, seconds):
        """Sleep until a step near to then: what wakes together costs one wake."""
        gevent.sleep(self.steps.seconds_to(time.monotonic(), seconds))

    def _wait(self, signal, seconds):
        if signal.is_set:
            return True
        wake_event = gevent.event.Event()
        signal.watchers.append(wake_event.set)
        wake_event.wait(max(0, seconds))
        if not signal.is_set and wake_event.set in signal.watchers:
            signal.watchers.remove(wake_event.set)
        return signal.is_set
