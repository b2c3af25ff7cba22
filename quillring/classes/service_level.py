"""The service level of each class on this node, over the last quarter of an hour."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.node import Node

KEPT, LATE, UNSERVED = "kept", "late", "unserved"
WINDOW_SECONDS, WINDOWS = 60, 15


class ServiceLevelMeter:
    """Counts of outcomes by class, in WINDOWS windows of WINDOW_SECONDS seconds.

    `windows` is {number of the window: {(class, outcome): count}}.
    """

    __slots__ = ("node", "windows")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.windows: dict[int, dict[tuple[str, str], int]] = {}

    def record(self, class_name: str, first_at: float | None, due_at: float) -> None:
        """Count a request: kept if its first piece was sent when due, late after that, or unserved.

        `first_at` and `due_at` are in seconds of this node; `first_at` is None if none was sent.
        """
        outcome = UNSERVED
        if first_at is not None:
            outcome = KEPT if first_at <= due_at else LATE
        window = int(self.node.now() // WINDOW_SECONDS)
        if window not in self.windows:
            oldest = window - WINDOWS
            self.windows = {n: counts for n, counts in self.windows.items() if n > oldest}
        counts = self.windows.setdefault(window, {})
        counts[class_name, outcome] = counts.get((class_name, outcome), 0) + 1

    def rows(self) -> list[dict[str, Any]]:
        """Return a row for each class: the counts kept, late and unserved, and the share kept."""
        oldest = int(self.node.now() // WINDOW_SECONDS) - WINDOWS
        totals: dict[str, dict[str, int]] = {}
        for window, counts in self.windows.items():
            if window <= oldest:
                continue
            for (class_name, outcome), count in counts.items():
                row = totals.setdefault(class_name, {KEPT: 0, LATE: 0, UNSERVED: 0})
                row[outcome] += count
        return [
            {"class": name, **row, "share_kept": round(row[KEPT] / sum(row.values()), 4)}
            for name, row in sorted(totals.items())
        ]
