"""Checksummed records, the unit of logs and checkpoints.

On disk, a record consists of the length of its body in bytes and the body's CRC-32, each as four
bytes in big-endian order, and the body in CBOR (RFC 8949).
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
    """The value of a record, and the offset of the first byte after it."""

    value: Any
    end: int


class DecodedRecords(NamedTuple):
    """The values of the valid records at the start of a file, and the offset after the last one."""

    values: list[Any]
    end: int


def encode_record(value: Any) -> bytes:
    """Return a value encoded as one record."""
    body: bytes = cbor2.dumps(value)
    return RECORD_HEADER.pack(len(body), zlib.crc32(body)) + body


def decode_record(data: bytes, offset: int) -> DecodedRecord | None:
    """Decode the record at an offset; return None if it is incomplete or fails its checksum."""
    if offset + RECORD_HEADER.size > len(data):
        return None
    length, checksum = RECORD_HEADER.unpack_from(data, offset)
    start = offset + RECORD_HEADER.size
    body = data[start : start + length]
    if len(body) != length or zlib.crc32(body) != checksum or not length:
        return None
    return DecodedRecord(cbor2.loads(body), start + length)


def decode_records(data: bytes) -> DecodedRecords:
    """Decode the records before the first one that is incomplete or fails its checksum."""
    values: list[Any] = []
    offset = 0
    while (record := decode_record(data, offset)) is not None:
        values.append(record.value)
        offset = record.end
    return DecodedRecords(values, offset)


def has_record_after(data: bytes, offset: int, has_batch_marks: bool) -> bool:
    """Return whether a later batch shows that the unreadable record at `offset` was synced.

    Each batch begins with BATCH_MARK and is synced before the next one is written. A loss of power
    may therefore lose any bytes of the last batch, but no batch follows an incomplete one. Logs of
    earlier versions have no marks (`has_batch_marks` is False); there, any readable record counts.
    """
    while offset + RECORD_HEADER.size <= len(data):
        length, _ = RECORD_HEADER.unpack_from(data, offset)
        offset += RECORD_HEADER.size + length
        record = decode_record(data, offset)
        if not has_batch_marks or (record is not None and record.value == BATCH_MARK):
            return record is not None
    return False


ENCODED_BATCH_MARK = encode_record(BATCH_MARK)
