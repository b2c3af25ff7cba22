"""The messages between a part's leader, its acceptors and its readers.

Only this module knows their wire form, in `from_wire` and `to_wire`. A leader's request to an
acceptor carries the part, the ballot and the identity of the addressed store. Acceptors reject a
ballot below the one they promised (Fenced) and an identity that is not theirs (WrongIdentity).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from quillring.kernel.records import NamedTuple
from quillring.quorum.snapshot_chunks import ChunkOffset, PartState
from quillring.quorum.values import Ballot

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quillring.kernel.types import WireMap

Batch = list[dict[str, Any]]
"""The commands of one log entry."""

WireEntry = list[Any]
"""A log entry on the wire: [index, batch]."""

BRIEF_WITHOUT_BATCHES = "index"
"""The value of `brief` that requests a promise with neither the state nor the batches."""


class LeaderRequest(Protocol):
    """The fields common to all requests of a leader to an acceptor."""

    @property
    def part(self) -> str:
        """The part that the request is about."""

    @property
    def ballot(self) -> Ballot:
        """The leader's ballot."""

    @property
    def identity(self) -> str:
        """The identity of the addressed store."""


def _header_to_wire(request: LeaderRequest) -> WireMap:
    """Return the wire form of the fields that all requests of a leader have."""
    return {
        "part": request.part,
        "ballot": request.ballot.to_wire(),
        "identity": request.identity,
    }


class PrepareRequest(NamedTuple):
    """Phase 1a of Paxos, `quorum.prepare`: promise this ballot.

    `brief` selects the contents of the promise: None requests everything; True omits the state, and
    BRIEF_WITHOUT_BATCHES omits the batches of the accepted entries as well.
    """

    part: str
    ballot: Ballot
    identity: str
    brief: bool | str | None = None

    @classmethod
    def from_wire(cls, body: WireMap) -> PrepareRequest:
        """Read the request; leaders of earlier versions do not send `brief`."""
        return cls(
            body["part"], Ballot.from_wire(body["ballot"]), body["identity"], body.get("brief")
        )

    def to_wire(self) -> WireMap:
        """Return the request in its wire form."""
        body = _header_to_wire(self)
        if self.brief is not None:
            body["brief"] = self.brief
        return body


class AcceptRequest(NamedTuple):
    """Phase 2a of Paxos, `quorum.accept`: accept an entry; entries up to `committed` are chosen."""

    part: str
    ballot: Ballot
    identity: str
    log_index: int
    batch: Batch
    committed: int

    @classmethod
    def from_wire(cls, body: WireMap) -> AcceptRequest:
        """Read the request."""
        return cls(
            body["part"],
            Ballot.from_wire(body["ballot"]),
            body["identity"],
            body["index"],
            body["batch"],
            body["committed"],
        )

    def to_wire(self) -> WireMap:
        """Return the request in its wire form."""
        body = _header_to_wire(self)
        body["index"] = self.log_index
        body["batch"] = self.batch
        body["committed"] = self.committed
        return body


class CommitRequest(NamedTuple):
    """`quorum.commit`: all entries up to `committed` are chosen."""

    part: str
    ballot: Ballot
    identity: str
    committed: int

    @classmethod
    def from_wire(cls, body: WireMap) -> CommitRequest:
        """Read the request."""
        return cls(
            body["part"], Ballot.from_wire(body["ballot"]), body["identity"], body["committed"]
        )

    def to_wire(self) -> WireMap:
        """Return the request in its wire form."""
        body = _header_to_wire(self)
        body["committed"] = self.committed
        return body


class CatchUpRequest(NamedTuple):
    """`quorum.catch_up`: chosen entries that the store missed, as [[index, batch], ...]."""

    part: str
    ballot: Ballot
    identity: str
    entries: Sequence[WireEntry]
    committed: int

    @classmethod
    def from_wire(cls, body: WireMap) -> CatchUpRequest:
        """Read the request."""
        return cls(
            body["part"],
            Ballot.from_wire(body["ballot"]),
            body["identity"],
            body["entries"],
            body["committed"],
        )

    def to_wire(self) -> WireMap:
        """Return the request in its wire form."""
        body = _header_to_wire(self)
        body["entries"] = self.entries
        body["committed"] = self.committed
        return body


class InstallRequest(NamedTuple):
    """`quorum.install`, from earlier versions: the complete state after the entry `log_index`."""

    part: str
    ballot: Ballot
    identity: str
    log_index: int
    state: PartState

    @classmethod
    def from_wire(cls, body: WireMap) -> InstallRequest:
        """Read the request."""
        return cls(
            body["part"],
            Ballot.from_wire(body["ballot"]),
            body["identity"],
            body["index"],
            body["state"],
        )

    def to_wire(self) -> WireMap:
        """Return the request in its wire form."""
        body = _header_to_wire(self)
        body["index"] = self.log_index
        body["state"] = self.state
        return body


