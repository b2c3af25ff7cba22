"""A runtime of one coroutine: virtual time, and replicas that answer as a test writes it down."""

import random

from quillring.kernel.effects import ReadBody, ReadHead, SendRequest, SendToClient, Sleep, Wait
from quillring.kernel.errors import BackendError, NotSent, StaleConnection

SILENT, BREAK, STALE, END = "silent", "break", "stale", None


class ScriptedAnswer:
    """An answer that comes step by step: (seconds, what); what is a head, bytes, END or a fault."""

    def __init__(self, runtime, steps):
        self.runtime = runtime
        self.steps = list(steps)
        self.status, self.headers = None, {}
        self.is_closed = False
        self.waited = 0

    def next(self, seconds):
        """Return what comes next within the time, or raise as the network would."""
        delay, what = self.steps[0] if self.steps else (0, SILENT)
        left = delay - self.waited
        if what is SILENT or left > seconds:
            self.waited += seconds
            self.runtime.time += seconds
            raise BackendError(reason="stall")
        self.runtime.time += max(0, left)
        self.waited = 0
        self.steps.pop(0)
        if what is BREAK:
            raise BackendError(reason="broken off")
        if what is STALE:
            raise StaleConnection(reason="broken off")
        return what

    def close(self):
        """Note that the answer was ended with."""
        self.is_closed = True


class ScriptedRuntime:
    """Drives one coroutine; `answers` is {address: [steps, ...]}, a list a sending in turn."""

    def __init__(self, answers=(), seed=0):
        self.time = 1000.0
        self.random = random.Random(seed)
        self.answers = {address: list(lists) for address, lists in dict(answers).items()}
        self.sent = []
        self.emitted = []
        self.handles = []

    def now(self):
        """Return virtual seconds."""
        return self.time

    def wall_time(self):
        """Return virtual seconds of the wall clock."""
        return self.time

    def spawn(self, coroutine):
        """Coroutines beside the one under test do nothing here."""
        coroutine.close()

    def frame(self, address, data):
        """No other node is there to hear."""

    datagram = frame

    def run(self, coroutine):
        """Run the coroutine to its end; return its value or raise its error."""
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
        """Bring about one effect."""
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
        waiting = self.answers.get(tuple(effect.address))
        if not waiting:
            raise NotSent(reason="refused")
        self.handles.append(ScriptedAnswer(self, waiting.pop(0)))
        return self.handles[-1]
