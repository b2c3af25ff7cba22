"""The runtime of one simulated process: simpy drives its coroutines."""

import random

from quillring.kernel.effects import FetchJson, OpenStream, ReadLine, SendToClient, Sleep, Wait
from quillring.kernel.errors import QuillringError


class ScriptFailure(Exception):
    """A coroutine ended in something that is no error: a fault of the program."""


class SimRuntime:
    """Time, chance, network and coroutines of one simulated process."""

    def __init__(self, env, net, backends, address, seed, faults):
        self.env = env
        self.net = net
        self.backends = backends
        self.address = address
        self.random = random.Random(seed)
        self.faults = faults
        self.skew = self.random.uniform(0, 1000)
        self.wall_offset = 0.0
        self.step_seconds = self.free_at = 0.0
        self.is_dead = False
        self.thaw_event = None
        self.held = []
        self.on_datagram = self.on_frame = None
        self.on_refused = lambda address: None

    def now(self):
        """Return this process's own monotonic time."""
        return self.env.now + self.skew

    def wall_time(self):
        """Return the wall clock, which may differ between machines and step."""
        return self.env.now + 1_800_000_000 + self.wall_offset

    def secret(self, count):
        """Return seeded bytes."""
        return self.random.randbytes(count)

    def listen(self, on_datagram, on_frame):
        """Receive at the own address."""
        self.on_datagram, self.on_frame = on_datagram, on_frame
        self.net.attach(self.address, self)

    def receive(self, kind, data):
        """Take a packet; a frozen process finds it when it wakes."""
        if self.is_dead:
            return
        if self.thaw_event is not None:
            if len(self.held) < 500:
                self.held.append((kind, data))
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
        """A lost link's connection begins afresh; frames have none here."""

    def kill(self):
        """End the process; none of its coroutines goes on."""
        self.is_dead = True
        self.thaw()

    def freeze(self):
        """Stop every coroutine where it is; time goes on outside."""
        if self.thaw_event is None:
            self.thaw_event = self.env.event()

    def thaw(self):
        """Wake a frozen process; what was held arrives, in a burst."""
        if self.thaw_event is None:
            return
        event, self.thaw_event = self.thaw_event, None
        event.succeed()
        held_packets, self.held = self.held, []
        for kind, data in held_packets:
            self.receive(kind, data)

    def spawn(self, coroutine):
        """Run a coroutine as a process of its own."""
        return self.env.process(self._guard(coroutine))

    def _guard(self, coroutine):
        try:
            return (yield from self.drive(coroutine))
        except QuillringError as error:
            self.faults.append(("trouble", str(error)))
        except ScriptFailure:
            raise
        except Exception as error:
            raise ScriptFailure(f"{coroutine.__qualname__}: {error!r}") from error

    def drive(self, coroutine, sink=None):
        """Run a coroutine; lines it emits go to the sink, which may refuse them."""
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
        """Process: on a slow machine each step of a coroutine takes its time, one after another."""
        self.free_at = max(self.env.now, self.free_at) + self.step_seconds
        yield self.env.timeout(self.free_at - self.env.now)

    def perform(self, effect):
        """Bring about one effect."""
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
        """Wait for a signal of the kernel's."""
        if not signal.is_set:
            woken_event = self.env.event()
            signal.watchers.append(lambda: woken_event.triggered or woken_event.succeed())
            yield woken_event | self.env.timeout(max(0, seconds))
        return signal.is_set
