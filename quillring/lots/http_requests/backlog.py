"""How the parts' owners share the slots that lots may take: what is due soonest comes first.

Each owner runs its own lots in the order in which they are due. Portions by the number of items
alone would have the lots of all parts end together, at the very end of a burst, so a portion counts
only items among the next ones over all parts.
"""

from typing import NamedTuple

from quillring.kernel.effects import Sleep
from quillring.lots.http_requests.item_table import CAN_STILL

TELL_PERIOD, HEARD_FOR = 0.4, 1.5
LEAST_SHARE = 1 / 16
TOLD_ANEW = 0.8


class DueItems(NamedTuple):
    """How many items of a part are due at one time, by this node's clock."""

    due_at: float
    items: float


class RemoteBacklog(NamedTuple):
    """What a part's owner told: {service: its DueItems}, and until when that counts."""

    origin: str
    until: float
    by_service: dict


class SlotShare:
    """One part's portion of what all parts may have running of a service."""

    __slots__ = ("start", "end", "total")

    def __init__(self, start, end, total):
        self.start, self.end, self.total = start, end, total

    @property
    def ratio(self):
        """The portion as a ratio, above 0 and at most 1."""
        return (self.end - self.start) / self.total if self.end > self.start else 1.0

    def room(self, slots, phase):
        """Return how many of a replica's slots are this part's.

        The portions of all parts add up to the slots; `phase` (0 to 1, spread evenly over the
        replicas) lets another part have the odd slot at another replica, so that over all of them
        a part has as many as its portion says.
        """
        if self.end <= self.start:
            return slots
        first, last = slots * self.start / self.total, slots * self.end / self.total
        return int(last + phase) - int(first + phase)


def first_items_by_part(rows_by_part, now, count):
    """Return {part: its items among the `count` that come first over all parts}.

    The order is that of each part's owner: due soonest first, past hope last. A few items of each
    part come before, so that it goes on whatever the others are held up by.
    """
    least = max(1, count * LEAST_SHARE)
    taken = {
        part: min(least, sum(row.items for row in rows)) for part, rows in rows_by_part.items()
    }
    left, before = max(0, count - sum(taken.values())), dict(taken)
    rows = [
        (row.due_at - now < CAN_STILL, row.due_at, part, row.items)
        for part, part_rows in rows_by_part.items()
        for row in part_rows
    ]
    for _, _, part, items in sorted(rows):
        counted = min(items, before[part])
        before[part] -= counted
        more = min(items - counted, left)
        taken[part] += more
        left -= more
    return taken


def count_items(by_service):
    """Return how many items there are over all services."""
    return sum(row.items for rows in by_service.values() for row in rows)


class Backlog:
    """What the owners of all parts have to run, told between cores.

    Each core tells what it owns when that begins or ends or has fallen by a fifth, and every 0.4 of
    the reading bound in between; what was not told again for 1.5 of it counts no more, nor does
    what a core told that is lost. Owners that differ in what they heard start too much or too
    little for a moment: a full replica says so, and nothing is lost.
    """

    __slots__ = ("node", "own", "heard", "told_items")

    def __init__(self, node):
        self.node = node
        self.own = {}
        self.heard = {}
        self.told_items = {}
        node.handle("raw.demand", self.on_demand)

    def on_demand(self, body, origin):
        """Take what another core has to run.

        One of a former version tells no due times: what it has counts as due soon.
        """
        now = self.node.now()
        until = now + self.node.bounds.read_timeout * HEARD_FOR
        self.heard = {part: row for part, row in self.heard.items() if row.origin != origin}
        due = body.get("due") or {}
        for part, items_by_service in body["parts"].items():
            by_service = {
                service: [DueItems(now + seconds, count) for seconds, count in rows]
                for service, rows in due.get(part, {}).items()
            } or {s: [DueItems(until + CAN_STILL, n)] for s, n in items_by_service.items()}
            self.heard[part] = RemoteBacklog(origin, until, by_service)

    def note(self, part, ledger):
        """Note what a ledger of an owned part has left; tell the others when that matters."""
        by_service = self._due_items(ledger) if ledger is not None else {}
        self.own = {name: rows for name, rows in self.own.items() if name != part}
        if by_service:
            self.own[part] = by_service
        has_fallen = any(
            count_items(rows) < self.told_items[name] * TOLD_ANEW
            for name, rows in self.own.items()
            if name in self.told_items
        )
        if has_fallen or set(self.told_items) != set(self.own):
            self.tell()

    def _due_items(self, ledger):
        by_service, forwards = {}, self.node.find("forwards")
        for lot in ledger.lots.values():
            forward = forwards.find_by_name(lot.forward)
            split = forward.split if forward is not None else []
            total = sum(weight for _, weight in split)
            for service, weight in split:
                row = DueItems(lot.due_at, len(lot.items) * weight / total)
                by_service.setdefault(service, []).append(row)
        return by_service

    def tell(self):
        """Tell the other cores what waits here; `parts` is what the former version reads."""
        now = self.node.now()
        self.told_items = {part: count_items(by_service) for part, by_service in self.own.items()}
        parts, due = {}, {}
        for part, by_service in self.own.items():
            parts[part] = {s: sum(row.items for row in rows) for s, rows in by_service.items()}
            due[part] = {
                service: [[row.due_at - now, row.items] for row in rows]
                for service, rows in by_service.items()
            }
        ownership, nifty = self.node.find("ownership"), self.node.find("nifty")
        for name in ownership.cores():
            if name != self.node.me.name and nifty.reaches(name):
                self.node.send_oneway(name, "raw.demand", {"parts": parts, "due": due})

    def run(self):
        """Coroutine: tell again while anything waits."""
        while True:
            yield Sleep(self.node.bounds.read_timeout * TELL_PERIOD)
            if self.own:
                self.tell()

    def portion(self, part, service, slots):
        """Return a part's portion of the slots that lots may take of a service.

        All of it where no other part has items for it.
        """
        now, nifty = self.node.now(), self.node.find("nifty")
        rows = {
            name: told.by_service.get(service, [])
            for name, told in self.heard.items()
            if told.until > now and name not in self.own and nifty.reaches(told.origin)
        }
        rows |= {name: by_service.get(service, []) for name, by_service in self.own.items()}
        items = first_items_by_part(rows, now, slots)
        start = sum(items[name] for name in sorted(items) if name < part)
        return SlotShare(start, start + items.get(part, 0), sum(items.values()))
