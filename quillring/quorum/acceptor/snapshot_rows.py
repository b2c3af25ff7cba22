"""Conversion of the state of a store's acceptors to checkpoint rows and back.

On disk a row is a list of its kind, a name and its fields. A part's state takes many rows.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.records import NamedTuple
from quillring.quorum.acceptor.snapshot_transfer import IncomingSnapshot
from quillring.quorum.acceptor.state import AcceptorState
from quillring.quorum.snapshot_chunks import (
    ChunkOffset,
    PartialState,
    StateBuilder,
    add_row,
    state_rows,
)
from quillring.quorum.values import Ballot

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from quillring.kernel.types import WireMap
    from quillring.quorum.acceptor.acceptor import Acceptors

STORE = "store"
HINT = "hint"
PART = "part"
PART_STATE = "state"
INCOMING = "arriving"
INCOMING_STATE = "arrived"


class StoreRow(NamedTuple):
    """The store's identity, and the founding record of its fleet."""

    identity: str
    founding: WireMap | None

    def to_disk(self) -> list[Any]:
        """Return the row in its form on disk."""
        return [STORE, self.identity, self.founding]


class HintRow(NamedTuple):
    """A hint: an accept request in wire form, stored for the unreachable acceptor `target`."""

    target: str
    request: WireMap

    def to_disk(self) -> list[Any]:
        """Return the row in its form on disk."""
        return [HINT, self.target, self.request]


class PartRow(NamedTuple):
    """A part's acceptor state without the applied state, which follows in separate rows."""

    part: str
    acceptor: AcceptorState

    def to_disk(self) -> list[Any]:
        """Return the row in its form on disk."""
        promise = self.acceptor.to_promise()._replace(state=None)
        return [PART, self.part, promise.to_wire()]


class IncomingRow(NamedTuple):
    """A partly received snapshot without its sections, which follow in rows of their own."""

    part: str
    ballot: Ballot
    log_index: int
    incomplete_row: bytes
    offset: ChunkOffset

    @classmethod
    def from_disk(cls, part: str, fields: Sequence[Any]) -> IncomingRow:
        """Read the fields of the row."""
        ballot, index, (_, incomplete_row, offset) = fields
        return cls(
            part, Ballot.from_wire(ballot), index, incomplete_row, ChunkOffset.from_wire(offset)
        )

    def to_disk(self) -> list[Any]:
        """Return the row in its form on disk."""
        partial = [{}, self.incomplete_row, self.offset.to_wire()]
        return [INCOMING, self.part, [self.ballot.to_wire(), self.log_index, partial]]


def to_rows(acceptors: Acceptors) -> list[list[Any]]:
    """Return the complete state as rows that later changes of the state do not affect."""
    rows = [StoreRow(acceptors.identity, acceptors.founding).to_disk()]
    for target, requests in acceptors.hints.items():
        rows.extend(HintRow(target, request).to_disk() for request in requests)
    for part, acceptor in acceptors.parts.items():
        rows.append(PartRow(part, acceptor).to_disk())
        rows.extend([PART_STATE, part, *fields] for fields in state_rows(acceptor.state or {}))
    for part, incoming in acceptors.snapshot_transfer.incoming.items():
        partial = incoming.builder.to_partial()
        row = IncomingRow(
            part, incoming.ballot, incoming.index, partial.incomplete_row, partial.offset
        )
        rows.append(row.to_disk())
        rows.extend([INCOMING_STATE, part, *fields] for fields in state_rows(partial.sections))
    return rows


def load_rows(acceptors: Acceptors, rows: Iterable[list[Any]]) -> None:
    """Replace the state of the acceptors by the rows of a checkpoint."""
    loader = _RowLoader()
    for kind, name, *fields in rows:
        loader.add_row(kind, name, fields)
    acceptors.identity, acceptors.founding = loader.store
    acceptors.parts, acceptors.hints = loader.parts, loader.hints
    acceptors.snapshot_transfer.incoming = loader.incoming_snapshots()


class _RowLoader:
    """Rebuilds the state of the acceptors from the rows of a checkpoint."""

    __slots__ = ("store", "parts", "hints", "incoming", "sections")

    def __init__(self) -> None:
        self.store = StoreRow("", None)
        self.parts: dict[str, AcceptorState] = {}
        self.hints: dict[str, list[WireMap]] = {}
        self.incoming: dict[str, IncomingRow] = {}
        self.sections: dict[str, dict[str, Any]] = {}

    def add_row(self, kind: str, name: str, fields: Sequence[Any]) -> None:
        """Add one row to the state; a row of an unknown kind is ignored."""
        if kind == STORE:
            (founding,) = fields
            self.store = StoreRow(name, founding)
        elif kind == HINT:
            (request,) = fields
            self.hints.setdefault(name, []).append(request)
        elif kind == PART:
            (promise,) = fields
            self.parts[name] = AcceptorState.from_disk(promise)
        elif kind == PART_STATE:
            acceptor = self.parts[name]
            acceptor.state = acceptor.state or {}
            add_row(acceptor.state, fields)
        elif kind == INCOMING:
            (incoming,) = fields
            self.incoming[name] = IncomingRow.from_disk(name, incoming)
            self.sections[name] = {}
        elif kind == INCOMING_STATE:
            add_row(self.sections[name], fields)

    def incoming_snapshots(self) -> dict[str, IncomingSnapshot]:
        """Return {part: the partly received snapshot}."""
        return {
            part: IncomingSnapshot(
                row.ballot,
                row.log_index,
                StateBuilder.from_partial(
                    PartialState(self.sections[part], row.incomplete_row, row.offset)
                ),
            )
            for part, row in self.incoming.items()
        }


def load_legacy_checkpoint(acceptors: Acceptors, snapshot: WireMap) -> None:
    """Replace the state of the acceptors by a checkpoint of the first format, a single value."""
    acceptors.identity, acceptors.founding = snapshot["identity"], snapshot["founding"]
    acceptors.parts = {
        part: AcceptorState.from_disk(fields) for part, fields in snapshot["parts"].items()
    }
    acceptors.hints = snapshot["hints"]
