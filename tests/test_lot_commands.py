"""The encoding of each command, query and message of lots in the log and on the wire.

The samples are written out literally, because members of other versions read exactly these
fields in this order.
"""

import cbor2
import pytest

from quillring.lots.http_requests import commands, messages
from quillring.lots.prompts import commands as prompt_commands
from quillring.quorum.values import Ballot

ITEM = ["x-0", "/p/0?q=1", [["Model", "m"]], b"body", 10]
REQUEST = messages.RequestToSend("x-0", "/p/0?q=1", [["Model", "m"]], b"body")
ACCEPT_FIELDS = {
    "do": "raw.accept",
    "lot": "x@h",
    "forward": "f",
    "host": "h",
    "items": [ITEM],
    "digest": b"d",
    "try": "0a",
    "most_tokens": 60,
    "at": 1000,
    "due_ms": 8000,
    "retain_ms": 40_000,
    "rounds": 2,
}
ACCEPT = commands.AcceptLot(
    lot="x@h",
    forward="f",
    host="h",
    items=[ITEM],
    digest=b"d",
    attempt="0a",
    most_tokens=60,
    submitted_at_ms=1000,
    due_ms=8000,
    retain_ms=40_000,
    max_attempts=2,
)
SAMPLES = [
    (ACCEPT, ACCEPT_FIELDS),
    (ACCEPT._replace(max_held_bytes=900), {**ACCEPT_FIELDS, "most_weight": 900}),
    (
        ACCEPT._replace(max_held_bytes=900, reserving_part="part-1", ticket=3),
        {**ACCEPT_FIELDS, "most_weight": 900, "ledger": "part-1", "ticket": 3},
    ),
    (
        commands.ListResult("x@h", 2, "finished", b"text", "0f"),
        {
            "do": "raw.result",
            "state": "finished",
            "text": b"text",
            "lot": "x@h",
            "n": 2,
            "run": "0f",
        },
    ),
    (
        commands.CountFailure("x@h", 2, "0f"),
        {"do": "raw.failed", "lot": "x@h", "n": 2, "run": "0f"},
    ),
    (commands.EndLot("x@h"), {"do": "raw.end", "lot": "x@h"}),
    (commands.ExpireLot("x@h"), {"do": "raw.expire", "lot": "x@h"}),
    (commands.DropLot("x@h"), {"do": "raw.drop", "lot": "x@h"}),
    (
        commands.ReserveTokens("part-1", "part-0", 30, None, "x@h", "f", b"d", "0a", 60),
        {
            "do": "raw.reserve",
            "part": "part-1",
            "home": "part-0",
            "tokens": 30,
            "fenced": None,
            "lot": "x@h",
            "forward": "f",
            "digest": b"d",
            "try": "0a",
            "most_tokens": 60,
        },
    ),
    (
        commands.ReleaseTokens([commands.PendingTokens("x@h", 3, 10)]),
        {"do": "raw.release", "lot": "", "rows": [["x@h", 3, 10]]},
    ),
    (
        commands.FenceTickets("part-0", 4, ["x@h", "y@h"]),
        {"do": "raw.fence", "lot": "", "ledger": "part-0", "ticket": 4, "lots": ["x@h", "y@h"]},
    ),
    (
        commands.QueryResults("x@h", 3, 200_000),
        {"ask": "raw.results", "lot": "x@h", "from": 3, "limit": 200_000},
    ),
    (
        commands.QueryKnownLot("x@h", b"d"),
        {"ask": "raw.known", "lot": "x@h", "digest": b"d"},
    ),
    (
        commands.QueryItemBody("x@h", "x-0"),
        {"ask": "raw.body", "lot": "x@h", "item": "x-0"},
    ),
    (
        messages.RunItem(
            part="part-1",
            ballot=Ballot(7, "core-1/2"),
            lot="x@h",
            number=2,
            run_id="0f",
            service="words",
            replica="i-0",
            forward="f",
            host="h",
            request=REQUEST,
            last_event_id=None,
            text=b"",
            urgency=7,
        ),
        {
            "part": "part-1",
            "ballot": [7, "core-1/2"],
            "lot": "x@h",
            "n": 2,
            "run": "0f",
            "service": "words",
            "replica": "i-0",
            "forward": "f",
            "host": "h",
            "item": ["x-0", "/p/0?q=1", [["Model", "m"]], b"body"],
            "last": None,
            "text": b"",
            "urgency": 7,
        },
    ),
    (
        messages.RenewRuns("part-1", Ballot(7, "core-1/2")),
        {"part": "part-1", "ballot": [7, "core-1/2"]},
    ),
    (messages.StopRuns("x@h", None), {"lot": "x@h", "numbers": None}),
    (messages.StopRuns("x@h", [1, 2]), {"lot": "x@h", "numbers": [1, 2]}),
    (
        messages.ActiveRun("x@h", 2, "0f", "words", "i-0"),
        ["x@h", 2, "0f", "words", "i-0"],
    ),
    (
        messages.BacklogReport(
            {"part-1": {"words": 7.5}}, {"part-1": {"words": [messages.BacklogRow(1.5, 7.5)]}}
        ),
        {"parts": {"part-1": {"words": 7.5}}, "due": {"part-1": {"words": [[1.5, 7.5]]}}},
    ),
]
PROMPT_ACCEPT_FIELDS = {
    "do": "lot.accept",
    "lot": "part-1.0b.k",
    "sender": "ann",
    "entry": "e",
    "items": ["one", "two"],
}
PROMPT_ACCEPT = prompt_commands.AcceptLot("part-1.0b.k", "ann", "e", ["one", "two"])
PROMPT_SAMPLES = [
    (PROMPT_ACCEPT, PROMPT_ACCEPT_FIELDS),
    (PROMPT_ACCEPT._replace(seen_drops=0), {**PROMPT_ACCEPT_FIELDS, "seen_drops": 0}),
    (
        prompt_commands.StartItem("x", 1, Ballot(7, "core-1/2"), False),
        {"do": "lot.start", "lot": "x", "n": 1, "by": [7, "core-1/2"], "was_unsent": False},
    ),
    (
        prompt_commands.WriteResult("x", 1, {"text": "A"}),
        {"do": "lot.result", "lot": "x", "n": 1, "result": {"text": "A"}},
    ),
    (
        prompt_commands.CancelLot("x", "ann"),
        {"do": "lot.cancel", "lot": "x", "sender": "ann"},
    ),
    (prompt_commands.DropLot("x"), {"do": "lot.drop", "lot": "x"}),
    (
        prompt_commands.ReleaseLot("x", "ann"),
        {"do": "lot.release", "lot": "x", "sender": "ann"},
    ),
    (
        prompt_commands.QueryStatus("x", "ann"),
        {"ask": "lot.status", "lot": "x", "sender": "ann"},
    ),
    (
        prompt_commands.QueryResults("x", "ann", 3, 10),
        {"ask": "lot.results", "lot": "x", "sender": "ann", "from": 3, "count": 10},
    ),
]
LEADER_MESSAGE_SAMPLES = [
    (
        messages.LongPollRead({"ask": "raw.results", "lot": "x@h", "from": 3, "limit": 9}, 0.8),
        {"query": {"ask": "raw.results", "lot": "x@h", "from": 3, "limit": 9}, "seconds": 0.8},
    ),
    (messages.TokensLeft(["x@h"]), {"lots": ["x@h"]}),
    (
        messages.RunReport("x@h", 2, "0f", "broken", 4, b"text"),
        {"lot": "x@h", "n": 2, "run": "0f", "outcome": "broken", "last": 4, "text": b"text"},
    ),
]


