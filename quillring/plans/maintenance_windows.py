"""Maintenance windows from iCalendar files (RFC 5545): times and the intents they state."""

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
    """A calendar event: its times in ISO 8601, its summary, and the intent it states, if any."""

    start: str
    end: str
    summary: str
    intent: WireMap | None

    def to_json(self) -> WireMap:
        """Return the window as the command line prints it."""
        return self._asdict()


def read_windows(
    data: bytes, start: datetime.datetime, end: datetime.datetime
) -> list[MaintenanceWindow]:
    """Return the windows that overlap a time range, with recurrences expanded, sorted by start.

    Raises BadCalendar for an invalid file.
    """
    try:
        calendar = icalendar.Calendar.from_ical(data)
        events = recurring_ical_events.of(calendar).between(start, end)
    except (ValueError, KeyError, IndexError) as error:
        raise BadCalendar(reason=str(error)[:MAX_REASON_CHARACTERS]) from error
    return sorted((read_window(event) for event in events), key=lambda window: window.start)


def read_window(event: Any) -> MaintenanceWindow:
    """Return the window of an occurrence.

    Expansion has computed a DTEND for events with a duration (RFC 5545, section 3.6.1).
    """
    start = event["DTSTART"]
    end = event.get("DTEND", start)
    summary = str(event.get("SUMMARY", ""))
    return MaintenanceWindow(
        to_aware_time(start.dt).isoformat(),
        to_aware_time(end.dt).isoformat(),
        summary,
        read_intent(summary),
    )


def read_intent(summary: str) -> WireMap | None:
    """Return the intent in a summary of the form "verb target", such as "empty north", or None."""
    words = summary.lower().split()
    if len(words) != 2 or words[0] not in INTENT_BY_VERB:
        return None
    return {"kind": INTENT_BY_VERB[words[0]], "target": words[1]}


def to_aware_time(value: datetime.date) -> datetime.datetime:
    """Return a time with a time zone: a date means midnight UTC, a naive time is in UTC."""
    if not isinstance(value, datetime.datetime):
        value = datetime.datetime.combine(value, datetime.time())
    return value if value.tzinfo else value.replace(tzinfo=datetime.UTC)
