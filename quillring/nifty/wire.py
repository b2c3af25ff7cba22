"""The node-to-node format: magic, version, then one cbor value.

A node speaks two versions, so that a fleet can be upgraded one node at a time: to a member it uses
the newest one that both speak, to one it has not heard from the older. Every echo names the newest
one its sender speaks, which readers of version 1 pass over.
Echoes also name the form of terse heartbeats their sender reads; former readers pass over that.
Version 2 added `lot.release`, `member.former` and the entry in answers to `journal.find`.
Version 3 added lots outside their host's part, `raw.reserve`, `raw.release`, `raw.fence`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import cbor2

from quillring.kernel.errors import BadWire

if TYPE_CHECKING:
    from typing import Any

MAGIC = b"QR"
SPOKEN = (2, 3)
FRAME_LIMIT = 64 * 1024 * 1024
HEADS = [MAGIC + bytes([version]) for version in range(256)]


def pack(value: Any, version: int = SPOKEN[-1]) -> bytes:
    """Return the bytes of a value under a version."""
    return HEADS[version] + cbor2.dumps(value)


def unpack(data: bytes, versions: tuple[int, ...] = SPOKEN) -> tuple[int, Any]:
    """Return (version, value); garbage and versions not spoken raise BadWire."""
    if data[:2] != MAGIC:
        raise BadWire(reason="magic")
    if len(data) < 3 or data[2] not in versions:
        raise BadWire(reason="version")
    try:
        return data[2], cbor2.loads(data[3:])
    except (ValueError, cbor2.CBORError, RecursionError, MemoryError) as error:
        raise BadWire(reason="cbor") from error
