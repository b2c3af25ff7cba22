"""A runtime for one coroutine under test: virtual time and replicas with scripted answers."""

import random

from quillring.kernel.effects import ReadBody, ReadHead, SendRequest, SendToClient, Sleep, Wait
from quillring.kernel.errors import BackendError, NotSent, StaleConnection

SILENT, BREAK, STALE, END = "silent", "break", "stale", None


class ScriptedAnswer:
    """An answer in steps (delay in seconds, value); a value is a head, bytes, END or a fault."""

    def __init__(self, runtime, steps):
        self.runtime = runtime
        self.steps = list(steps)
        self.status, self.headers = None, {}
        self.is_closed = False
        self.waited_seconds = 0

    def next(self, seconds):
        """Return the next value within `seconds` of virtual time, or raise as the network would."""
        delay, value = self.steps[0] if self.steps else (0, SILENT)
        remaining_seconds = delay - self.waited_seconds
        if value is SILENT or remaining_seconds > seconds:
            self.waited_seconds += seconds
            self.runtime.time += seconds
            raise BackendError(reason="stall")
        self.runtime.time += max(0, remaining_seconds)
        self.waited_seconds = 0
        self.steps.pop(0)
        if value is BREAK:
            raise BackendError(reason="broken off")
        if value is STALE:
            raise StaleConnection(reason="broken off")
        return value

    def close(self):
        """Record that the coroutine closed the answer."""
        self.is_closed = True


class ScriptedRuntime:
    """Drives one coroutine; `answers` is {address: [steps, ...]}, one list of steps per request."""

    def __init__(self, answers=(), seed=0):
        self.time = 1000.0
        self.random = random.Random(seed)
        self.answers = {address: list(lists) for address, lists in dict(answers).items()}
        self.sent = []
        self.emitted = []
        self.handles = []

    def now(self):
        """Return the virtual time in seconds."""
        return self.time

    def wall_time(self):
        """Return the virtual time as the wall clock, in seconds."""
        return self.time

    def spawn(self, coroutine):
        """Close the coroutine: only the one under test runs."""
        coroutine.close()

    def frame(self, address, data):
        """Drop the data: there are no other nodes."""

    datagram = frame

    def run(self, coroutine):
        """Run the coroutine to its end; return its result or raise its error."""
        value, error = None, None
        while True:
            try:
                effect = coroutine.throw(error) if error else coroutine.send(value)
            except StopIteration as stop:
                return stop.value
            value, error = None, None
            try:
                value = self.perform(effect)
            except BackendError as raised_error:
                error = raised_error

    def perform(self, effect):
        """Execute an effect and return its result."""
        match effect:
            case SendToClient():
                self.emitted.append(effect.item)
            case Sleep():
                self.time += effect.seconds
            case Wait():
                if not effect.signal.is_set:
                    self.time += max(0, effect.seconds)
                return effect.signal.is_set
            case SendRequest():
                return self._send(effect)
            case ReadHead():
                effect.handle.status, headers = effect.handle.next(effect.seconds)
                effect.handle.headers = headers
            case ReadBody():
                return effect.handle.next(effect.seconds)
        return None

    def _send(self, effect):
        self.sent.append((effect.address, effect.data, effect.may_reuse))
        pending_answers = self.answers.get(tuple(effect.address))
        if not pending_answers:
            raise NotSent(reason="refused")
        self.handles.append(ScriptedAnswer(self, pending_answers.pop(0)))
        return self.handles[-1]
