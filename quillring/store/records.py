"""Checksummed records, of which logs and checkpoints consist.

On disk a record is the length of its body in bytes and the body's CRC-32, each four bytes in
big-endian order, then the body in CBOR (RFC 8949).
"""

from __future__ import annotations

import struct
import zlib
from typing import Any

import cbor2

from quillring.kernel.records import NamedTuple

RECORD_HEADER = struct.Struct(">II")
BATCH_MARK = "batch"


class DecodedRecord(NamedTuple):
    """A record, and the offset of the first byte after it."""

    value: Any
    end: int


class DecodedRecords(NamedTuple):
    """The complete records at the start of some bytes, and the offset after the last one."""

    values: list[Any]
    end: int


def encode_record(value: Any) -> bytes:
    """Return the bytes of one record."""
    body: bytes = cbor2.dumps(value)
    return RECORD_HEADER.pack(len(body), zlib.crc32(body)) + body


def decode_record(data: bytes, offset: int) -> DecodedRecord | None:
    """Return the record at an offset, or None when it is incomplete or fails its checksum."""
    if offset + RECORD_HEADER.size > len(data):
        return None
    length, checksum = RECORD_HEADER.unpack_from(data, offset)
    start = offset + RECORD_HEADER.size
    body = data[start : start + length]
    if len(body) != length or zlib.crc32(body) != checksum or not length:
        return None
    return DecodedRecord(cbor2.loads(body), start + length)


def decode_records(data: bytes) -> DecodedRecords:
    """Return the records before the first that is incomplete or fails its checksum."""
    values: list[Any] = []
    offset = 0
    while (record := decode_record(data, offset)) is not None:
        values.append(record.value)
        offset = record.end
    return DecodedRecords(values, offset)


def has_record_after(data: bytes, offset: int, is_marked: bool) -> bool:
    """Return whether a later batch shows that the unreadable record at `offset` was synced.

    Each batch is written under one sync and begins with BATCH_MARK. A loss of power may lose any
    bytes of the last batch, but no further batch is written after a torn one. In a log without
    marks (`is_marked` False, of earlier versions), any readable record that follows counts.
    """
    while offset + RECORD_HEADER.size <= len(data):
        length, _ = RECORD_HEADER.unpack_from(data, offset)
        offset += RECORD_HEADER.size + length
        record = decode_record(data, offset)
        if not is_marked or (record is not None and record.value == BATCH_MARK):
            return record is not None
    return False


BATCH_HEAD = encode_record(BATCH_MARK)
