"""The messages about parts in the very form in which nodes of all versions exchange them."""

from types import SimpleNamespace

import cbor2
import pytest

from quillring.ownership import messages
from quillring.ownership.messages import (
    LeaderRecord,
    LeadershipOffer,
    LeadershipStatus,
    PrepareTransferRequest,
    ReadRequest,
    ReportedStatus,
    StateChunkReply,
    StateChunkRequest,
    SubmitRequest,
    WholeRequest,
    statuses_from_wire,
)
from quillring.ownership.status import PartStatus
from quillring.quorum.snapshot_chunks import ChunkOffset

COMMAND = {"do": "domain.mark", "domain": "north", "emptied": True}
ELECTION = {
    "core": "core-1",
    "ballot": [3, "core-1#9"],
    "phase": "owned",
    "waits_for": [],
    "bytes_fetched": 0,
    "seconds": 0.25,
}
STATUS = {**ELECTION, "index": 12, "mends": ["store-2"]}
SAMPLES = [
    (
        SubmitRequest("config", COMMAND),
        {"part": "config", "command": COMMAND},
        "a2647061727466636f6e66696767636f6d6d616e64a362646f6b646f6d61696e2e6d61726b66646f6d61696e"
        "656e6f72746867656d7074696564f5",
    ),
    (
        ReadRequest("part-1", {"ask": "lot.fence"}),
        {"part": "part-1", "query": {"ask": "lot.fence"}},
        "a2647061727466706172742d31657175657279a16361736b696c6f742e66656e6365",
    ),
    (WholeRequest("part-1"), {"part": "part-1"}, "a1647061727466706172742d31"),
    (LeadershipOffer("part-1"), "part-1", "66706172742d31"),
    (
        PrepareTransferRequest("part-1", 40),
        {"part": "part-1", "index": 40},
        "a2647061727466706172742d3165696e6465781828",
    ),
    (
        StateChunkRequest("part-1", 40, ChunkOffset(2, 100)),
        {"part": "part-1", "index": 40, "place": [2, 100]},
        "a3647061727466706172742d3165696e646578182865706c61636582021864",
    ),
    (StateChunkReply(b"abc", ChunkOffset(2, 103)), [b"abc", [2, 103]], "824361626382021867"),
    (StateChunkReply(b"", None), [b"", None], "8240f6"),
    (
        LeaderRecord("core-1", [3, "core-1#9"]),
        {"owner": "core-1", "ballot": [3, "core-1#9"]},
        "a2656f776e657266636f72652d316662616c6c6f74820368636f72652d312339",
    ),
]


@pytest.mark.parametrize(
    "message, wire_form, packed", SAMPLES, ids=lambda value: type(value).__name__
)
def test_a_message_has_the_form_that_all_versions_know(message, wire_form, packed):
    assert message.to_wire() == wire_form
    assert cbor2.dumps(message.to_wire()).hex() == packed
    assert type(message).from_wire(cbor2.loads(bytes.fromhex(packed))) == message


def test_the_services_keep_their_names():
    names = {name: value for name, value in vars(messages).items() if name.isupper()}
    assert {name: value for name, value in names.items() if isinstance(value, str)} == {
        "SUBMIT": "part.submit",
        "READ": "part.read",
        "WHOLE": "part.whole",
        "STATUS": "part.takeovers",
        "PREPARE_TRANSFER": "part.ready",
        "STATE_CHUNK": "part.piece",
        "LEADERSHIP_OFFER": "part.free",
    }


def test_a_field_of_a_newer_version_is_passed_over():
    assert SubmitRequest.from_wire({"part": "p", "command": {}, "new": 1}) == ("p", {})
    assert PrepareTransferRequest.from_wire({"part": "p", "index": 1, "new": 1}) == ("p", 1)


@pytest.mark.parametrize("target, repairs", [("store-2", ["store-2"]), (None, [])])
def test_the_status_of_a_leader_is_what_operators_know(target, repairs):
    leader = SimpleNamespace(
        index=12,
        anti_entropy=SimpleNamespace(target=target),
        election_progress=SimpleNamespace(to_json=lambda: ELECTION),
    )
    status = LeadershipStatus.of_leader(leader).to_wire()
    assert status == {**STATUS, "mends": repairs}
    assert list(status) == list(STATUS)


def test_a_status_of_another_version_is_shown_as_it_came():
    row = {"ballot": [3, "core-1#9"], "unheard": 1}
    assert statuses_from_wire({"part-1": row}) == {"part-1": ReportedStatus([3, "core-1#9"], row)}


def test_a_part_is_shown_with_the_fields_that_operators_know():
    leader = LeaderRecord("core-1", [3, "core-1#9"])
    shown = PartStatus("part-1", ["store-1"], leader, ReportedStatus([3, "c"], STATUS)).to_json()
    assert shown == {
        "part": "part-1",
        "group": ["store-1"],
        "owner": "core-1",
        "ballot": [3, "core-1#9"],
        "takeover": STATUS,
    }
    assert list(shown) == ["part", "group", "owner", "ballot", "takeover"]
    assert PartStatus("part-1", [], None, None).to_json() == {
        "part": "part-1",
        "group": [],
        "owner": None,
        "ballot": None,
        "takeover": None,
    }
