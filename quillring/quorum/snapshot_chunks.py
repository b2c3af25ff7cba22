"""Transfer of a part's state in chunks: the sender splits it and the receiver reassembles it.

A state is a map of sections; a section that is itself a map is split by key. Thus the size of a
message, and the work per step of the event loop, do not grow with the state: a chunk has at most
CHUNK_BYTES, and the largest value encoded at once is one value of a section, such as one lot.

The chunks form a stream of rows. A row is encoded as its length in four bytes, big-endian, followed
by the CBOR encoding of an item of `state_rows`.
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
ROW_LENGTH = struct.Struct(">I")

PartState = dict[str, Any]
"""The replicated state of a part, by section name; it is never modified in place."""


class BadChunk(QuillringError):
    """The chunks received do not form a complete state."""

    kind = "bad_piece"
    status = 409


class ChunkOffset(NamedTuple):
    """An offset in the stream of a state: the row number, and the byte offset in that row."""

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
    """Bytes of a state's stream, and the offset after them, or None at the end of the stream."""

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
    """A state of which only some chunks were received.

    `incomplete_row` has the bytes of the last row received so far, if that row is incomplete;
    `offset` is where the next chunk must begin.
    """

    sections: PartState
    incomplete_row: bytes
    offset: ChunkOffset


def state_rows(state: PartState) -> Iterator[tuple[Any, ...]]:
    """Yield the rows of a state.

    A section that is a map yields (section, {}), then (section, key, value) for each key; any other
    section yields (section, value).
    """
    for section, value in state.items():
        if not isinstance(value, dict):
            yield section, value
            continue
        yield section, {}
        for key, item in value.items():
            yield section, key, item


def add_row(sections: PartState, fields: Sequence[Any]) -> None:
    """Add a row of `state_rows` to `sections`, in place."""
    if len(fields) == 2:
        section, value = fields
        sections[section] = value
    else:
        section, key, value = fields
        sections[section][key] = value


def cut_chunk(state: PartState, offset: ChunkOffset, limit: int = CHUNK_BYTES) -> Chunk:
    """Return the chunk of a state that begins at an offset, with at most `limit` bytes."""
    data, (row, row_bytes) = b"", offset
    for fields in islice(state_rows(state), row, None):
        body = cbor2.dumps(fields)
        encoded_row = ROW_LENGTH.pack(len(body)) + body
        fragment = encoded_row[row_bytes : row_bytes + limit - len(data)]
        data, row_bytes = data + fragment, row_bytes + len(fragment)
        if row_bytes < len(encoded_row):
            return Chunk(data, ChunkOffset(row, row_bytes))
        row, row_bytes = row + 1, 0
        if len(data) >= limit:
            return Chunk(data, ChunkOffset(row, 0))
    return Chunk(data, None)


class StateBuilder:
    """Reassembles a state from consecutive chunks; the next chunk must begin at `offset`."""

    __slots__ = ("sections", "incomplete_row", "offset")

    def __init__(
        self,
        sections: PartState | None = None,
        incomplete_row: bytes = b"",
        offset: ChunkOffset = SNAPSHOT_START,
    ) -> None:
        self.sections: PartState = sections or {}
        self.incomplete_row = bytearray(incomplete_row)
        self.offset = offset

    def add(self, data: bytes, next_offset: Sequence[int] | None) -> None:
        """Add the chunk that begins at the current offset.

        Raises BadChunk when the chunk does not end at `next_offset`; None disables this check.
        """
        self.incomplete_row += data
        start, row = 0, self.offset.row
        while len(self.incomplete_row) - start >= ROW_LENGTH.size:
            (length,) = ROW_LENGTH.unpack_from(self.incomplete_row, start)
            end = start + ROW_LENGTH.size + length
            if end > len(self.incomplete_row):
                break
            add_row(
                self.sections,
                cbor2.loads(bytes(self.incomplete_row[start + ROW_LENGTH.size : end])),
            )
            start, row = end, row + 1
        del self.incomplete_row[:start]
        self.offset = ChunkOffset(row, len(self.incomplete_row))
        if next_offset is not None and tuple(next_offset) != self.offset:
            raise BadChunk(place=self.offset.to_wire(), following=list(next_offset))

    def build(self) -> PartState:
        """Return the reassembled state; raises BadChunk when its last row is incomplete."""
        if self.incomplete_row:
            raise BadChunk(place=self.offset.to_wire())
        return self.sections

    def to_partial(self) -> PartialState:
        """Return a copy of what was received so far."""
        sections = {
            name: dict(value) if isinstance(value, dict) else value
            for name, value in self.sections.items()
        }
        return PartialState(sections, bytes(self.incomplete_row), self.offset)

    @classmethod
    def from_partial(cls, partial: PartialState) -> StateBuilder:
        """Return a builder that continues from the chunks received earlier."""
        return cls(partial.sections, partial.incomplete_row, partial.offset)
