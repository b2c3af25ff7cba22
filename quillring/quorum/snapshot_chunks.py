"""A part's state in bounded pieces: cut at the sender, put together at the receiver.

A state is a map of sections; a section that is a map is cut by its keys. So no message, and no step
of the one loop, grows with the state: a piece is at most `PIECE_BYTES` long, and the longest single
encoding is that of one value of a section, such as one lot.
"""

from __future__ import annotations

import struct
from itertools import islice
from typing import TYPE_CHECKING, NamedTuple

import cbor2

from quillring.kernel.errors import QuillringError

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

CHUNK_BYTES = 256 << 10
LENGTH = struct.Struct(">I")


class BadChunk(QuillringError):
    """The pieces of a state do not make up a whole one."""

    kind = "bad_piece"
    status = 409


class ChunkOffset(NamedTuple):
    """How far a state was sent: the next row, and the bytes of that row that were sent already."""

    row: int = 0
    offset: int = 0


SNAPSHOT_START = ChunkOffset()


class Chunk(NamedTuple):
    """Some bytes of a state, and the place behind them; None at the end of the state."""

    data: bytes
    following: ChunkOffset | None


def state_rows(state: dict) -> Iterator[tuple]:
    """Yield (section, value) of a plain section; (section, {}), (section, key, value) of a map."""
    for section, value in state.items():
        if not isinstance(value, dict):
            yield section, value
            continue
        yield section, {}
        for key, kept in value.items():
            yield section, key, kept


def put_row(sections: dict, fields: Sequence) -> None:
    """Put a row of `rows_of` into the state that is being made."""
    if len(fields) == 2:
        sections[fields[0]] = fields[1]
    else:
        sections[fields[0]][fields[1]] = fields[2]


def cut_chunk(state: dict, place: ChunkOffset, limit: int = CHUNK_BYTES) -> Chunk:
    """Return the piece of an immutable state from a place on, `limit` bytes long at most."""
    data, (row, offset) = b"", place
    for fields in islice(state_rows(state), row, None):
        body = cbor2.dumps(fields)
        packed = LENGTH.pack(len(body)) + body
        taken = packed[offset : offset + limit - len(data)]
        data, offset = data + taken, offset + len(taken)
        if offset < len(packed):
            return Chunk(data, ChunkOffset(row, offset))
        row, offset = row + 1, 0
        if len(data) >= limit:
            return Chunk(data, ChunkOffset(row, 0))
    return Chunk(data, None)


class StateBuilder:
    """Puts a state together; `place` is where the next piece must begin."""

    __slots__ = ("sections", "rest", "place")

    def __init__(
        self, sections: dict | None = None, rest: bytes = b"", place: ChunkOffset = SNAPSHOT_START
    ) -> None:
        self.sections = sections or {}
        self.rest = bytearray(rest)
        self.place = place

    def add(self, data: bytes, following: Sequence | None) -> None:
        """Take the piece at the present place, which ends before `following`."""
        self.rest += data
        start, place = 0, self.place
        while len(self.rest) - start >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self.rest, start)
            end = start + LENGTH.size + length
            if end > len(self.rest):
                break
            put_row(self.sections, cbor2.loads(bytes(self.rest[start + LENGTH.size : end])))
            start, place = end, ChunkOffset(place.row + 1, 0)
        del self.rest[:start]
        self.place = ChunkOffset(place.row, len(self.rest))
        if following is not None and ChunkOffset(*following) != self.place:
            raise BadChunk(place=list(self.place), following=list(following))

    def whole(self) -> dict:
        """Return the state; BadChunk when its last row is not there in full."""
        if self.rest:
            raise BadChunk(place=list(self.place))
        return self.sections

    def to_list(self) -> list:
        """Return a copy of what has come so far, for a slot."""
        sections = {
            name: dict(value) if isinstance(value, dict) else value
            for name, value in self.sections.items()
        }
        return [sections, bytes(self.rest), list(self.place)]

    @classmethod
    def from_list(cls, fields: list) -> StateBuilder:
        """Read from a slot what had come so far."""
        sections, rest, place = fields
        return cls(sections, rest, ChunkOffset(*place))
