"""Runtime of one modelled process: coroutines run until they wait; timers fire by choice."""

import hashlib
from collections import deque

import cbor2

from quillring.kernel.effects import Sleep, Wait
from quillring.kernel.errors import QuillringError

NEVER_FIRES_SECONDS = 3600


class MidpointRandom:
    """Deterministic random source: a randomized pause always has its middle length."""

    def random(self):
        """Return the middle of the range."""
        return 0.5


class Task:
    """A coroutine with its label, the effect it waits for, and the callback for its outcome."""

    __slots__ = ("label", "coroutine", "effect", "on_end")

    def __init__(self, label, coroutine, on_end=None):
        self.label = label
        self.coroutine = coroutine
        self.effect = None
        self.on_end = on_end


class CoroutineRuntime:
    """Runs the coroutines of one process and collects the messages that it sends.

    The clock doesn't advance: a timer fires only when `fire` is called, whatever its length.
    """

    def __init__(self, name):
        self.name = name
        self.random = MidpointRandom()
        self.tasks = []
        self.ready = deque()
        self.sent = []
        self.secret_count = 0

    def now(self):
        """Return the constant time 0."""
        return 0.0

    def secret(self, count):
        """Return deterministic bytes that differ for each process and each call."""
        self.secret_count += 1
        return hashlib.sha256(f"{self.name}/{self.secret_count}".encode()).digest()[:count]

    def send(self, target, message):
        """Collect a message in its wire encoding."""
        self.sent.append((target, cbor2.dumps(message)))
        return True

    def spawn(self, coroutine, label=None, on_end=None):
        """Schedule a coroutine; `on_end` gets its return value or its QuillringError."""
        task = Task(label or coroutine.__qualname__, coroutine, on_end)
        self.tasks.append(task)
        self.ready.append((task, None))

    def run(self):
        """Run until every coroutine waits or has ended."""
        while self.ready:
            self._advance(*self.ready.popleft())

    def _advance(self, task, value):
        task.effect = None
        try:
            effect = task.coroutine.send(value)
        except StopIteration as stop:
            self._finish(task, stop.value)
            return
        except QuillringError as error:
            self._finish(task, error)
            return
        task.effect = effect
        if isinstance(effect, Wait):
            self._await_signal(task, effect)
        elif not isinstance(effect, Sleep):
            raise TypeError(f"the model doesn't support the effect {effect!r}")

    def _await_signal(self, task, effect):
        def wake():
            if task.effect is effect:
                task.effect = None
                self.ready.append((task, True))

        if effect.signal.is_set:
            wake()
        else:
            effect.signal.watchers.append(wake)

    def _finish(self, task, outcome):
        self.tasks.remove(task)
        if task.on_end is not None:
            task.on_end(outcome)

    def timers(self):
        """Return the labels of the timers that may fire, in the order in which coroutines started.

        A wait of NEVER_FIRES_SECONDS or more is treated as one without a timeout.
        """
        return tuple(
            task.label
            for task in self.tasks
            if task.effect is not None and task.effect.seconds < NEVER_FIRES_SECONDS
        )

    def fire(self, label):
        """Fire the first timer with this label and run the process."""
        for task in self.tasks:
            if (
                task.label == label
                and task.effect is not None
                and task.effect.seconds < NEVER_FIRES_SECONDS
            ):
                value = None if isinstance(task.effect, Sleep) else False
                task.effect = None
                self.ready.append((task, value))
                break
        self.run()
