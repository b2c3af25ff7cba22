"""Deduplication of messages that may be doubled or reordered on a route switch."""

WINDOW = 4096


class SeenWindow:
    """The sequences seen from one incarnation of an origin; far older ones count as seen."""

    __slots__ = ("incarnation", "top", "recent")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.top = 0
        self.recent = set()

    def first_time(self, sequence: int) -> bool:
        """Tell whether the sequence is new, and remember it."""
        if sequence <= self.top - WINDOW or sequence in self.recent:
            return False
        self.recent.add(sequence)
        self.top = max(self.top, sequence)
        if len(self.recent) > WINDOW * 2:
            self.recent = {s for s in self.recent if s > self.top - WINDOW}
        return True