class InstallChunkRequest(NamedTuple):
    """`quorum.install_piece`: a chunk of the state after the entry `log_index`.

    The chunk begins at `offset`, the next one at `next_offset`, which is None for the last chunk.
    """

    part: str
    ballot: Ballot
    identity: str
    log_index: int
    offset: ChunkOffset
    data: bytes
    next_offset: ChunkOffset | None

    @classmethod
    def from_wire(cls, body: WireMap) -> InstallChunkRequest:
        """Read the request."""
        next_offset = body["following"]
        return cls(
            body["part"],
            Ballot.from_wire(body["ballot"]),
            body["identity"],
            body["index"],
            ChunkOffset.from_wire(body["place"]),
            body["data"],
            None if next_offset is None else ChunkOffset.from_wire(next_offset),
        )

    def to_wire(self) -> WireMap:
        """Return the request in its wire form."""
        body = _header_to_wire(self)
        body["index"] = self.log_index
        body["place"] = self.offset.to_wire()
        body["data"] = self.data
        body["following"] = None if self.next_offset is None else self.next_offset.to_wire()
        return body


class ConfirmRequest(NamedTuple):
    """`quorum.confirm`: confirm that no higher ballot has been promised."""

    part: str
    ballot: Ballot
    identity: str

    @classmethod
    def from_wire(cls, body: WireMap) -> ConfirmRequest:
        """Read the request."""
        return cls(body["part"], Ballot.from_wire(body["ballot"]), body["identity"])

    def to_wire(self) -> WireMap:
        """Return the request in its wire form."""
        return _header_to_wire(self)


class AcceptedProposal(NamedTuple):
    """An entry that a store accepted but has not applied; brief promises may omit the batch."""

    log_index: int
    ballot: Ballot
    batch: Batch | None

    @classmethod
    def from_wire(cls, fields: Sequence[Any]) -> AcceptedProposal:
        """Read the entry from its form in promises and checkpoints."""
        index, ballot, batch = fields
        return cls(index, Ballot.from_wire(ballot), batch)

    def to_wire(self) -> list[Any]:
        """Return the entry in its form in promises and checkpoints."""
        return [self.log_index, self.ballot.to_wire(), self.batch]


class Promise(NamedTuple):
    """Phase 1b of Paxos, the answer to `quorum.prepare`: the acceptor's copy of the part.

    `state` is the complete state after the entry `applied`, or None if the store has none; in a
    brief answer, True means that a state exists. `accepted` are the entries after `applied`.
    """

    promised: Ballot
    applied: int
    state: Any
    accepted: tuple[AcceptedProposal, ...]
    committed: int

    @classmethod
    def from_wire(cls, fields: Sequence[Any]) -> Promise:
        """Read the answer."""
        promised, applied, state, proposals, committed = fields
        accepted = tuple(AcceptedProposal.from_wire(proposal) for proposal in proposals)
        return cls(Ballot.from_wire(promised), applied, state, accepted, committed)

    def to_wire(self) -> list[Any]:
        """Return the answer in its wire form."""
        proposals = [proposal.to_wire() for proposal in self.accepted]
        return [self.promised.to_wire(), self.applied, self.state, proposals, self.committed]

    def brief(self, has_batches: bool) -> Promise:
        """Return the promise without the state, and without the batches unless `has_batches`."""
        state = None if self.state is None else True
        if has_batches:
            return self._replace(state=state)
        accepted = tuple(proposal._replace(batch=None) for proposal in self.accepted)
        return self._replace(state=state, accepted=accepted)


class StateChunkRequest(NamedTuple):
    """`quorum.piece`: return the chunk at `offset` of the state after the entry `log_index`."""

    part: str
    log_index: int
    offset: ChunkOffset

    @classmethod
    def from_wire(cls, body: WireMap) -> StateChunkRequest:
        """Read the request."""
        return cls(body["part"], body["index"], ChunkOffset.from_wire(body["place"]))

    def to_wire(self) -> WireMap:
        """Return the request in its wire form."""
        return {"part": self.part, "index": self.log_index, "place": self.offset.to_wire()}


class EntriesRequest(NamedTuple):
    """`quorum.entries`: return the applied entries after the index `after`."""

    part: str
    after: int

    @classmethod
    def from_wire(cls, body: WireMap) -> EntriesRequest:
        """Read the request."""
        return cls(body["part"], body["after"])

    def to_wire(self) -> WireMap:
        """Return the request in its wire form."""
        return {"part": self.part, "after": self.after}


class AcceptedEntryRequest(NamedTuple):
    """`quorum.accepted`: return the entry accepted at index `log_index`."""

    part: str
    log_index: int

    @classmethod
    def from_wire(cls, body: WireMap) -> AcceptedEntryRequest:
        """Read the request."""
        return cls(body["part"], body["index"])

    def to_wire(self) -> WireMap:
        """Return the request in its wire form."""
        return {"part": self.part, "index": self.log_index}


class AcceptedEntryReply(NamedTuple):
    """The answer to `quorum.accepted`."""

    ballot: Ballot
    batch: Batch

    @classmethod
    def from_wire(cls, fields: Sequence[Any]) -> AcceptedEntryReply:
        """Read the answer."""
        ballot, batch = fields
        return cls(Ballot.from_wire(ballot), batch)

    def to_wire(self) -> list[Any]:
        """Return the answer in its wire form."""
        return [self.ballot.to_wire(), self.batch]


