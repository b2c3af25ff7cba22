"""A part's state in bounded chunks: split by the sender, reassembled by the receiver.

A state is a map of sections; a section that is a map is split by its keys. So no message, and no
step of the event loop, grows with the state: a chunk is at most CHUNK_BYTES long, and the longest
single encoding is that of one value of a section, such as one lot.

The chunks form a stream of rows: each the CBOR encoding of a row of `state_rows`, after its length
in four bytes, big-endian.
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
    """The chunks of a state do not add up to a complete one."""

    kind = "bad_piece"
    status = 409


class ChunkOffset(NamedTuple):
    """An offset in the stream of a state: the row, and the offset in that row in bytes."""

    row: int = 0
    row_bytes: int = 0

    @classmethod
    def from_wire(cls, fields: Sequence[int]) -> ChunkOffset:
        """Read an offset from its form on the wire and on disk."""
        row, row_bytes = fields
        return cls(row, row_bytes)

    def to_wire(self) -> list[int]:
        """Return the offset in its form on the wire and on disk."""
        return [self.row, self.row_bytes]


SNAPSHOT_START = ChunkOffset()


class Chunk(NamedTuple):
    """Some bytes of a state, and the offset after them; None at the end of the state."""

    data: bytes
    next_offset: ChunkOffset | None

    @classmethod
    def from_wire(cls, fields: Sequence[Any]) -> Chunk:
        """Read a chunk from its wire form."""
        data, next_offset = fields
        return cls(data, None if next_offset is None else ChunkOffset.from_wire(next_offset))

    def to_wire(self) -> list[Any]:
        """Return the chunk in its wire form."""
        return [self.data, None if self.next_offset is None else self.next_offset.to_wire()]


class PartialState(NamedTuple):
    """The part of a state received so far.

    `rest` is the beginning of an incomplete row, `offset` where the next chunk begins.
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
    """Add a row of `state_rows` to the sections of a state, in place."""
    if len(fields) == 2:
        section, value = fields
        sections[section] = value
    else:
        section, key, value = fields
        sections[section][key] = value


def cut_chunk(state: PartState, offset: ChunkOffset, limit: int = CHUNK_BYTES) -> Chunk:
    """Return the chunk of an immutable state from an offset on, of `limit` bytes at most."""
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
    """Reassembles a state from its chunks; `offset` is where the next chunk must begin."""

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
        """Add the chunk at the present offset, which must end at `next_offset`.

        None as `next_offset` is not checked. Raises BadChunk when it ends elsewhere.
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
        """Return the complete state; raises BadChunk when its last row is incomplete."""
        if self.rest:
            raise BadChunk(place=self.offset.to_wire())
        return self.sections

    def to_partial(self) -> PartialState:
        """Return a copy of the part received so far."""
        sections = {
            name: dict(value) if isinstance(value, dict) else value
            for name, value in self.sections.items()
        }
        return PartialState(sections, bytes(self.rest), self.offset)

    @classmethod
    def from_partial(cls, partial: PartialState) -> StateBuilder:
        """Return a builder that continues from a part received before."""
        return cls(partial.sections, partial.rest, partial.offset)
