"""The encoding of the quorum's messages and of the records of a store's log, byte for byte."""

import cbor2
import pytest

from quillring.quorum import messages
from quillring.quorum.acceptor.log_records import (
    AcceptRecord,
    CommitRecord,
    FoundRecord,
    HintRecord,
    HintsDeliveredRecord,
    InstallChunkRecord,
    InstallRecord,
    PromiseRecord,
    read_log_record,
)
from quillring.quorum.acceptor.snapshot_rows import HintRow, IncomingRow, PartRow, StoreRow
from quillring.quorum.acceptor.state import AcceptedEntry, AcceptorState
from quillring.quorum.disk_health import DiskReport
from quillring.quorum.founding.messages import (
    Vote,
    VoteAcceptRequest,
    VotePrepareRequest,
    VotePromise,
)
from quillring.quorum.messages import (
    AcceptedEntryReply,
    AcceptedEntryRequest,
    AcceptedProposal,
    AcceptRequest,
    CatchUpRequest,
    CommitRequest,
    ConfirmRequest,
    EntriesRequest,
    FollowerReadReply,
    FollowerReadRequest,
    FoundRequest,
    HintedEntry,
    HintRequest,
    ImageReply,
    ImageRequest,
    InstallChunkRequest,
    InstallRequest,
    PrepareRequest,
    Promise,
    QueryAnswer,
    StateChunkRequest,
    UncommittedAnswer,
)
from quillring.quorum.snapshot_chunks import Chunk, ChunkOffset
from quillring.quorum.values import Ballot
from quillring.store.log_file import LogHead

BALLOT = Ballot(3, "core-1#7")
GROUP = [["store-1", "store-1.x", "north"]]
STATE = {"group": GROUP, "lots": {}, "layout": None, "version": 0}
BATCH = [{"do": "lot.accept", "lot": "l"}]
FOUNDING = {"fleet": "f", "groups": {"part-0": GROUP}, "secret": b"s", "size": 3}
HEADER = {"part": "part-0", "ballot": [3, "core-1#7"], "identity": "store-1.x"}
HEADER_FIELDS = ("part-0", BALLOT, "store-1.x")

MESSAGES = [
    (PrepareRequest(*HEADER_FIELDS), HEADER),
    (PrepareRequest(*HEADER_FIELDS, brief=True), {**HEADER, "brief": True}),
    (PrepareRequest(*HEADER_FIELDS, messages.BRIEF_WITHOUT_BATCHES), {**HEADER, "brief": "index"}),
    (
        AcceptRequest(*HEADER_FIELDS, 5, BATCH, 4),
        {**HEADER, "index": 5, "batch": BATCH, "committed": 4},
    ),
    (CommitRequest(*HEADER_FIELDS, 4), {**HEADER, "committed": 4}),
    (
        CatchUpRequest(*HEADER_FIELDS, [[4, BATCH], [5, []]], 5),
        {**HEADER, "entries": [[4, BATCH], [5, []]], "committed": 5},
    ),
    (InstallRequest(*HEADER_FIELDS, 5, STATE), {**HEADER, "index": 5, "state": STATE}),
    (
        InstallChunkRequest(*HEADER_FIELDS, 5, ChunkOffset(0, 0), b"data", ChunkOffset(2, 9)),
        {**HEADER, "index": 5, "place": [0, 0], "data": b"data", "following": [2, 9]},
    ),
    (
        InstallChunkRequest(*HEADER_FIELDS, 5, ChunkOffset(2, 9), b"end", None),
        {**HEADER, "index": 5, "place": [2, 9], "data": b"end", "following": None},
    ),
    (ConfirmRequest(*HEADER_FIELDS), HEADER),
    (
        Promise(BALLOT, 4, STATE, (AcceptedProposal(5, Ballot(2, "core-2#1"), BATCH),), 3),
        [[3, "core-1#7"], 4, STATE, [[5, [2, "core-2#1"], BATCH]], 3],
    ),
    (
        Promise(BALLOT, 4, True, (AcceptedProposal(5, BALLOT, None),), 3),
        [[3, "core-1#7"], 4, True, [[5, [3, "core-1#7"], None]], 3],
    ),
    (
        StateChunkRequest("part-0", 5, ChunkOffset(2, 9)),
        {"part": "part-0", "index": 5, "place": [2, 9]},
    ),
    (Chunk(b"data", ChunkOffset(2, 9)), [b"data", [2, 9]]),
    (Chunk(b"end", None), [b"end", None]),
    (EntriesRequest("part-0", 4), {"part": "part-0", "after": 4}),
    (AcceptedEntryRequest("part-0", 5), {"part": "part-0", "index": 5}),
    (AcceptedEntryReply(BALLOT, BATCH), [[3, "core-1#7"], BATCH]),
    (ImageRequest("config"), {"part": "config"}),
    (ImageReply(5, STATE), [5, STATE]),
    (
        FollowerReadRequest("part-0", {"ask": "layout"}, True, "store-1.x"),
        {"part": "part-0", "query": {"ask": "layout"}, "beyond": True, "identity": "store-1.x"},
    ),
    (
        FollowerReadRequest("part-0", {"ask": "layout"}, False, "store-1.x"),
        {"part": "part-0", "query": {"ask": "layout"}, "identity": "store-1.x"},
    ),
    (
        FollowerReadReply(4, GROUP, [[5, "l"]], QueryAnswer(None, {"version": 2})),
        [4, GROUP, [[5, "l"]], None, {"version": 2}],
    ),
    (
        FollowerReadReply(
            4,
            GROUP,
            [[5, None]],
            QueryAnswer("not_found", {"field": "lot"}),
            (UncommittedAnswer(5, BALLOT, QueryAnswer(None, 9)),),
        ),
        [4, GROUP, [[5, None]], "not_found", {"field": "lot"}, [[5, [3, "core-1#7"], None, 9]]],
    ),
    (
        FollowerReadReply(4, GROUP, [], QueryAnswer(None, 1), ()),
        [4, GROUP, [], None, 1, []],
    ),
    (FoundRequest("store-1.x", FOUNDING), {"identity": "store-1.x", "founding": FOUNDING}),
    (HintRequest("store-2", HEADER), {"for": "store-2", "record": HEADER}),
    (Vote(), [0, [0, ""], [0, ""], None]),
    (
        Vote(4, BALLOT, Ballot(2, "core-2#1"), FOUNDING),
        [4, [3, "core-1#7"], [2, "core-2#1"], FOUNDING],
    ),
    (VotePrepareRequest(BALLOT), {"ballot": [3, "core-1#7"]}),
    (VotePromise(BALLOT, FOUNDING), [[3, "core-1#7"], FOUNDING]),
    (
        VoteAcceptRequest(BALLOT, FOUNDING),
        {"ballot": [3, "core-1#7"], "founding": FOUNDING},
    ),
    (DiskReport(7, True), [7, True]),
]