class ImageRequest(NamedTuple):
    """`quorum.image`: return the complete applied state of a part, in one message."""

    part: str

    @classmethod
    def from_wire(cls, body: WireMap) -> ImageRequest:
        """Read the request."""
        return cls(body["part"])

    def to_wire(self) -> WireMap:
        """Return the request in its wire form."""
        return {"part": self.part}


class ImageReply(NamedTuple):
    """The answer to `quorum.image`: a state and the index of the last entry applied to it."""

    applied: int
    state: PartState

    @classmethod
    def from_wire(cls, fields: Sequence[Any]) -> ImageReply:
        """Read the answer."""
        applied, state = fields
        return cls(applied, state)

    def to_wire(self) -> list[Any]:
        """Return the answer in its wire form."""
        return [self.applied, self.state]


class QueryAnswer(NamedTuple):
    """The result of a query: the answer or, if `error_kind` is set, the detail of that error."""

    error_kind: str | None
    answer: Any


class UncommittedAnswer(NamedTuple):
    """The result that a query has if the entries up to `log_index` are committed.

    `ballot` is the ballot under which the last of these entries was accepted.
    """

    log_index: int
    ballot: Ballot
    answer: QueryAnswer

    @classmethod
    def from_wire(cls, fields: Sequence[Any]) -> UncommittedAnswer:
        """Read the answer."""
        index, ballot, error_kind, answer = fields
        return cls(index, Ballot.from_wire(ballot), QueryAnswer(error_kind, answer))

    def to_wire(self) -> list[Any]:
        """Return the answer in its wire form."""
        return [self.log_index, self.ballot.to_wire(), self.answer.error_kind, self.answer.answer]


class FollowerReadRequest(NamedTuple):
    """`quorum.peek`: answer a query from the applied state of one store.

    `wants_uncommitted` requests in addition the result after each accepted entry.
    """

    part: str
    query: WireMap
    wants_uncommitted: bool
    identity: str

    @classmethod
    def from_wire(cls, body: WireMap) -> FollowerReadRequest:
        """Read the request; readers of earlier versions do not send `beyond`."""
        return cls(body["part"], body["query"], bool(body.get("beyond")), body["identity"])

    def to_wire(self) -> WireMap:
        """Return the request in its wire form."""
        body: WireMap = {"part": self.part, "query": self.query}
        if self.wants_uncommitted:
            body["beyond"] = True
        body["identity"] = self.identity
        return body


class FollowerReadReply(NamedTuple):
    """The answer to `quorum.peek`.

    `uncommitted_lots` has (index, lot or None) for each command of an accepted entry that is not
    applied; `uncommitted` has the results after these entries, or None if not requested.
    """

    applied: int
    group: Sequence[Sequence[str]]
    uncommitted_lots: Sequence[Sequence[Any]]
    answer: QueryAnswer
    uncommitted: tuple[UncommittedAnswer, ...] | None = None

    @classmethod
    def from_wire(cls, fields: Sequence[Any]) -> FollowerReadReply:
        """Read the answer; stores of earlier versions do not send the last field."""
        applied, group, uncommitted_lots, error_kind, answer, *rest = fields
        uncommitted = None
        for answers in rest[:1]:
            uncommitted = tuple(UncommittedAnswer.from_wire(row) for row in answers)
        return cls(applied, group, uncommitted_lots, QueryAnswer(error_kind, answer), uncommitted)

    def to_wire(self) -> list[Any]:
        """Return the answer in its wire form."""
        fields = [self.applied, self.group, self.uncommitted_lots, *self.answer]
        if self.uncommitted is not None:
            fields.append([answer.to_wire() for answer in self.uncommitted])
        return fields


class FoundRequest(NamedTuple):
    """`quorum.found`: store a founding record."""

    identity: str
    founding: WireMap

    @classmethod
    def from_wire(cls, body: WireMap) -> FoundRequest:
        """Read the request."""
        return cls(body["identity"], body["founding"])

    def to_wire(self) -> WireMap:
        """Return the request in its wire form."""
        return {"identity": self.identity, "founding": self.founding}


class HintedEntry(NamedTuple):
    """The part, identity and index of an accept request that is stored as a hint."""

    part: str
    identity: str
    log_index: int

    @classmethod
    def from_wire(cls, body: WireMap) -> HintedEntry:
        """Read these fields of the request."""
        return cls(body["part"], body["identity"], body["index"])


class HintRequest(NamedTuple):
    """`quorum.hint`: store an accept request, in its wire form, for an unreachable acceptor."""

    target: str
    request: WireMap

    @classmethod
    def from_wire(cls, body: WireMap) -> HintRequest:
        """Read the request."""
        return cls(body["for"], body["record"])

    def to_wire(self) -> WireMap:
        """Return the request in its wire form."""
        return {"for": self.target, "record": self.request}