@pytest.mark.parametrize(("message", "wire"), SAMPLES + PROMPT_SAMPLES)
def test_a_message_keeps_its_released_encoding_and_is_decoded_from_it(message, wire):
    assert message.to_wire() == wire
    assert cbor2.dumps(message.to_wire()) == cbor2.dumps(wire)
    assert type(message).from_wire(cbor2.loads(cbor2.dumps(wire))) == message


@pytest.mark.parametrize(("message", "wire"), LEADER_MESSAGE_SAMPLES)
def test_a_message_to_a_leader_omits_the_part_which_the_call_adds(message, wire):
    assert cbor2.dumps(message.to_wire()) == cbor2.dumps(wire)
    assert type(message).from_wire({"part": "part-1", **wire}) == message._replace(part="part-1")


def test_a_backlog_report_of_the_previous_version_is_decoded_without_due_times():
    report = messages.BacklogReport.from_wire({"parts": {"part-1": {"words": 90}}})
    assert report == messages.BacklogReport({"part-1": {"words": 90}}, {})


@pytest.mark.parametrize(
    ("wire", "change"),
    [
        ({"do": "raw.result", "lot": "x", "n": 1, "run": "r"}, ("raw.result", "x", 1, "r")),
        ({"do": "raw.end", "lot": "x"}, ("raw.end", "x", None, None)),
        ({"do": "raw.release", "lot": "", "rows": []}, None),
        ({"do": "group.change", "group": []}, None),
    ],
)
def test_only_commands_that_change_items_are_decoded_as_lot_changes(wire, change):
    assert commands.LotChange.from_wire(wire) == change


def test_the_query_for_the_acceptance_fence_has_no_fields():
    assert prompt_commands.QueryFence().to_wire() == {"ask": "lot.fence"}
