"""The runtime of a simulated process; simpy drives its coroutines."""

import random

from quillring.kernel.effects import FetchJson, OpenStream, ReadLine, SendToClient, Sleep, Wait
from quillring.kernel.errors import QuillringError


class CoroutineFailure(Exception):
    """A coroutine raised an exception other than a QuillringError: a bug in the program."""


class SimRuntime:
    """Clocks, random generator, network access and coroutines of one simulated process."""

    def __init__(self, env, net, backends, address, seed, faults):
        self.env = env
        self.net = net
        self.backends = backends
        self.address = address
        self.random = random.Random(seed)
        self.faults = faults
        self.skew = self.random.uniform(0, 1000)
        self.wall_offset = 0.0
        self.step_seconds = self.cpu_free_at = 0.0
        self.is_dead = False
        self.thaw_event = None
        self.packets_while_frozen = []
        self.on_datagram = self.on_frame = None
        self.on_refused = lambda address: None

    def now(self):
        """Return the monotonic clock of this process in seconds."""
        return self.env.now + self.skew

    def wall_time(self):
        """Return the wall clock in seconds, which may step and differ between machines."""
        return self.env.now + 1_800_000_000 + self.wall_offset

    def secret(self, count):
        """Return `count` bytes of the seeded generator."""
        return self.random.randbytes(count)

    def listen(self, on_datagram, on_frame):
        """Start to receive datagrams and frames at the process's address."""
        self.on_datagram, self.on_frame = on_datagram, on_frame
        self.net.attach(self.address, self)

    def receive(self, kind, data):
        """Handle a packet; a frozen process queues up to 500 and handles them when it thaws."""
        if self.is_dead:
            return
        if self.thaw_event is not None:
            if len(self.packets_while_frozen) < 500:
                self.packets_while_frozen.append((kind, data))
            return
        handlers = {
            "datagram": self.on_datagram,
            "frame": self.on_frame,
            "refused": self.on_refused,
        }
        handlers[kind](data)

    def datagram(self, address, data):
        """Send a datagram."""
        self.net.carry(self.address, tuple(address), data, "datagram")

    def frame(self, address, data):
        """Send a frame."""
        self.net.carry(self.address, tuple(address), data, "frame")

    def reset(self, address):
        """Do nothing: simulated frames need no connection that could be reopened."""

    def kill(self):
        """End the process; its coroutines are closed at their next step."""
        self.is_dead = True
        self.thaw()

    def freeze(self):
        """Suspend every coroutine while simulated time passes."""
        if self.thaw_event is None:
            self.thaw_event = self.env.event()

    def thaw(self):
        """Resume a frozen process; the packets received meanwhile are handled in a burst."""
        if self.thaw_event is None:
            return
        event, self.thaw_event = self.thaw_event, None
        event.succeed()
        held_packets, self.packets_while_frozen = self.packets_while_frozen, []
        for kind, data in held_packets:
            self.receive(kind, data)

    def spawn(self, coroutine):
        """Run a coroutine as a separate simpy process."""
        return self.env.process(self._guard(coroutine))

    def _guard(self, coroutine):
        try:
            return (yield from self.drive(coroutine))
        except QuillringError as error:
            self.faults.append(("trouble", str(error)))
        except CoroutineFailure:
            raise
        except Exception as error:
            raise CoroutineFailure(f"{coroutine.__qualname__}: {error!r}") from error

    def drive(self, coroutine, sink=None):
        """Process: run a coroutine; emitted items go to `sink`, which returns false to close it."""
        value, error = None, None
        while True:
            if self.step_seconds:
                yield from self._wait_for_turn()
            while self.thaw_event is not None:
                yield self.thaw_event
            if self.is_dead:
                coroutine.close()
                return None
            try:
                effect = coroutine.throw(error) if error else coroutine.send(value)
            except StopIteration as stop:
                return stop.value
            value, error = None, None
            if isinstance(effect, SendToClient):
                if not sink(effect.item):
                    coroutine.close()
                    return None
                continue
            try:
                value = yield from self.perform(effect)
            except QuillringError as raised_error:
                error = raised_error

    def _wait_for_turn(self):
        """Process: wait for the CPU of a slow machine, which runs one coroutine step at a time."""
        self.cpu_free_at = max(self.env.now, self.cpu_free_at) + self.step_seconds
        yield self.env.timeout(self.cpu_free_at - self.env.now)

    def perform(self, effect):
        """Process: execute an effect and return its result."""
        match effect:
            case Sleep():
                yield self.env.timeout(effect.seconds)
            case Wait():
                return (yield from self.wait(effect.signal, effect.seconds))
            case FetchJson():
                return (yield from self.backends.fetch(self, effect))
            case OpenStream():
                return (yield from self.backends.open(self, effect))
            case ReadLine():
                return (yield from self.backends.next(self, effect))
        return None

    def wait(self, signal, seconds):
        """Process: wait up to `seconds` for a signal; return whether it is set."""
        if not signal.is_set:
            woken_event = self.env.event()
            signal.watchers.append(lambda: woken_event.triggered or woken_event.succeed())
            yield woken_event | self.env.timeout(max(0, seconds))
        return signal.is_set
