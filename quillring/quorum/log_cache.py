"""The entries applied lately, kept so that who missed a few of them needs no whole state."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

import cbor2

KEPT_ENTRIES = 4096
KEPT_WEIGHT = 12 << 20


class AppliedEntry(NamedTuple):
    """An applied entry of the log and its bytes on the wire."""

    index: int
    batch: list
    weight: int


class LogCache:
    """Consecutive applied entries, in bounded number and weight (bytes)."""

    __slots__ = ("entries", "weight", "most_weight")

    def __init__(self, most_weight: int = KEPT_WEIGHT) -> None:
        self.entries = deque()
        self.weight = 0
        self.most_weight = most_weight

    def copy(self) -> LogCache:
        """Return the same entries for another term, which adds its own."""
        other = LogCache(self.most_weight)
        other.entries, other.weight = self.entries.copy(), self.weight
        return other

    @property
    def first(self) -> int | None:
        """The index of the oldest entry kept, or None."""
        return self.entries[0].index if self.entries else None

    def add(self, index: int, batch: list[dict]) -> None:
        """Remember an applied entry; the oldest ones go when there are too many."""
        if self.entries and self.entries[-1].index != index - 1:
            self.clear()
        weight = len(cbor2.dumps(batch))
        self.entries.append(AppliedEntry(index, batch, weight))
        self.weight += weight
        self._trim()

    def put_before(self, entries: list) -> None:
        """Take [[index, batch], ...] that end where the entries kept begin; else change nothing."""
        if self.entries and entries and entries[-1][0] != self.first - 1:
            return
        for index, batch in reversed(entries):
            weight = len(cbor2.dumps(batch))
            self.entries.appendleft(AppliedEntry(index, batch, weight))
            self.weight += weight
        self._trim()

    def weight_since(self, applied: int) -> int:
        """Return the bytes of the entries kept after an index."""
        return sum(entry.weight for entry in self.entries if entry.index > applied)

    def _trim(self):
        while len(self.entries) > KEPT_ENTRIES or self.weight > self.most_weight:
            self.weight -= self.entries.popleft().weight

    def clear(self) -> None:
        """Forget all entries."""
        self.entries.clear()
        self.weight = 0

    def since(self, applied: int, limit: int | None = None) -> list | None:
        """Return [[index, batch], ...] after an index, or None when some are gone.

        With a limit, in bytes, no more than it allows, but one at least.
        """
        if not self.entries or self.entries[0].index > applied + 1:
            return None
        chosen, weight = [], 0
        for index, batch, entry_weight in self.entries:
            if index <= applied:
                continue
            weight += entry_weight
            if chosen and limit is not None and weight > limit:
                break
            chosen.append([index, batch])
        return chosen
