"""The fleet that histories are recorded on: small, founded, with a route of lots."""

from proving.histories.calls import ZONES
from proving.histories.operations import Done, History, Operation, Snapshot, Unknown
from proving.sim.fleet import SimFleet
from proving.sim.raw_replicas import RawBackends, RawReplica, RawRuntime
from quillring.rollout.schema import EMPTY_CONFIGURATION

SIZES = {"sizes": {"edge": 2, "core": 3, "store": 4}, "replicas": []}
READY_AT = 1.5
REPLICAS, SLOTS = 3, 8
SAMPLE_SECONDS = 0.4
ITEM_BYTES = b"body"
ITEM_TOKENS = 10


class HistoryRuntime(RawRuntime):
    """A process whose coroutines go on in any order after a freeze, as loops of events have it."""

    def thaw(self):
        """Wake a frozen process; its coroutines go on in an order that is drawn."""
        if self.thaw_event is not None:
            self.random.shuffle(self.thaw_event.callbacks)
        super().thaw()


class HistoryFleet(SimFleet):
    """A simulated fleet whose processes speak to raw replicas."""

    runtime_class = HistoryRuntime


class HistoryStage:
    """A small fleet that records what its clients call and what its nodes hold."""

    def __init__(self, seed):
        self.sim = HistoryFleet("ferrowa", seed, SIZES)
        self.sim.configuration = EMPTY_CONFIGURATION
        self.env, self.chance = self.sim.env, self.sim.chance
        self.replicas, self.counts = {}, {}
        self.arrivals, self.completed_runs = [], []
        self.zones = [*ZONES]
        self.sim.backends.raw = RawBackends(self)
        self.history = History(seed)
        self.sim.start_all()
        zones = sorted({node.me.zone for node in self.sim.nodes.values()})
        for number in range(REPLICAS):
            zone = zones[number % len(zones)]
            self.replicas[f"i-{number}"] = RawReplica(self, f"i-{number}", zone, SLOTS)
        rows = self.sim.rows
        self.history.stores = tuple((n, rows[n]["domain"]) for n in self.sim.names("store"))
        self.env.process(self.sim.found())
        self.env.run(until=READY_AT)
        self.env.process(self._sample())

    def items(self, name, digest, count):
        """Return the items of a lot; another digest makes other bodies."""
        return [
            [
                f"{name}-{number}",
                f"/bulk/{number}",
                [["Model", "m"]],
                ITEM_BYTES + digest.encode(),
                ITEM_TOKENS,
            ]
            for number in range(count)
        ]

    def record(self, client, node, target, order, begin, answer):
        """Keep one operation that ends now, or has no end when its outcome is unknown."""
        end = None if isinstance(answer, Unknown) else self.env.now
        self.history.operations.append(Operation(client, node, target, order, begin, end, answer))

    def record_at(self, node, target, order, at):
        """Keep an event that took place at one moment."""
        operation = Operation("replica", node, target, order, at, at, Done())
        self.history.operations.append(operation)

    def _sample(self):
        while True:
            yield self.env.timeout(SAMPLE_SECONDS)
            for name, node in self.sim.nodes.items():
                if node.me.role != "store" and self.sim.is_up(node):
                    self.history.snapshots.append(self._snapshot(name, node))

    def _snapshot(self, name, node):
        snapshot = node.find("layout")
        number = (snapshot.configuration or {}).get("edition", 0)
        is_fresh = node.find("freshness").is_fresh()
        return Snapshot(name, node.me.incarnation, self.env.now, snapshot.index, number, is_fresh)
