"""Checksummed records: what logs and slots are made of."""

import struct
import zlib

import cbor2

RECORD = struct.Struct(">II")
BATCH_MARK = "batch"


def pack_record(value):
    """Return the bytes of one record."""
    body = cbor2.dumps(value)
    return RECORD.pack(len(body), zlib.crc32(body)) + body


def read_record(data, offset):
    """Return (value, next offset) of the record there, or None when it is torn."""
    if offset + RECORD.size > len(data):
        return None
    length, checksum = RECORD.unpack_from(data, offset)
    body = data[offset + RECORD.size : offset + RECORD.size + length]
    if len(body) != length or zlib.crc32(body) != checksum or not length:
        return None
    return cbor2.loads(body), offset + RECORD.size + length


def read_records(data):
    """Return (values, offset behind the last whole one)."""
    values, offset = [], 0
    while (record := read_record(data, offset)) is not None:
        value, offset = record
        values.append(value)
    return values, offset


def has_record_after(data, offset, is_marked):
    """Tell whether the unreadable record there is followed by what shows that it was synced.

    Each batch reaches the disk under one sync and begins with a mark. A loss of power may tear any
    piece out of the last batch, but no further batch follows a torn one. In a log of earlier
    versions, without marks, any readable record that follows counts.
    """
    while offset + RECORD.size <= len(data):
        length, _ = RECORD.unpack_from(data, offset)
        offset += RECORD.size + length
        record = read_record(data, offset)
        if not is_marked or (record is not None and record[0] == BATCH_MARK):
            return record is not None
    return False


BATCH_HEAD = pack_record(BATCH_MARK)
