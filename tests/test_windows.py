"""Maintenance windows in an iCalendar file are read as intents of plans."""

import datetime

import pytest

from quillring.plans.maintenance_windows import BadCalendar, read_windows

CALENDAR = b"""BEGIN:VCALENDAR\r
VERSION:2.0\r
PRODID:-//ops//EN\r
BEGIN:VEVENT\r
UID:1\r
DTSTAMP:20261201T000000Z\r
DTSTART:20261201T020000Z\r
DTEND:20261201T030000Z\r
RRULE:FREQ=DAILY;COUNT=3\r
SUMMARY:empty north\r
END:VEVENT\r
BEGIN:VEVENT\r
UID:2\r
DTSTAMP:20261201T000000Z\r
DTSTART;VALUE=DATE:20261202\r
SUMMARY:team lunch\r
END:VEVENT\r
END:VCALENDAR\r
"""


def test_recurring_windows_become_intents_and_other_events_do_not():
    start = datetime.datetime(2026, 12, 1, tzinfo=datetime.UTC)
    windows = read_windows(CALENDAR, start, start + datetime.timedelta(days=2))
    assert [(w.start[:13], w.intent) for w in windows] == [
        ("2026-12-01T02", {"kind": "empty_domain", "target": "north"}),
        ("2026-12-02T00", None),
        ("2026-12-02T02", {"kind": "empty_domain", "target": "north"}),
    ]


def test_file_that_is_not_a_calendar_raises_bad_calendar():
    start = datetime.datetime(2026, 12, 1, tzinfo=datetime.UTC)
    with pytest.raises(BadCalendar):
        read_windows(b"{}", start, start)
