"""A part's state in bounded chunks: cut at the sender, put together at the receiver.

A state is a map of sections; a section that is a map is cut by its keys. So no message, and no step
of the event loop, grows with the state: a chunk is at most `CHUNK_BYTES` long, and the longest
single encoding is that of one value of a section, such as one lot.

The chunks make up a stream of rows: each the CBOR encoding of a row of `state_rows`, after its
length in four bytes.
"""

from __future__ import annotations

import struct
from itertools import islice
from typing import TYPE_CHECKING, Any

import cbor2

from quillring.kernel.errors import QuillringError
from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

CHUNK_BYTES = 256 << 10
LENGTH = struct.Struct(">I")

PartState = dict[str, Any]
"""The replicated state of a part, by sections; it is never changed in place."""


class BadChunk(QuillringError):
    """The chunks of a state do not make up a whole one."""

    kind = "bad_piece"
    status = 409


class ChunkOffset(NamedTuple):
    """How far a state was sent: the next row, and the bytes of that row that were sent already."""

    row: int = 0
    row_bytes: int = 0

    @classmethod
    def from_wire(cls, fields: Sequence[int]) -> ChunkOffset:
        """Read an offset as it stands on the wire and on disk."""
        row, row_bytes = fields
        return cls(row, row_bytes)

    def to_wire(self) -> list[int]:
        """Return the offset as it stands on the wire and on disk."""
        return [self.row, self.row_bytes]


SNAPSHOT_START = ChunkOffset()


class Chunk(NamedTuple):
    """Some bytes of a state, and the offset behind them; None at the end of the state."""

    data: bytes
    next_offset: ChunkOffset | None

    @classmethod
    def from_wire(cls, fields: Sequence[Any]) -> Chunk:
        """Read a chunk as it stands on the wire."""
        data, next_offset = fields
        return cls(data, None if next_offset is None else ChunkOffset.from_wire(next_offset))

    def to_wire(self) -> list[Any]:
        """Return the chunk as it stands on the wire."""
        return [self.data, None if self.next_offset is None else self.next_offset.to_wire()]


class PartialState(NamedTuple):
    """What has come of a state so far.

    `rest` is the beginning of a row that is not whole, `offset` where the next chunk begins.
    """

    sections: PartState
    rest: bytes
    offset: ChunkOffset


def state_rows(state: PartState) -> Iterator[tuple[Any, ...]]:
    """Yield (section, value) of a plain section; (section, {}), (section, key, value) of a map."""
    for section, value in state.items():
        if not isinstance(value, dict):
            yield section, value
            continue
        yield section, {}
        for key, kept in value.items():
            yield section, key, kept


def put_row(sections: PartState, fields: Sequence[Any]) -> None:
    """Put a row of `state_rows` into the state that is being made."""
    if len(fields) == 2:
        section, value = fields
        sections[section] = value
    else:
        section, key, value = fields
        sections[section][key] = value


def cut_chunk(state: PartState, offset: ChunkOffset, limit: int = CHUNK_BYTES) -> Chunk:
    """Return the chunk of an immutable state from an offset on, `limit` bytes long at most."""
    data, (row, row_bytes) = b"", offset
    for fields in islice(state_rows(state), row, None):
        body = cbor2.dumps(fields)
        packed = LENGTH.pack(len(body)) + body
        taken = packed[row_bytes : row_bytes + limit - len(data)]
        data, row_bytes = data + taken, row_bytes + len(taken)
        if row_bytes < len(packed):
            return Chunk(data, ChunkOffset(row, row_bytes))
        row, row_bytes = row + 1, 0
        if len(data) >= limit:
            return Chunk(data, ChunkOffset(row, 0))
    return Chunk(data, None)


class StateBuilder:
    """Puts a state together; `offset` is where the next chunk must begin."""

    __slots__ = ("sections", "rest", "offset")

    def __init__(
        self,
        sections: PartState | None = None,
        rest: bytes = b"",
        offset: ChunkOffset = SNAPSHOT_START,
    ) -> None:
        self.sections: PartState = sections or {}
        self.rest = bytearray(rest)
        self.offset = offset

    def add(self, data: bytes, next_offset: Sequence[int] | None) -> None:
        """Take the chunk at the present offset, which ends before `next_offset`.

        Raises BadChunk when it ends elsewhere.
        """
        self.rest += data
        start, row = 0, self.offset.row
        while len(self.rest) - start >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self.rest, start)
            end = start + LENGTH.size + length
            if end > len(self.rest):
                break
            put_row(self.sections, cbor2.loads(bytes(self.rest[start + LENGTH.size : end])))
            start, row = end, row + 1
        del self.rest[:start]
        self.offset = ChunkOffset(row, len(self.rest))
        if next_offset is not None and tuple(next_offset) != self.offset:
            raise BadChunk(place=self.offset.to_wire(), following=list(next_offset))

    def whole(self) -> PartState:
        """Return the state; BadChunk when its last row is not there in full."""
        if self.rest:
            raise BadChunk(place=self.offset.to_wire())
        return self.sections

    def to_partial(self) -> PartialState:
        """Return a copy of what has come so far."""
        sections = {
            name: dict(value) if isinstance(value, dict) else value
            for name, value in self.sections.items()
        }
        return PartialState(sections, bytes(self.rest), self.offset)

    @classmethod
    def from_partial(cls, partial: PartialState) -> StateBuilder:
        """Go on with what had come so far."""
        return cls(partial.sections, partial.rest, partial.offset)
