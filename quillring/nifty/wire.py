"""The node-to-node format: magic, version, then one cbor value.

A node speaks two versions, so that a fleet can be upgraded one node at a time: to a member it uses
the newest one that both speak, to one it has not heard from the older. Every echo names the newest
one its sender speaks, which readers of version 1 pass over.
Version 2 added `lot.release`, `member.former` and the entry in answers to `journal.find`.
"""

import cbor2

from quillring.kernel.troubles import BadWire

MAGIC = b"QR"
SPOKEN = (1, 2)
FRAME_LIMIT = 64 * 1024 * 1024


def pack(value, version=SPOKEN[-1]):
    """Return the bytes of a value under a version."""
    return MAGIC + bytes([version]) + cbor2.dumps(value)


def unpack(data, versions=SPOKEN):
    """Return (version, value); garbage and versions not spoken raise BadWire."""
    if data[:2] != MAGIC:
        raise BadWire(reason="magic")
    if data[2:3] not in {bytes([version]) for version in versions}:
        raise BadWire(reason="version")
    try:
        return data[2], cbor2.loads(data[3:])
    except (ValueError, cbor2.CBORError, RecursionError, MemoryError) as error:
        raise BadWire(reason="cbor") from error
