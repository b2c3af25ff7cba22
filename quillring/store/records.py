"""Checksummed records: what logs and slots are made of."""

import struct
import zlib

import cbor2

RECORD = struct.Struct(">II")


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


def has_record_after(data, offset):
    """Tell whether the unreadable record is followed by a readable one: not a torn tail."""
    if offset + RECORD.size > len(data):
        return False
    length, _ = RECORD.unpack_from(data, offset)
    return read_record(data, offset + RECORD.size + length) is not None
