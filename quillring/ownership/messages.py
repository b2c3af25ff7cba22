"""The messages about parts between cores and their clients, and the wire form of each."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.records import NamedTuple
from quillring.quorum.snapshot_chunks import ChunkOffset

if TYPE_CHECKING:
    from quillring.kernel.types import WireMap
    from quillring.quorum.leader.part_leader import PartLeader

SUBMIT = "part.submit"
READ = "part.read"
GROUP_STATUS = "part.whole"
LEADERSHIP_STATUS = "part.takeovers"
PREPARE_TRANSFER = "part.ready"
STATE_CHUNK = "part.piece"
LEADERSHIP_OFFER = "part.free"


class SubmitRequest(NamedTuple):
    """`part.submit`: commit a command in a part; the reply is the command's answer."""

    part: str
    command: WireMap

    @classmethod
    def from_wire(cls, body: WireMap) -> SubmitRequest:
        """Read the request from its wire form."""
        return cls(body["part"], body["command"])

    def to_wire(self) -> WireMap:
        """Return the request in its wire form."""
        return {"part": self.part, "command": self.command}


class ReadRequest(NamedTuple):
    """`part.read`: read a part's state; the reply is the query's answer."""

    part: str
    query: WireMap

    @classmethod
    def from_wire(cls, body: WireMap) -> ReadRequest:
        """Read the request from its wire form."""
        return cls(body["part"], body["query"])

    def to_wire(self) -> WireMap:
        """Return the request in its wire form."""
        return {"part": self.part, "query": self.query}


class GroupStatusRequest(NamedTuple):
    """`part.whole`: return the status of a part's group; the reply is a GroupStatus."""

    part: str

    @classmethod
    def from_wire(cls, body: WireMap) -> GroupStatusRequest:
        """Read the request from its wire form."""
        return cls(body["part"])

    def to_wire(self) -> WireMap:
        """Return the request in its wire form."""
        return {"part": self.part}


class LeadershipOffer(NamedTuple):
    """`part.free`, sent without a reply: the previous leader of a part has stepped down."""

    part: str

    @classmethod
    def from_wire(cls, body: str) -> LeadershipOffer:
        """Read the message from its wire form."""
        return cls(body)

    def to_wire(self) -> str:
        """Return the message in its wire form."""
        return self.part


class PrepareTransferRequest(NamedTuple):
    """`part.ready`: fetch a part's state at an index, as the next leader; the reply is True."""

    part: str
    log_index: int

    @classmethod
    def from_wire(cls, body: WireMap) -> PrepareTransferRequest:
        """Read the request from its wire form."""
        return cls(body["part"], body["index"])

    def to_wire(self) -> WireMap:
        """Return the request in its wire form."""
        return {"part": self.part, "index": self.log_index}


class StateChunkRequest(NamedTuple):
    """`part.piece`: return the chunk at an offset of a part's state at an index."""

    part: str
    log_index: int
    offset: ChunkOffset

    @classmethod
    def from_wire(cls, body: WireMap) -> StateChunkRequest:
        """Read the request from its wire form."""
        return cls(body["part"], body["index"], ChunkOffset(*body["place"]))

    def to_wire(self) -> WireMap:
        """Return the request in its wire form."""
        return {"part": self.part, "index": self.log_index, "place": list(self.offset)}


class StateChunkReply(NamedTuple):
    """The reply to `part.piece`: bytes, and the offset after them, or None at the end."""

    data: bytes
    next_offset: ChunkOffset | None

    @classmethod
    def from_wire(cls, body: list[Any]) -> StateChunkReply:
        """Read the reply from its wire form."""
        data, next_offset = body
        return cls(data, None if next_offset is None else ChunkOffset(*next_offset))

    def to_wire(self) -> list[Any]:
        """Return the reply in its wire form."""
        return [self.data, None if self.next_offset is None else list(self.next_offset)]


class LeaderRecord(NamedTuple):
    """The gossip record `owner/<part>`: the leader of a part and its ballot."""

    leader: str
    ballot: list[Any]

    @classmethod
    def from_wire(cls, fields: WireMap) -> LeaderRecord:
        """Read the record from its wire form."""
        return cls(fields["owner"], fields["ballot"])

    def to_wire(self) -> WireMap:
        """Return the record in its wire form."""
        return {"owner": self.leader, "ballot": self.ballot}


class LeadershipStatus(NamedTuple):
    """A core's election and replication progress in a part, in the reply to `part.takeovers`.

    `election` is the progress of the core's last election as shown to operators, `applied_index`
    the index of the last entry that it applied, and `repairs` the store that its anti-entropy
    brings up to date, if any.
    """

    election: WireMap
    applied_index: int
    repairs: list[str]

    @classmethod
    def of_leader(cls, leader: PartLeader) -> LeadershipStatus:
        """Return the status of a core's newest term in a part, whether it leads now or not."""
        target = leader.anti_entropy.target
        return cls(
            leader.election_progress.to_json(), leader.index, [] if target is None else [target]
        )

    def to_wire(self) -> WireMap:
        """Return the status in its wire form."""
        return {**self.election, "index": self.applied_index, "mends": self.repairs}


class ReportedStatus(NamedTuple):
    """A core's status of a part as received, with all fields, for display to operators."""

    ballot: list[Any]
    fields: WireMap

    @classmethod
    def from_wire(cls, fields: WireMap) -> ReportedStatus:
        """Read the status from its wire form."""
        return cls(fields["ballot"], fields)


def statuses_from_wire(body: dict[str, WireMap]) -> dict[str, ReportedStatus]:
    """Read the reply to `part.takeovers`: {part: status}."""
    return {part: ReportedStatus.from_wire(fields) for part, fields in body.items()}
