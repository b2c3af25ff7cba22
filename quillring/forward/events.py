"""Events of a stream: split, numbered, and never passed on in part."""

from quillring.kernel.errors import BackendError


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
        self.rest += data
        if b"\r" in self.rest:
            self.rest = self.rest.replace(b"\r\n\r\n", b"\n\n")
        *blocks, self.rest = self.rest.split(b"\n\n")
        events = [Event(block + b"\n\n") for block in blocks]
        for event in events:
            if event.id is None:
                continue
            if self.last_event is not None and event.id != self.last_event + 1:
                raise BackendError(reason="events out of order", got=event.id)
            self.last_event = event.id
        return events

    @property
    def is_clean(self):
        """True when no part of an event is left over."""
        return not self.rest.strip()
