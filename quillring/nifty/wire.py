"""The node-to-node format: magic, version, then one cbor value."""

import cbor2

from quillring.kernel.troubles import BadWire

MAGIC = b"QR"
VERSION = 1
FRAME_LIMIT = 64 * 1024 * 1024


def pack(value):
    """Return the bytes of a value under the current version."""
    return MAGIC + bytes([VERSION]) + cbor2.dumps(value)


def unpack(data):
    """Read a value; garbage and other versions raise BadWire."""
    if data[:2] != MAGIC:
        raise BadWire(reason="magic")
    if data[2:3] != bytes([VERSION]):
        raise BadWire(reason="version")
    try:
        return cbor2.loads(data[3:])
    except (ValueError, cbor2.CBORError, RecursionError, MemoryError) as error:
        raise BadWire(reason="cbor") from error
