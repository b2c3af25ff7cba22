"""Which of the commands that wait go into one entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import cbor2

if TYPE_CHECKING:
    from quillring.kernel.effects import Signal

BATCH_LIMIT = 64
BATCH_BYTES = 256 << 10


def split_batch(queue: list[tuple[dict, Signal]]) -> tuple[list, list]:
    """Return (the commands of the next entry, the rest) of [(command, signal), ...].

    An entry holds at most `BATCH_LIMIT` commands and `BATCH_BYTES` encoded, but one at least.
    """
    count, weight = 0, 0
    for command, _ in queue[:BATCH_LIMIT]:
        weight += len(cbor2.dumps(command))
        if count and weight > BATCH_BYTES:
            break
        count += 1
    return queue[:count], queue[count:]
