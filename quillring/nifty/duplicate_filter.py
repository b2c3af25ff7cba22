"""Deduplication of received messages: a route change can duplicate or reorder them."""

from __future__ import annotations

WINDOW_SEQUENCES = 4096


class DuplicateFilter:
    """Tracks the sequence numbers received from one incarnation of an origin.

    A sequence number that is WINDOW_SEQUENCES or more below the highest one counts as received: a
    first copy that arrives that late is dropped, as if it had been lost.
    """

    __slots__ = ("incarnation", "highest", "received")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.highest = 0
        self.received: set[int] = set()

    def is_first_copy(self, sequence: int) -> bool:
        """Return whether the sequence number is new, and record it as received."""
        if sequence <= self.highest - WINDOW_SEQUENCES or sequence in self.received:
            return False
        self.received.add(sequence)
        self.highest = max(self.highest, sequence)
        if len(self.received) > WINDOW_SEQUENCES * 2:
            self.received = {s for s in self.received if s > self.highest - WINDOW_SEQUENCES}
        return True
