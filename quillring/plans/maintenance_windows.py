"""Maintenance windows read from iCalendar files (RFC 5545): the intents and their times."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING, Any

import icalendar
import recurring_ical_events

from quillring.kernel.errors import QuillringError
from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from quillring.kernel.types import WireMap

MAX_REASON_CHARACTERS = 200
INTENT_BY_VERB = {
    "empty": "empty_domain",
    "refill": "refill_domain",
    "retire": "retire_store",
    "restore": "restore_store",
}


class BadCalendar(QuillringError):
    """The file is not a valid iCalendar file (RFC 5545)."""

    kind = "bad_calendar"
    status = 400


class MaintenanceWindow(NamedTuple):
    """An event of a calendar: its times in ISO 8601, its summary, and the intent it states."""

    start: str
    end: str
    summary: str
    intent: WireMap | None

    def to_json(self) -> WireMap:
        """Return the window as the HTTP interface shows it."""
        return self._asdict()


def read_windows(
    data: bytes, start: datetime.datetime, end: datetime.datetime
) -> list[MaintenanceWindow]:
    """Return the windows between two times, recurrences expanded, sorted by their start.

    A summary such as "empty north" states an intent. Raises BadCalendar for an invalid file.
    """
    try:
        calendar = icalendar.Calendar.from_ical(data)
        events = recurring_ical_events.of(calendar).between(start, end)
    except (ValueError, KeyError, IndexError) as error:
        raise BadCalendar(reason=str(error)[:MAX_REASON_CHARACTERS]) from error
    return sorted((read_event(event) for event in events), key=lambda window: window.start)


def read_event(event: Any) -> MaintenanceWindow:
    """Return the window of an occurrence, which has a DTEND by now (RFC 5545, section 3.6.1)."""
    start = event["DTSTART"]
    end = event.get("DTEND", start)
    summary = str(event.get("SUMMARY", ""))
    return MaintenanceWindow(
        as_time(start.dt).isoformat(), as_time(end.dt).isoformat(), summary, read_intent(summary)
    )


def read_intent(summary: str) -> WireMap | None:
    """Return the intent that a summary states as "verb target", or None."""
    words = summary.lower().split()
    if len(words) != 2 or words[0] not in INTENT_BY_VERB:
        return None
    return {"kind": INTENT_BY_VERB[words[0]], "target": words[1]}


def as_time(value: datetime.date) -> datetime.datetime:
    """Return an aware time: a date is midnight UTC, a naive time is taken as UTC."""
    if not isinstance(value, datetime.datetime):
        value = datetime.datetime.combine(value, datetime.time())
    return value if value.tzinfo else value.replace(tzinfo=datetime.UTC)
