"""Checkpoint files: complete snapshots of a store's state, written in steps, header last.

A checkpoint file consists of a header (magic, generation, size of the body in bytes, SHA-256 of the
body) and a body. In the first format (`QSL1`) the body is one CBOR value. In the second (`QSL2`) it
is a sequence of records: the number of records at the start of the generation's log that the
checkpoint already covers, then the rows of the state.
"""

from __future__ import annotations

import hashlib
import struct
from typing import TYPE_CHECKING, Any

import cbor2

from quillring.kernel.records import NamedTuple
from quillring.store.records import decode_records, encode_record

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quillring.store.disk import Disk

HEADER = struct.Struct(">4sQI32s")
SINGLE_VALUE_MAGIC, ROWS_MAGIC = b"QSL1", b"QSL2"
STEP_BYTES = 256 << 10
BLANK_HEADER = bytes(HEADER.size)


class CheckpointHeader(NamedTuple):
    """The header of a checkpoint file; `body_size` is in bytes, `digest` is the body's SHA-256."""

    magic: bytes
    generation: int
    body_size: int
    digest: bytes

    @classmethod
    def from_disk(cls, data: bytes) -> CheckpointHeader:
        """Parse the header; raises struct.error when it is incomplete."""
        magic, generation, body_size, digest = HEADER.unpack_from(data)
        return cls(magic, generation, body_size, digest)

    def to_disk(self) -> bytes:
        """Return the bytes of the header."""
        return HEADER.pack(self.magic, self.generation, self.body_size, self.digest)


class Checkpoint(NamedTuple):
    """A valid checkpoint: `single_value` is set in the first format, `rows` in the second.

    `size` is the size of the body in bytes, `covered_count` the number of records at the start of
    the generation's log that the checkpoint already covers.
    """

    generation: int
    size: int
    single_value: Any = None
    rows: list[Any] | None = None
    covered_count: int = 0


def checkpoint_file_name(generation: int) -> str:
    """Return the name of a generation's checkpoint file; generations alternate between two."""
    return f"slot.{generation % 2}"


def read_checkpoint(data: bytes) -> Checkpoint | None:
    """Parse a checkpoint file; return None if it is incomplete, corrupt or of an unknown format."""
    try:
        header = CheckpointHeader.from_disk(data)
        body = data[HEADER.size : HEADER.size + header.body_size]
        if hashlib.sha256(body).digest() != header.digest:
            return None
        if header.magic == SINGLE_VALUE_MAGIC:
            return Checkpoint(header.generation, header.body_size, single_value=cbor2.loads(body))
        if header.magic != ROWS_MAGIC:
            return None
        (covered_count, *rows), end = decode_records(body)
        if end != header.body_size:
            return None
        return Checkpoint(
            header.generation, header.body_size, rows=rows, covered_count=covered_count
        )
    except (struct.error, ValueError, cbor2.CBORError):
        return None


class CheckpointWriter:
    """Writes the checkpoint of one generation in steps of at most STEP_BYTES.

    The header is written last, so that `read_checkpoint` rejects the file after a crash before it.
    """

    __slots__ = ("disk", "file_name", "generation", "rows", "buffer", "digest", "size")

    def __init__(
        self, disk: Disk, generation: int, rows: Iterable[Any], covered_count: int
    ) -> None:
        self.disk = disk
        self.file_name = checkpoint_file_name(generation)
        self.generation = generation
        self.rows = iter(rows)
        self.buffer = bytearray(encode_record(covered_count))
        self.digest = hashlib.sha256()
        self.size = 0
        disk.begin_file(self.file_name, BLANK_HEADER)

    def step(self) -> bool:
        """Write and sync the next step, and return whether the checkpoint is complete.

        Raises DiskError.
        """
        self._fill_buffer()
        data = bytes(self.buffer[:STEP_BYTES])
        del self.buffer[:STEP_BYTES]
        if data:
            self.disk.extend_file(self.file_name, data)
            self.digest.update(data)
            self.size += len(data)
            return False
        header = CheckpointHeader(ROWS_MAGIC, self.generation, self.size, self.digest.digest())
        self.disk.finish_file(self.file_name, header.to_disk())
        return True

    def _fill_buffer(self) -> None:
        """Encode rows until STEP_BYTES are buffered or no rows are left."""
        while len(self.buffer) < STEP_BYTES:
            row = next(self.rows, None)
            if row is None:
                return
            self.buffer += encode_record(row)
