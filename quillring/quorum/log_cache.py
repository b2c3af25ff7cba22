"""A cache of the most recently applied log entries, for replicas that need to catch up."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import cbor2

from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from quillring.quorum.messages import Batch, WireEntry

MAX_CACHED_ENTRIES = 4096
MAX_BYTES = 12 << 20


class AppliedEntry(NamedTuple):
    """An applied log entry, and the size of its encoded batch in bytes."""

    log_index: int
    batch: Batch
    batch_bytes: int

    @classmethod
    def from_batch(cls, log_index: int, batch: Batch) -> AppliedEntry:
        """Return the entry with the size of its batch in CBOR."""
        return cls(log_index, batch, len(cbor2.dumps(batch)))


class LogCache:
    """Consecutive applied entries: at most MAX_CACHED_ENTRIES, and at most `max_bytes` in total.

    `total_bytes` is the total size of their encoded batches.
    """

    __slots__ = ("entries", "total_bytes", "max_bytes")

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        self.entries: deque[AppliedEntry] = deque()
        self.total_bytes = 0
        self.max_bytes = max_bytes

    def copy(self) -> LogCache:
        """Return an independent copy, for a new term of the same core."""
        other = LogCache(self.max_bytes)
        other.entries, other.total_bytes = self.entries.copy(), self.total_bytes
        return other

    @property
    def first_index(self) -> int | None:
        """The index of the oldest entry in the cache, or None if it is empty."""
        return self.entries[0].log_index if self.entries else None

    def add(self, log_index: int, batch: Batch) -> None:
        """Append an applied entry, then evict the oldest entries until the limits are met.

        If there is a gap between the last entry and this one, the cache is cleared first.
        """
        if self.entries and self.entries[-1].log_index != log_index - 1:
            self.clear()
        entry = AppliedEntry.from_batch(log_index, batch)
        self.entries.append(entry)
        self.total_bytes += entry.batch_bytes
        self._evict_oldest()

    def prepend(self, entries: list[WireEntry]) -> None:
        """Insert [[index, batch], ...] before the oldest entry, unless that would leave a gap."""
        if not entries:
            return
        last_index, _ = entries[-1]
        if self.first_index is not None and last_index != self.first_index - 1:
            return
        for log_index, batch in reversed(entries):
            entry = AppliedEntry.from_batch(log_index, batch)
            self.entries.appendleft(entry)
            self.total_bytes += entry.batch_bytes
        self._evict_oldest()

    def bytes_after(self, applied: int) -> int:
        """Return the total size in bytes of the cached entries after index `applied`."""
        return sum(entry.batch_bytes for entry in self.entries if entry.log_index > applied)

    def _evict_oldest(self) -> None:
        """Remove the oldest entries until the limits are met."""
        while len(self.entries) > MAX_CACHED_ENTRIES or self.total_bytes > self.max_bytes:
            self.total_bytes -= self.entries.popleft().batch_bytes

    def clear(self) -> None:
        """Remove all entries."""
        self.entries.clear()
        self.total_bytes = 0

    def entries_after(self, applied: int, limit: int | None = None) -> list[WireEntry] | None:
        """Return [[index, batch], ...] after index `applied`, or None if any of them is not cached.

        With a limit, returns at most `limit` bytes of batches, but at least one entry if any.
        """
        if not self.entries or self.entries[0].log_index > applied + 1:
            return None
        selected: list[WireEntry] = []
        selected_bytes = 0
        for entry in self.entries:
            if entry.log_index <= applied:
                continue
            selected_bytes += entry.batch_bytes
            if selected and limit is not None and selected_bytes > limit:
                break
            selected.append([entry.log_index, entry.batch])
        return selected
