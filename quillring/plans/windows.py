"""Maintenance windows from iCalendar files: what operators intend, and when."""

import datetime

import icalendar
import recurring_ical_events

from quillring.kernel.errors import QuillringError

WORDS = {
    "empty": "empty_domain",
    "refill": "refill_domain",
    "retire": "retire_store",
    "restore": "restore_store",
}


class BadCalendar(QuillringError):
    """The file is no iCalendar file."""

    kind = "bad_calendar"
    status = 400


def read_windows(data, start, end):
    """Return the windows between two times; a summary such as "empty north" is an intent."""
    try:
        calendar = icalendar.Calendar.from_ical(data)
        events = recurring_ical_events.of(calendar).between(start, end)
    except (ValueError, KeyError, IndexError) as error:
        raise BadCalendar(reason=str(error)[:200]) from error
    windows = [
        {
            "start": as_time(event["DTSTART"].dt).isoformat(),
            "end": as_time(
                event["DTEND"].dt if "DTEND" in event else event["DTSTART"].dt
            ).isoformat(),
            "summary": str(event.get("SUMMARY", "")),
            "intent": read_intent(str(event.get("SUMMARY", ""))),
        }
        for event in events
    ]
    return sorted(windows, key=lambda window: window["start"])


def read_intent(summary):
    """Return the intent that a summary states, or None."""
    words = summary.lower().split()
    if len(words) != 2 or words[0] not in WORDS:
        return None
    return {"kind": WORDS[words[0]], "target": words[1]}


def as_time(value):
    """Return a date or a naive time as a time in UTC."""
    if not isinstance(value, datetime.datetime):
        value = datetime.datetime.combine(value, datetime.time())
    return value if value.tzinfo else value.replace(tzinfo=datetime.UTC)
