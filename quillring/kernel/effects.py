"""What a coroutine may ask of the runtime that drives it.

A coroutine is a generator: the state machine of one job. It yields an effect, is sent the effect's
outcome, and reads the time only through its node. gevent drives coroutines in production, simpy in
the simulator.
"""


class Effect:
    """Base of all effects; the fields are the slots, in order."""

    __slots__ = ()

    def __init__(self, *fields):
        for slot, field in zip(self.__slots__, fields, strict=True):
            setattr(self, slot, field)


class Sleep(Effect):
    """Resume after so many seconds."""

    __slots__ = ("seconds",)


class Wait(Effect):
    """Resume with True once the signal is set, with False after so many seconds."""

    __slots__ = ("signal", "seconds")


class Sync(Effect):
    """Resume once the records are durable in the node's own log."""

    __slots__ = ("records",)


class Fetch(Effect):
    """Send one HTTP inquiry to a back end; resume with (status, body).

    One that may repeat goes over a kept connection, which may break without telling why.
    """

    __slots__ = ("address", "method", "path", "body", "seconds", "may_repeat")


class Open(Effect):
    """Open a streamed HTTP answer of a back end; resume with its handle."""

    __slots__ = ("address", "path", "body", "seconds")


class Next(Effect):
    """Resume with the next line of an open stream, or None at its end."""

    __slots__ = ("handle", "seconds")


class SendOn(Effect):
    """Send the bytes of one HTTP request; resume with the handle of its answer.

    `answer_id` is (lower-case header name, value): answers that bear another one are skipped.
    Raises NotSent when nothing reached the address, BackendError when it may have run.
    """

    __slots__ = ("address", "data", "seconds", "may_reuse", "answer_id")


class NextHead(Effect):
    """Resume once the head of an answer is there; a stall leaves the handle as it is."""

    __slots__ = ("handle", "seconds")


class NextPart(Effect):
    """Resume with the next bytes of an answer's body, or None at its proper end."""

    __slots__ = ("handle", "seconds")


class Emit(Effect):
    """Hand one line to the sender of the inquiry."""

    __slots__ = ("line",)


class Signal:
    """A one-shot event with a value that any runtime can wait for."""

    __slots__ = ("is_set", "value", "watchers")

    def __init__(self):
        self.is_set = False
        self.value = None
        self.watchers = []

    def set(self, value=None):
        """Set the signal; a second call changes nothing."""
        if self.is_set:
            return
        self.is_set, self.value = True, value
        woken_watchers, self.watchers = self.watchers, []
        for watcher in woken_watchers:
            watcher()
