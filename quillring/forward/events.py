"""Events of a stream: split, numbered, and never passed on in part."""

import re

from quillring.kernel.errors import BackendError

END_OF_EVENT = re.compile(rb"(\r?\n\r?\n)")


class Event:
    """One event: its id (None when it has none), its data lines and its raw bytes."""

    __slots__ = ("id", "data", "raw")

    def __init__(self, raw):
        self.raw = raw
        self.id, self.data = None, []
        for line in raw.replace(b"\r\n", b"\n").split(b"\n"):
            name, _, value = line.partition(b":")
            value = value[1:] if value[:1] == b" " else value
            if name == b"id" and value.isdigit():
                self.id = int(value)
            elif name == b"data":
                self.data.append(value)


class EventReader:
    """Splits the bytes of a stream into whole events; ids rise by one from `last_event` on."""

    __slots__ = ("rest", "last_event")

    def __init__(self, last_event=None):
        self.rest = b""
        self.last_event = last_event

    def feed(self, data):
        """Return the events that the bytes complete; ids that do not rise raise BackendError."""
        events = [Event(raw) for raw in self._split(self.rest + data)]
        for event in events:
            if event.id is None:
                continue
            if self.last_event is not None and event.id != self.last_event + 1:
                raise BackendError(reason="events out of order", got=event.id)
            self.last_event = event.id
        return events

    def _split(self, data):
        """Return the bytes of each whole event and keep what is left over."""
        if b"\r" not in data:
            *blocks, self.rest = data.split(b"\n\n")
            return [block + b"\n\n" for block in blocks]
        *pieces, self.rest = END_OF_EVENT.split(data)
        return [block + end for block, end in zip(pieces[::2], pieces[1::2])]

    @property
    def is_clean(self):
        """True when no part of an event is left over."""
        return not self.rest.strip()
