"""Slots: whole images of a store's state, written step by step; the head comes last.

A slot file is a head and a body. Bodies of the first form are one value; those of the second are
records: how many records at the start of the slot's log are in it already, then the state by rows.
"""

import hashlib
import struct
from typing import NamedTuple

import cbor2

from quillring.store.records import pack_record, read_records

HEADER = struct.Struct(">4sQI32s")
WHOLE_MAGIC, ROWS_MAGIC = b"QSL1", b"QSL2"
STEP_BYTES = 256 << 10
NO_HEAD = bytes(HEADER.size)


class Slot(NamedTuple):
    """A readable slot; `image` is set in the first form, `rows` in the second."""

    generation: int
    size: int
    snapshot: object = None
    rows: list | None = None
    skipped: int = 0


def slot_name(generation):
    """Return the file of a generation's slot: two are written in turn."""
    return f"slot.{generation % 2}"


def read_slot(data):
    """Return the slot in the bytes of its file, or None when it is torn."""
    try:
        magic, generation, length, digest = HEADER.unpack_from(data)
        body = data[HEADER.size : HEADER.size + length]
        if hashlib.sha256(body).digest() != digest:
            return None
        if magic == WHOLE_MAGIC:
            return Slot(generation, length, snapshot=cbor2.loads(body))
        if magic != ROWS_MAGIC:
            return None
        (skipped, *rows), end = read_records(body)
        return Slot(generation, length, None, rows, skipped) if end == length else None
    except (struct.error, ValueError, cbor2.CBORError):
        return None


class SlotWriter:
    """Writes the slot of a generation in steps of bounded size; no crash on the way harms."""

    __slots__ = ("disk", "name", "generation", "rows", "buffer", "digest", "size")

    def __init__(self, disk, generation, rows, skipped):
        self.disk = disk
        self.name = slot_name(generation)
        self.generation = generation
        self.rows = iter(rows)
        self.buffer = bytearray(pack_record(skipped))
        self.digest = hashlib.sha256()
        self.size = 0
        disk.begin(self.name, NO_HEAD)

    def step(self):
        """Write and sync some of it; True once the slot stands, head and all."""
        while len(self.buffer) < STEP_BYTES:
            row = next(self.rows, None)
            if row is None:
                break
            self.buffer += pack_record(row)
        data = bytes(self.buffer[:STEP_BYTES])
        del self.buffer[:STEP_BYTES]
        if data:
            self.disk.extend(self.name, data)
            self.digest.update(data)
            self.size += len(data)
            return False
        head = HEADER.pack(ROWS_MAGIC, self.generation, self.size, self.digest.digest())
        self.disk.finish(self.name, head)
        return True
