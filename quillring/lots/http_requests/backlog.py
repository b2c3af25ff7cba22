"""Divide the slots for lots among the parts' leaders, earliest deadline first.

Each leader runs its own lots in the order of their due times. If the slots were divided in
proportion to the number of items, the lots of all parts would complete together, at the very end of
a burst. Instead, all items of all parts are ordered by due time, and a part's share is the number
of its items among the first of them, as many as there are slots. (Earliest deadline first: Liu and
Layland, Scheduling Algorithms for Multiprogramming, 1973.)
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING

from quillring.kernel.effects import Sleep
from quillring.kernel.records import NamedTuple
from quillring.lots.http_requests import messages
from quillring.lots.http_requests.item_table import MIN_SECONDS_TO_DUE
from quillring.lots.http_requests.messages import BacklogReport, BacklogRow

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.lots.http_requests.item_table import ItemTable

# Period and lifetime of reports, as shares of the read timeout.
REPORT_PERIOD_SHARE, REPORT_LIFETIME_SHARE = 0.4, 1.5

MIN_SHARE = 1 / 16
"""The minimum share of the slots of a part with items, whatever the backlogs of other parts."""
REPORT_DECREASE_RATIO = 0.8
"""A backlog that falls below this ratio of its last reported size is reported again."""


class DueItems(NamedTuple):
    """The number of a part's items that are due at `due_at`, by this node's clock."""

    due_at: float
    items: float


ItemsByService = Mapping[str, Sequence[DueItems]]


class RemoteBacklog(NamedTuple):
    """The last report of a part's backlog, sent by core `origin`."""

    origin: str
    expires_at: float
    by_service: ItemsByService


class SlotShare(NamedTuple):
    """One part's share of the slots of a service that all lots together may take.

    The parts, sorted by name, divide the range from 0 to `total` items into consecutive
    intervals; this part's interval is `start` to `end`.
    """

    start: float
    end: float
    total: float

    @property
    def ratio(self) -> float:
        """The share as a ratio, above 0 and at most 1; 1 for an empty interval."""
        return (self.end - self.start) / self.total if self.end > self.start else 1.0

    def part_slots(self, slots: int, offset: float) -> int:
        """Return how many of a replica's slots this part may use.

        The counts of all parts add up to `slots`. `offset` (0 to 1, spread evenly over the
        replicas) assigns the remainder of the division to different parts at different replicas,
        which gives each part its share over all replicas.
        """
        if self.end <= self.start:
            return slots
        first, last = slots * self.start / self.total, slots * self.end / self.total
        return int(last + offset) - int(first + offset)


def first_items_by_part(
    rows_by_part: Mapping[str, Sequence[DueItems]], now: float, count: float
) -> dict[str, float]:
    """Return, by part, how many of the first `count` items over all parts are that part's.

    The order is the one in which each leader runs its items: earliest due first, with items that
    can no longer meet their due time last. Each part gets at least MIN_SHARE of `count`, as far as
    it has items, which prevents starvation.
    """
    min_items = max(1, count * MIN_SHARE)
    assigned: dict[str, float] = {
        part: min(min_items, sum(row.items for row in rows)) for part, rows in rows_by_part.items()
    }
    unassigned_count, guaranteed_left = max(0, count - sum(assigned.values())), dict(assigned)
    ordered_rows = sorted(
        (row.due_at - now < MIN_SECONDS_TO_DUE, row.due_at, part, row.items)
        for part, part_rows in rows_by_part.items()
        for row in part_rows
    )
    for _is_overdue, _due_at, part, items in ordered_rows:
        already_assigned = min(items, guaranteed_left[part])
        guaranteed_left[part] -= already_assigned
        newly_assigned = min(items - already_assigned, unassigned_count)
        assigned[part] += newly_assigned
        unassigned_count -= newly_assigned
    return assigned


def count_items(by_service: ItemsByService) -> float:
    """Return the number of items over all services."""
    return sum(row.items for rows in by_service.values() for row in rows)


