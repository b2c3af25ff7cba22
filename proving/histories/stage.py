"""The simulated fleet on which histories are recorded, with raw replicas that run lots."""

from proving.histories.calls import ZONES
from proving.histories.operations import Done, History, Operation, Snapshot, Unknown
from proving.sim.fleet import SimFleet
from proving.sim.raw_replicas import RawBackends, RawReplica, RawRuntime
from quillring.rollout.schema import EMPTY_CONFIGURATION

SIZES = {"sizes": {"edge": 2, "core": 3, "store": 4}, "replicas": []}
READY_AT_SECONDS = 1.5
REPLICA_COUNT, SLOTS_PER_REPLICA = 3, 8
SAMPLE_INTERVAL_SECONDS = 0.4
ITEM_BYTES = b"body"
ITEM_TOKENS = 10


class HistoryRuntime(RawRuntime):
    """A process whose coroutines resume in random order after a freeze.

    An event loop guarantees no order among coroutines that became ready during the freeze.
    """

    def thaw(self):
        """Thaw a frozen process and resume its coroutines in random order."""
        if self.thaw_event is not None:
            self.random.shuffle(self.thaw_event.callbacks)
        super().thaw()


class HistoryFleet(SimFleet):
    """A simulated fleet whose processes communicate with raw replicas."""

    runtime_class = HistoryRuntime


class HistoryStage:
    """A small fleet that records the operations of its clients and snapshots of its nodes.

    The raw replicas append to `arrivals` and `completed_runs`; `counts` may override the number of
    events that they return for an item.
    """

    def __init__(self, seed):
        self.sim = HistoryFleet("ferrowa", seed, SIZES)
        self.sim.configuration = EMPTY_CONFIGURATION
        self.env, self.rng = self.sim.env, self.sim.chance
        self.replicas, self.counts = {}, {}
        self.arrivals, self.completed_runs = [], []
        self.zones = [*ZONES]
        self.sim.backends.raw = RawBackends(self)
        self.history = History(seed)
        self.sim.start_all()
        zones = sorted({node.me.zone for node in self.sim.nodes.values()})
        for number in range(REPLICA_COUNT):
            zone = zones[number % len(zones)]
            self.replicas[f"i-{number}"] = RawReplica(self, f"i-{number}", zone, SLOTS_PER_REPLICA)
        rows = self.sim.rows
        self.history.stores = tuple((n, rows[n]["domain"]) for n in self.sim.names("store"))
        self.env.process(self.sim.found())
        self.env.run(until=READY_AT_SECONDS)
        self.env.process(self._sample())

    def items(self, name, digest, count):
        """Return `count` items of a lot; their bodies differ if `digest` differs."""
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
        """Record an operation that ends now, or has no end if its outcome is unknown."""
        end = None if isinstance(answer, Unknown) else self.env.now
        self.history.operations.append(Operation(client, node, target, order, begin, end, answer))

    def record_at(self, node, target, order, at):
        """Record an event at time `at` as an operation that begins and ends there."""
        operation = Operation("replica", node, target, order, at, at, Done())
        self.history.operations.append(operation)

    def _sample(self):
        """Process: record a snapshot of every running edge and core at regular intervals."""
        while True:
            yield self.env.timeout(SAMPLE_INTERVAL_SECONDS)
            for name, node in self.sim.nodes.items():
                if node.me.role != "store" and self.sim.is_up(node):
                    self.history.snapshots.append(self._snapshot(name, node))

    def _snapshot(self, name, node):
        """Return a snapshot of the configuration of a node."""
        snapshot = node.find("layout")
        number = (snapshot.configuration or {}).get("edition", 0)
        is_fresh = node.find("freshness").is_fresh()
        return Snapshot(name, node.me.incarnation, self.env.now, snapshot.index, number, is_fresh)
