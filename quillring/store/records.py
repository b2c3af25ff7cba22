"""Checksummed records: what logs and checkpoints are made of.

On disk a record is the length of its body and the body's CRC-32, four bytes each, then the body in
CBOR.
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
    """A record, and the offset behind it."""

    value: Any
    end: int


class DecodedRecords(NamedTuple):
    """The whole records at the start of some bytes, and the offset behind the last one."""

    values: list[Any]
    end: int


def encode_record(value: Any) -> bytes:
    """Return the bytes of one record."""
    body: bytes = cbor2.dumps(value)
    return RECORD_HEADER.pack(len(body), zlib.crc32(body)) + body


def decode_record(data: bytes, offset: int) -> DecodedRecord | None:
    """Return the record at an offset, or None when it is torn."""
    if offset + RECORD_HEADER.size > len(data):
        return None
    length, checksum = RECORD_HEADER.unpack_from(data, offset)
    start = offset + RECORD_HEADER.size
    body = data[start : start + length]
    if len(body) != length or zlib.crc32(body) != checksum or not length:
        return None
    return DecodedRecord(cbor2.loads(body), start + length)


def decode_records(data: bytes) -> DecodedRecords:
    """Return the records up to the first torn one."""
    values: list[Any] = []
    offset = 0
    while (record := decode_record(data, offset)) is not None:
        values.append(record.value)
        offset = record.end
    return DecodedRecords(values, offset)


def has_record_after(data: bytes, offset: int, is_marked: bool) -> bool:
    """Tell whether the unreadable record there is followed by what shows that it was synced.

    Each batch reaches the disk under one sync and begins with a mark. A loss of power may tear any
    piece out of the last batch, but no further batch follows a torn one. In a log of earlier
    versions, without marks, any readable record that follows counts.
    """
    while offset + RECORD_HEADER.size <= len(data):
        length, _ = RECORD_HEADER.unpack_from(data, offset)
        offset += RECORD_HEADER.size + length
        record = decode_record(data, offset)
        if not is_marked or (record is not None and record.value == BATCH_MARK):
            return record is not None
    return False


BATCH_HEAD = encode_record(BATCH_MARK)