LOG_RECORDS = [
    (FoundRecord(FOUNDING), ["found", FOUNDING]),
    (HintRecord("store-2", HEADER), ["hint", "store-2", HEADER]),
    (HintsDeliveredRecord("store-2", 2), ["handed", "store-2", 2]),
    (PromiseRecord("part-0", BALLOT), ["promise", "part-0", [3, "core-1#7"]]),
    (
        AcceptRecord("part-0", BALLOT, 5, BATCH),
        ["accept", "part-0", [3, "core-1#7"], 5, BATCH],
    ),
    (CommitRecord("part-0", BALLOT, 5), ["commit", "part-0", [3, "core-1#7"], 5]),
    (
        InstallRecord("part-0", BALLOT, 5, STATE),
        ["install", "part-0", [3, "core-1#7"], 5, STATE],
    ),
    (
        InstallChunkRecord("part-0", BALLOT, 5, ChunkOffset(0, 0), b"data", ChunkOffset(2, 9)),
        ["piece", "part-0", [3, "core-1#7"], 5, [0, 0], b"data", [2, 9]],
    ),
    (
        InstallChunkRecord("part-0", BALLOT, 5, ChunkOffset(2, 9), b"end", None),
        ["piece", "part-0", [3, "core-1#7"], 5, [2, 9], b"end", None],
    ),
]

ACCEPTOR = AcceptorState(BALLOT, 4, STATE, {5: AcceptedEntry(Ballot(2, "core-2#1"), BATCH)}, 3)

SNAPSHOT_ROWS = [
    (StoreRow("store-1.x", FOUNDING), ["store", "store-1.x", FOUNDING]),
    (StoreRow("store-1.x", None), ["store", "store-1.x", None]),
    (HintRow("store-2", HEADER), ["hint", "store-2", HEADER]),
    (
        PartRow("part-0", ACCEPTOR),
        ["part", "part-0", [[3, "core-1#7"], 4, None, [[5, [2, "core-2#1"], BATCH]], 3]],
    ),
    (
        IncomingRow("part-0", BALLOT, 5, b"rest", ChunkOffset(2, 4)),
        ["arriving", "part-0", [[3, "core-1#7"], 5, [{}, b"rest", [2, 4]]]],
    ),
]


@pytest.mark.parametrize("message, wire", MESSAGES, ids=lambda value: type(value).__name__)
def test_messages_keep_their_wire_encoding(message, wire):
    data = cbor2.dumps(wire)
    assert cbor2.dumps(message.to_wire()) == data
    assert type(message).from_wire(cbor2.loads(data)) == message


@pytest.mark.parametrize("record, disk", LOG_RECORDS, ids=lambda value: type(value).__name__)
def test_log_records_keep_their_encoding(record, disk):
    data = cbor2.dumps(disk)
    assert cbor2.dumps(record.to_disk()) == data
    found = read_log_record(cbor2.loads(data))
    assert found == record and type(found) is type(record)


@pytest.mark.parametrize("row, disk", SNAPSHOT_ROWS, ids=lambda value: type(value).__name__)
def test_snapshot_rows_keep_their_encoding(row, disk):
    assert cbor2.dumps(row.to_disk()) == cbor2.dumps(disk)


def test_a_log_record_of_unknown_kind_is_read_as_a_promise_of_its_ballot():
    fields = ["later", "part-0", [3, "core-1#7"], "more"]
    assert read_log_record(fields) == PromiseRecord("part-0", BALLOT)


@pytest.mark.parametrize(
    "head, disk",
    [
        (
            LogHead(4),
            {"generation": 4, "follows": None, "former_size": 0, "marked": True},
        ),
        (
            LogHead(5, 4, 900),
            {"generation": 5, "follows": 4, "former_size": 900, "marked": True},
        ),
    ],
)
def test_log_heads_keep_their_encoding(head, disk):
    assert cbor2.dumps(head.to_disk()) == cbor2.dumps(disk)
    assert LogHead.from_disk(disk) == head


def test_log_heads_of_earlier_versions_are_read_as_unmarked():
    earlier = {"generation": 5, "follows": 4, "former_size": 900}
    assert LogHead.from_disk(earlier) == LogHead(5, 4, 900, has_batch_marks=False)
    assert LogHead.from_disk(5) == LogHead(5, has_batch_marks=False)
    assert LogHead.from_disk(["accept"]) is None


def test_hinted_entry_reads_part_identity_and_index_of_an_accept_request():
    request = {**HEADER, "index": 5, "batch": BATCH, "committed": 4}
    assert HintedEntry.from_wire(request) == HintedEntry("part-0", "store-1.x", 5)
