"""A cache of the last applied entries, from which a replica that missed a few can catch up."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import cbor2

from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from quillring.quorum.messages import Batch, WireEntry

MAX_ENTRIES = 4096
MAX_BYTES = 12 << 20


class AppliedEntry(NamedTuple):
    """An applied entry of the log, and the size of its encoded batch in bytes."""

    log_index: int
    batch: Batch
    size: int

    @classmethod
    def of(cls, log_index: int, batch: Batch) -> AppliedEntry:
        """Return the entry with its size."""
        return cls(log_index, batch, len(cbor2.dumps(batch)))


class LogCache:
    """Consecutive applied entries: at most MAX_ENTRIES of `max_bytes` together.

    `size` is the size of their encoded batches in bytes.
    """

    __slots__ = ("entries", "size", "max_bytes")

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        self.entries: deque[AppliedEntry] = deque()
        self.size = 0
        self.max_bytes = max_bytes

    def copy(self) -> LogCache:
        """Return an independent copy, for another term."""
        other = LogCache(self.max_bytes)
        other.entries, other.size = self.entries.copy(), self.size
        return other

    @property
    def first(self) -> int | None:
        """The index of the oldest entry in the cache, or None if it is empty."""
        return self.entries[0].log_index if self.entries else None

    def add(self, log_index: int, batch: Batch) -> None:
        """Add an applied entry and evict the oldest ones above the limits.

        An entry that does not follow the last one replaces all.
        """
        if self.entries and self.entries[-1].log_index != log_index - 1:
            self.clear()
        entry = AppliedEntry.of(log_index, batch)
        self.entries.append(entry)
        self.size += entry.size
        self._trim()

    def put_before(self, entries: list[WireEntry]) -> None:
        """Add [[index, batch], ...] before the oldest entry; ignore them if there is a gap."""
        if not entries:
            return
        last_index, _ = entries[-1]
        if self.first is not None and last_index != self.first - 1:
            return
        for log_index, batch in reversed(entries):
            entry = AppliedEntry.of(log_index, batch)
            self.entries.appendleft(entry)
            self.size += entry.size
        self._trim()

    def bytes_since(self, applied: int) -> int:
        """Return the size in bytes of the cached entries after an index."""
        return sum(entry.size for entry in self.entries if entry.log_index > applied)

    def _trim(self) -> None:
        while len(self.entries) > MAX_ENTRIES or self.size > self.max_bytes:
            self.size -= self.entries.popleft().size

    def clear(self) -> None:
        """Remove all entries."""
        self.entries.clear()
        self.size = 0

    def since(self, applied: int, limit: int | None = None) -> list[WireEntry] | None:
        """Return [[index, batch], ...] after an index, or None when some are no longer cached.

        With a limit, at most `limit` bytes of entries, but at least one entry.
        """
        if not self.entries or self.entries[0].log_index > applied + 1:
            return None
        chosen: list[WireEntry] = []
        size = 0
        for entry in self.entries:
            if entry.log_index <= applied:
                continue
            size += entry.size
            if chosen and limit is not None and size > limit:
                break
            chosen.append([entry.log_index, entry.batch])
        return chosen
