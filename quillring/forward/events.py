"""Parser of server-sent events: returns complete events only and checks the order of their ids.

The format is defined in the HTML standard, section "Server-sent events".
"""

from __future__ import annotations

import re

from quillring.kernel.errors import BackendError

END_OF_EVENT = re.compile(rb"(\r?\n\r?\n)")


class Event:
    """One event: its numeric id (None if it has none), its data lines and its raw bytes."""

    __slots__ = ("id", "data", "raw")

    def __init__(self, raw: bytes) -> None:
        self.raw = raw
        self.id: int | None = None
        self.data: list[bytes] = []
        for line in raw.replace(b"\r\n", b"\n").split(b"\n"):
            name, _, value = line.partition(b":")
            value = value[1:] if value[:1] == b" " else value
            if name == b"id" and value.isdigit():
                self.id = int(value)
            elif name == b"data":
                self.data.append(value)


class EventReader:
    """Splits a byte stream into complete events.

    Event ids must increase by one, starting from `last_event_id` if that is given.
    """

    __slots__ = ("unparsed", "last_event_id")

    def __init__(self, last_event_id: int | None = None) -> None:
        self.unparsed = b""
        self.last_event_id = last_event_id

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete.

        Raises
        ------
        BackendError
            An event's id is not the previous id plus one.
        """
        events = [Event(raw) for raw in self._split(self.unparsed + data)]
        for event in events:
            if event.id is None:
                continue
            if self.last_event_id is not None and event.id != self.last_event_id + 1:
                raise BackendError(reason="events out of order", got=event.id)
            self.last_event_id = event.id
        return events

    def _split(self, data: bytes) -> list[bytes]:
        """Return the bytes of each complete event and store the remaining bytes in `unparsed`."""
        if b"\r" not in data:
            *blocks, self.unparsed = data.split(b"\n\n")
            return [block + b"\n\n" for block in blocks]
        *pieces, self.unparsed = END_OF_EVENT.split(data)
        return [block + end for block, end in zip(pieces[::2], pieces[1::2])]

    @property
    def is_at_event_boundary(self) -> bool:
        """Return whether no incomplete event is buffered."""
        return not self.unparsed.strip()