class Backlog:
    """The backlogs of all parts, exchanged between the cores.

    Each core reports the backlogs of the parts it leads when one appears or disappears, when one
    shrinks by a fifth, and every 0.4 read timeouts. A report expires after 1.5 read timeouts and
    counts only while its core is reachable. While leaders have different reports they start too
    many or too few items: a full replica refuses, and the item is dispatched again.

    Attributes
    ----------
    local
        Backlogs of the parts led here, by part.
    remote
        Last reports of the other cores, by part.
    reported_items
        Number of items in the last report sent, by part.
    """

    __slots__ = ("node", "local", "remote", "reported_items")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.local: dict[str, ItemsByService] = {}
        self.remote: dict[str, RemoteBacklog] = {}
        self.reported_items: dict[str, float] = {}
        node.handle(messages.BACKLOG, self.on_report)

    def on_report(self, body: messages.Wire, origin: str) -> None:
        """Replace all reports of another core by a new one.

        A report of the previous version has no due times. Its items count as due at the earliest
        time that does not rank them last while the report is valid.
        """
        report, now = BacklogReport.from_wire(body), self.node.now()
        expires_at = now + self.node.bounds.read_timeout * REPORT_LIFETIME_SHARE
        assumed_due_at = expires_at + MIN_SECONDS_TO_DUE
        self.remote = {part: row for part, row in self.remote.items() if row.origin != origin}
        for part, items_by_service in report.items.items():
            by_service = {
                service: [DueItems(now + row.due_in_seconds, row.items) for row in rows]
                for service, rows in report.rows.get(part, {}).items()
            }
            if not by_service:
                by_service = {
                    service_name: [DueItems(assumed_due_at, items)]
                    for service_name, items in items_by_service.items()
                }
            self.remote[part] = RemoteBacklog(origin, expires_at, by_service)

    def update(self, part: str, item_table: ItemTable | None) -> None:
        """Update the backlog of a part led here, and send a report immediately if it is due.

        It is due when a backlog appeared, disappeared or fell below REPORT_DECREASE_RATIO of its
        last reported size.

        `item_table` is None for a part that is no longer led here.
        """
        by_service = self._due_items(item_table) if item_table is not None else {}
        self.local = {name: rows for name, rows in self.local.items() if name != part}
        if by_service:
            self.local[part] = by_service
        has_decreased = any(
            count_items(rows) < self.reported_items[name] * REPORT_DECREASE_RATIO
            for name, rows in self.local.items()
            if name in self.reported_items
        )
        if has_decreased or set(self.reported_items) != set(self.local):
            self.report()

    def _due_items(self, item_table: ItemTable) -> ItemsByService:
        """Return the part's pending items by service; a split divides the items of each lot."""
        by_service: dict[str, list[DueItems]] = {}
        forwards = self.node.find("forwards")
        for lot in item_table.lots.values():
            forward = forwards.find_by_name(lot.forward)
            split = forward.split if forward is not None else []
            total = sum(weight for _service, weight in split)
            for service, weight in split:
                row = DueItems(lot.due_at, len(lot.items) * weight / total)
                by_service.setdefault(service, []).append(row)
        return by_service

    def report(self) -> None:
        """Send the local backlogs to all reachable cores."""
        self.reported_items = {part: count_items(rows) for part, rows in self.local.items()}
        body = self._local_report().to_wire()
        ownership, nifty = self.node.find("ownership"), self.node.find("nifty")
        for name in ownership.cores():
            if name != self.node.me.name and nifty.reaches(name):
                self.node.send_oneway(name, messages.BACKLOG, body)

    def _local_report(self) -> BacklogReport:
        """Return a report of the local backlogs, with due times relative to now."""
        now = self.node.now()
        items = {
            part: {service: sum(row.items for row in rows) for service, rows in by_service.items()}
            for part, by_service in self.local.items()
        }
        rows = {
            part: {
                service: [BacklogRow(row.due_at - now, row.items) for row in due_items]
                for service, due_items in by_service.items()
            }
            for part, by_service in self.local.items()
        }
        return BacklogReport(items, rows)

    def run(self) -> Coroutine:
        """Report periodically while a part led here has a backlog."""
        while True:
            yield Sleep(self.node.bounds.read_timeout * REPORT_PERIOD_SHARE)
            if self.local:
                self.report()

    def slot_share(self, part: str, service: str, slots: int) -> SlotShare:
        """Return a part's share of the `slots` of a service that lots may take.

        The part gets all of them if no other part has items for the service.
        """
        now, nifty = self.node.now(), self.node.find("nifty")
        rows = {
            name: report.by_service.get(service, [])
            for name, report in self.remote.items()
            if report.expires_at > now and name not in self.local and nifty.reaches(report.origin)
        }
        rows |= {name: by_service.get(service, []) for name, by_service in self.local.items()}
        items = first_items_by_part(rows, now, slots)
        start = sum(items[name] for name in sorted(items) if name < part)
        return SlotShare(start, start + items.get(part, 0), sum(items.values()))
