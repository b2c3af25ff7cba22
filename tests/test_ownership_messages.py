"""The wire form of the messages about parts, which nodes of all versions share."""

from types import SimpleNamespace

import cbor2
import pytest

from quillring.ownership import messages
from quillring.ownership.messages import (
    GroupStatusRequest,
    LeaderRecord,
    LeadershipOffer,
    LeadershipStatus,
    PrepareTransferRequest,
    ReadRequest,
    ReportedStatus,
    StateChunkReply,
    StateChunkRequest,
    SubmitRequest,
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
    (GroupStatusRequest("part-1"), {"part": "part-1"}, "a1647061727466706172742d31"),
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
    "message, wire_form, encoded_hex", SAMPLES, ids=lambda value: type(value).__name__
)
def test_messages_keep_their_wire_form(message, wire_form, encoded_hex):
    assert message.to_wire() == wire_form
    assert cbor2.dumps(message.to_wire()).hex() == encoded_hex
    assert type(message).from_wire(cbor2.loads(bytes.fromhex(encoded_hex))) == message


def test_service_names_are_unchanged():
    names = {name: value for name, value in vars(messages).items() if name.isupper()}
    assert {name: value for name, value in names.items() if isinstance(value, str)} == {
        "SUBMIT": "part.submit",
        "READ": "part.read",
        "GROUP_STATUS": "part.whole",
        "LEADERSHIP_STATUS": "part.takeovers",
        "PREPARE_TRANSFER": "part.ready",
        "STATE_CHUNK": "part.piece",
        "LEADERSHIP_OFFER": "part.free",
    }


def test_unknown_fields_of_newer_versions_are_ignored():
    assert SubmitRequest.from_wire({"part": "p", "command": {}, "new": 1}) == ("p", {})
    assert PrepareTransferRequest.from_wire({"part": "p", "index": 1, "new": 1}) == ("p", 1)


@pytest.mark.parametrize("target, repairs", [("store-2", ["store-2"]), (None, [])])
def test_leadership_status_has_the_fields_shown_to_operators(target, repairs):
    leader = SimpleNamespace(
        index=12,
        anti_entropy=SimpleNamespace(target=target),
        election_progress=SimpleNamespace(to_json=lambda: ELECTION),
    )
    status = LeadershipStatus.of_leader(leader).to_wire()
    assert status == {**STATUS, "mends": repairs}
    assert list(status) == list(STATUS)


def test_a_status_with_unknown_fields_is_passed_on_unchanged():
    row = {"ballot": [3, "core-1#9"], "unheard": 1}
    assert statuses_from_wire({"part-1": row}) == {"part-1": ReportedStatus([3, "core-1#9"], row)}


def test_part_status_has_the_fields_shown_to_operators():
    leader = LeaderRecord("core-1", [3, "core-1#9"])
    status_fields = PartStatus(
        "part-1", ["store-1"], leader, ReportedStatus([3, "c"], STATUS)
    ).to_json()
    assert status_fields == {
        "part": "part-1",
        "group": ["store-1"],
        "owner": "core-1",
        "ballot": [3, "core-1#9"],
        "takeover": STATUS,
    }
    assert list(status_fields) == ["part", "group", "owner", "ballot", "takeover"]
    assert PartStatus("part-1", [], None, None).to_json() == {
        "part": "part-1",
        "group": [],
        "owner": None,
        "ballot": None,
        "takeover": None,
    }
