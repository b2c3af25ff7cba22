"""The typed records of a store's log, and their form on disk.

On disk a record is a list of its kind and its fields. Every record about a part contains the ballot
under which it was written; applying the record also promises that ballot.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.records import NamedTuple
from quillring.quorum.snapshot_chunks import ChunkOffset
from quillring.quorum.values import Ballot

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from quillring.kernel.types import WireMap
    from quillring.quorum.messages import Batch
    from quillring.quorum.snapshot_chunks import PartState

FOUND = "found"
HINT = "hint"
HINTS_DELIVERED = "handed"
PROMISE = "promise"
ACCEPT = "accept"
COMMIT = "commit"
INSTALL = "install"
INSTALL_CHUNK = "piece"


class FoundRecord(NamedTuple):
    """The founding record of the fleet that this store belongs to."""

    founding: WireMap

    @classmethod
    def from_disk(cls, fields: Sequence[Any]) -> FoundRecord:
        """Read the record."""
        _, founding = fields
        return cls(founding)

    def to_disk(self) -> list[Any]:
        """Return the record in its form on disk."""
        return [FOUND, self.founding]


class HintRecord(NamedTuple):
    """A hint: an accept request in wire form, stored for the unreachable acceptor `target`."""

    target: str
    request: WireMap

    @classmethod
    def from_disk(cls, fields: Sequence[Any]) -> HintRecord:
        """Read the record."""
        _, target, request = fields
        return cls(target, request)

    def to_disk(self) -> list[Any]:
        """Return the record in its form on disk."""
        return [HINT, self.target, self.request]


class HintsDeliveredRecord(NamedTuple):
    """The oldest `delivered_count` hints for an acceptor were delivered or are not needed."""

    target: str
    delivered_count: int

    @classmethod
    def from_disk(cls, fields: Sequence[Any]) -> HintsDeliveredRecord:
        """Read the record."""
        _, target, count = fields
        return cls(target, count)

    def to_disk(self) -> list[Any]:
        """Return the record in its form on disk."""
        return [HINTS_DELIVERED, self.target, self.delivered_count]


class PromiseRecord(NamedTuple):
    """A promise of a ballot."""

    part: str
    ballot: Ballot

    @classmethod
    def from_disk(cls, fields: Sequence[Any]) -> PromiseRecord:
        """Read the record; fields after the ballot, as in records of unknown kinds, are ignored."""
        _, part, ballot, *_ = fields
        return cls(part, Ballot.from_wire(ballot))

    def to_disk(self) -> list[Any]:
        """Return the record in its form on disk."""
        return [PROMISE, self.part, self.ballot.to_wire()]


class AcceptRecord(NamedTuple):
    """The acceptance of a log entry under a ballot."""

    part: str
    ballot: Ballot
    log_index: int
    batch: Batch

    @classmethod
    def from_disk(cls, fields: Sequence[Any]) -> AcceptRecord:
        """Read the record."""
        _, part, ballot, index, batch = fields
        return cls(part, Ballot.from_wire(ballot), index, batch)

    def to_disk(self) -> list[Any]:
        """Return the record in its form on disk."""
        return [ACCEPT, self.part, self.ballot.to_wire(), self.log_index, self.batch]


class CommitRecord(NamedTuple):
    """The commit, up to the index `committed`, of all entries accepted under the ballot."""

    part: str
    ballot: Ballot
    committed: int

    @classmethod
    def from_disk(cls, fields: Sequence[Any]) -> CommitRecord:
        """Read the record."""
        _, part, ballot, committed = fields
        return cls(part, Ballot.from_wire(ballot), committed)

    def to_disk(self) -> list[Any]:
        """Return the record in its form on disk."""
        return [COMMIT, self.part, self.ballot.to_wire(), self.committed]


class InstallRecord(NamedTuple):
    """The complete state after the entry at `log_index`, installed in place of missed entries."""

    part: str
    ballot: Ballot
    log_index: int
    state: PartState

    @classmethod
    def from_disk(cls, fields: Sequence[Any]) -> InstallRecord:
        """Read the record."""
        _, part, ballot, index, state = fields
        return cls(part, Ballot.from_wire(ballot), index, state)

    def to_disk(self) -> list[Any]:
        """Return the record in its form on disk."""
        return [INSTALL, self.part, self.ballot.to_wire(), self.log_index, self.state]


class InstallChunkRecord(NamedTuple):
    """A chunk, from `offset` up to `next_offset`, of the state after the entry at `log_index`.

    `next_offset` is None in the last chunk, after which the state is installed.
    """

    part: str
    ballot: Ballot
    log_index: int
    offset: ChunkOffset
    data: bytes
    next_offset: ChunkOffset | None

    @classmethod
    def from_disk(cls, fields: Sequence[Any]) -> InstallChunkRecord:
        """Read the record."""
        _, part, ballot, index, offset, data, next_offset = fields
        return cls(
            part,
            Ballot.from_wire(ballot),
            index,
            ChunkOffset.from_wire(offset),
            data,
            None if next_offset is None else ChunkOffset.from_wire(next_offset),
        )

    def to_disk(self) -> list[Any]:
        """Return the record in its form on disk."""
        return [
            INSTALL_CHUNK,
            self.part,
            self.ballot.to_wire(),
            self.log_index,
            self.offset.to_wire(),
            self.data,
            None if self.next_offset is None else self.next_offset.to_wire(),
        ]


PartRecord = PromiseRecord | AcceptRecord | CommitRecord | InstallRecord | InstallChunkRecord
"""A record about one part."""

LogRecord = FoundRecord | HintRecord | HintsDeliveredRecord | PartRecord
"""Any record of a store's log."""

_READERS: dict[str, Callable[[Sequence[Any]], LogRecord]] = {
    FOUND: FoundRecord.from_disk,
    HINT: HintRecord.from_disk,
    HINTS_DELIVERED: HintsDeliveredRecord.from_disk,
    PROMISE: PromiseRecord.from_disk,
    ACCEPT: AcceptRecord.from_disk,
    COMMIT: CommitRecord.from_disk,
    INSTALL: InstallRecord.from_disk,
    INSTALL_CHUNK: InstallChunkRecord.from_disk,
}


def read_log_record(fields: Sequence[Any]) -> LogRecord:
    """Return the typed record; a record of an unknown kind is read as a promise of its ballot."""
    kind, *_ = fields
    return _READERS.get(kind, PromiseRecord.from_disk)(fields)
