"""What the owner of a part knows of its raw lots' items: which wait, which run and where."""

import math

from quillring.lots.raw_commands import raw_lots

CAN_STILL = 1.0
AVOIDED_SECONDS = 1.0


class RawItem:
    """One item without a result: how far its text is, and the run that is under way."""

    __slots__ = ("lot", "number", "last", "text", "avoided", "troubles", "readyAt", "run")

    def __init__(self, lot, number):
        self.lot, self.number = lot, number
        self.last, self.text = None, b""
        self.avoided = frozenset()
        self.troubles = 0
        self.readyAt = 0
        self.run = None

    def avoided_at(self, now):
        """Return the replicas to leave out; none once the item waited in vain for a second."""
        return self.avoided if now - self.readyAt < AVOIDED_SECONDS else frozenset()


class OwnedRun:
    """A run as its owner sees it; `id` is the worker's."""

    __slots__ = ("id", "worker", "service", "replica", "startedAt", "heardAt")

    def __init__(self, runId, worker, service, replica, now):
        self.id, self.worker = runId, worker
        self.service, self.replica = service, replica
        self.startedAt = self.heardAt = now


class OpenLot:
    """A lot with items left: when it is due, and since when this owner surely knows it."""

    __slots__ = ("name", "forward", "dueAt", "knownAt", "retainSeconds", "items")

    def __init__(self, name, lot, now, wall):
        age = min(max(0.0, wall - lot["at"] / 1000), lot["due_ms"] / 1000)
        self.name, self.forward = name, lot["forward"]
        self.dueAt = now - age + lot["due_ms"] / 1000
        self.knownAt = now
        self.retainSeconds = lot["retain_ms"] / 1000
        self.items = {number: RawItem(name, number) for number in lot["items"]}

    def waiting(self, now):
        """Return the items that may start now, in the order they were handed in."""
        return [i for i in self.items.values() if i.run is None and i.readyAt <= now]


class RawLedger:
    """The items of one term of a part's ownership, kept in step by the batches it commits."""

    __slots__ = (
        "node", "owner", "lots", "isReported", "renewedAt", "runsByReplica", "runsByWorker",
        "overSince", "restUntil",
    )

    def __init__(self, node, owner):
        self.node, self.owner = node, owner
        self.isReported, self.renewedAt = False, -math.inf
        self.runsByReplica, self.runsByWorker = {}, {}
        self.lots, self.overSince, self.restUntil = {}, {}, {}
        for name in raw_lots(owner.state):
            self.sync(name)

    def sync(self, name):
        """Bring one lot in step with the state; returns the runs of items that need none more."""
        lot, known = raw_lots(self.owner.state).get(name), self.lots.get(name)
        if lot is None or not lot["items"]:
            self.lots.pop(name, None)
            self.overSince.setdefault(name, self.node.now())
            goneItems = [] if known is None else list(known.items.values())
        elif known is None:
            self.lots[name] = OpenLot(name, lot, self.node.now(), self.node.world.wall())
            return []
        else:
            goneItems = [item for n, item in known.items.items() if n not in lot["items"]]
            for item in goneItems:
                del known.items[item.number]
        leftRuns = [(item, item.run) for item in goneItems if item.run is not None]
        for item, _ in leftRuns:
            self.end_run(item)
        return leftRuns

    def long_over(self, seconds):
        """Return the names of lots of which nothing has waited for so many seconds."""
        now, held = self.node.now(), raw_lots(self.owner.state)
        self.overSince = {name: at for name, at in self.overSince.items() if name in held}
        return [name for name, at in self.overSince.items() if now - at > seconds]

    def find(self, name, number):
        """Return the item without a result of this lot and number, or None."""
        lot = self.lots.get(name)
        return None if lot is None else lot.items.get(number)

    def begin_run(self, item, run):
        """Note that an item runs."""
        item.run = run
        self.runsByReplica[run.replica] = self.runsByReplica.get(run.replica, 0) + 1
        self.runsByWorker[run.worker] = self.runsByWorker.get(run.worker, 0) + 1

    def end_run(self, item):
        """Note that an item's run is over, whatever came of it."""
        run, item.run = item.run, None
        if run is not None:
            self.runsByReplica[run.replica] -= 1
            self.runsByWorker[run.worker] -= 1

    def rest_worker(self, name):
        """Give a worker nothing for a moment: it refused, or did not answer."""
        self.restUntil[name] = self.node.now() + self.node.bounds.reading

    def rests(self, name):
        """Tell whether a worker gets nothing now."""
        return self.restUntil.get(name, 0) > self.node.now()

    def running(self):
        """Return the items that run."""
        return [i for lot in self.lots.values() for i in lot.items.values() if i.run is not None]

    def order(self, now):
        """Return the lots, those due soonest first; those past hope come after the rest."""
        def rank(lot):
            return lot.dueAt - now < CAN_STILL, lot.dueAt, lot.name

        return sorted(self.lots.values(), key=rank)
