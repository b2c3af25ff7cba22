"""Service level of each class on this node over the last 15 minutes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.node import Node

ON_TIME, LATE, UNSERVED = "kept", "late", "unserved"
WINDOW_SECONDS, WINDOW_COUNT = 60, 15


class ServiceLevelMeter:
    """Counts outcomes by class over WINDOW_COUNT windows of WINDOW_SECONDS each.

    `windows` is {window number: {(class, outcome): count}}.
    """

    __slots__ = ("node", "windows")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.windows: dict[int, dict[tuple[str, str], int]] = {}

    def record(self, class_name: str, first_piece_at: float | None, deadline: float) -> None:
        """Count a request as on time, late or unserved.

        It is on time if its first piece was sent by the deadline, and unserved if `first_piece_at`
        is None. Both times are in seconds of the node's clock.
        """
        outcome = UNSERVED
        if first_piece_at is not None:
            outcome = ON_TIME if first_piece_at <= deadline else LATE
        window = int(self.node.now() // WINDOW_SECONDS)
        if window not in self.windows:
            oldest = window - WINDOW_COUNT
            self.windows = {n: counts for n, counts in self.windows.items() if n > oldest}
        counts = self.windows.setdefault(window, {})
        counts[class_name, outcome] = counts.get((class_name, outcome), 0) + 1

    def rows(self) -> list[dict[str, Any]]:
        """Return a row per class with the counts of outcomes and the share of requests on time."""
        oldest = int(self.node.now() // WINDOW_SECONDS) - WINDOW_COUNT
        totals: dict[str, dict[str, int]] = {}
        for window, counts in self.windows.items():
            if window <= oldest:
                continue
            for (class_name, outcome), count in counts.items():
                row = totals.setdefault(class_name, {ON_TIME: 0, LATE: 0, UNSERVED: 0})
                row[outcome] += count
        return [
            {"class": name, **row, "share_kept": round(row[ON_TIME] / sum(row.values()), 4)}
            for name, row in sorted(totals.items())
        ]
