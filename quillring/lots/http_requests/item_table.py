"""What the leader of a part knows of its lots' items: which wait, which run and where."""

import math

from quillring.lots.http_requests.lot_table import lot_records

CAN_STILL = 1.0
AVOIDED_SECONDS = 1.0


class PendingItem:
    """One item without a result: how far its text is, and the run that is under way."""

    __slots__ = ("lot", "number", "last", "text", "avoided", "errors", "ready_at", "run")

    def __init__(self, lot, number):
        self.lot, self.number = lot, number
        self.last, self.text = None, b""
        self.avoided = frozenset()
        self.errors = 0
        self.ready_at = 0
        self.run = None

    def avoided_at(self, now):
        """Return the replicas to leave out; none once the item waited in vain for a second."""
        return self.avoided if now - self.ready_at < AVOIDED_SECONDS else frozenset()


class DispatchedRun:
    """A run as its owner sees it; `id` is the worker's."""

    __slots__ = ("id", "worker", "service", "replica", "started_at", "heard_at")

    def __init__(self, run_id, worker, service, replica, now):
        self.id, self.worker = run_id, worker
        self.service, self.replica = service, replica
        self.started_at = self.heard_at = now


class OpenLot:
    """A lot with items left: when it is due, and since when this owner surely knows it."""

    __slots__ = ("name", "forward", "due_at", "known_at", "retain_seconds", "items")

    def __init__(self, name, lot, now, age):
        self.name, self.forward = name, lot["forward"]
        self.due_at = now - age + lot["due_ms"] / 1000
        self.known_at = now
        self.retain_seconds = lot["retain_ms"] / 1000
        self.items = {number: PendingItem(name, number) for number in lot["items"]}

    def waiting(self, now):
        """Return the items that may start now, in the order they were handed in."""
        return [i for i in self.items.values() if i.run is None and i.ready_at <= now]


def age_by_wall(lot, wall):
    """Return how old a lot was when its part changed hands, in seconds, as wall clocks tell it.

    They may differ between machines, so it is only used for the order in which lots run.
    """
    return min(max(0.0, wall - lot["at"] / 1000), lot["due_ms"] / 1000)


class ItemTable:
    """The items of one term of a part's ownership, kept in step by the batches it commits."""

    __slots__ = (
        "node",
        "owner",
        "lots",
        "is_reported",
        "renewed_at",
        "runs_by_replica",
        "runs_by_worker",
        "over_since",
        "rest_until",
    )

    def __init__(self, node, owner):
        self.node, self.owner = node, owner
        self.is_reported, self.renewed_at = False, -math.inf
        self.runs_by_replica, self.runs_by_worker = {}, {}
        self.lots, self.over_since, self.rest_until = {}, {}, {}
        for name, lot in lot_records(owner.state).items():
            self.sync(name, age_by_wall(lot, node.runtime.wall_time()))

    def sync(self, name, age=0.0):
        """Bring one lot in step with the state; returns the runs of items that need none more.

        `age` is that of a lot which this term did not commit itself, in seconds.
        """
        lot, known = lot_records(self.owner.state).get(name), self.lots.get(name)
        if lot is None or not lot["items"]:
            self.lots.pop(name, None)
            self.over_since.setdefault(name, self.node.now())
            gone_items = [] if known is None else list(known.items.values())
        elif known is None:
            self.lots[name] = OpenLot(name, lot, self.node.now(), age)
            return []
        else:
            gone_items = [item for n, item in known.items.items() if n not in lot["items"]]
            for item in gone_items:
                del known.items[item.number]
        left_runs = [(item, item.run) for item in gone_items if item.run is not None]
        for item, _ in left_runs:
            self.end_run(item)
        return left_runs

    def long_over(self, seconds):
        """Return the names of lots of which nothing has waited for so many seconds."""
        now, held = self.node.now(), lot_records(self.owner.state)
        self.over_since = {name: at for name, at in self.over_since.items() if name in held}
        return [name for name, at in self.over_since.items() if now - at > seconds]

    def find(self, name, number):
        """Return the item without a result of this lot and number, or None."""
        lot = self.lots.get(name)
        return None if lot is None else lot.items.get(number)

    def begin_run(self, item, run):
        """Note that an item runs."""
        item.run = run
        self.runs_by_replica[run.replica] = self.runs_by_replica.get(run.replica, 0) + 1
        self.runs_by_worker[run.worker] = self.runs_by_worker.get(run.worker, 0) + 1

    def end_run(self, item):
        """Note that an item's run is over, whatever came of it."""
        run, item.run = item.run, None
        if run is not None:
            self.runs_by_replica[run.replica] -= 1
            self.runs_by_worker[run.worker] -= 1

    def rest_worker(self, name):
        """Give a worker nothing for a moment: it refused, or did not answer."""
        self.rest_until[name] = self.node.now() + self.node.bounds.read_timeout

    def rests(self, name):
        """Tell whether a worker gets nothing now."""
        return self.rest_until.get(name, 0) > self.node.now()

    def running(self):
        """Return the items that run."""
        return [i for lot in self.lots.values() for i in lot.items.values() if i.run is not None]

    def order(self, now):
        """Return the lots, those due soonest first; those past hope come after the rest."""

        def rank(lot):
            return lot.due_at - now < CAN_STILL, lot.due_at, lot.name

        return sorted(self.lots.values(), key=rank)
