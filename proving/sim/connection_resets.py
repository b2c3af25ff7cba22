"""Partitions that reset or refuse connections, drawn from a separate random generator."""

import random

from proving.sim.network import CutKind

LOUD_KINDS = (CutKind.REFUSING, CutKind.RESETTING)
CUT_SECONDS = (1.0, 9.0)
FLAP_COUNT = 12
FLAP_SECONDS = (0.02, 0.8)


class DrawnConnectionResets:
    """Starts partitions that reset or refuse connections at random times.

    They are drawn from a separate generator, so other faults are the same with and without them.
    """

    def __init__(self, sim, cut_seconds=CUT_SECONDS):
        self.sim = sim
        self.rng = random.Random(f"loud cuts {sim.seed}")
        self.cut_seconds = cut_seconds
        self.end_time = 0.0
        self.shapes = [
            self.cut_pair,
            self.cut_partial,
            self.cut_one_way,
            self.cut_owner,
            self.cut_core,
            self.cut_store,
            self.split_whole,
            self.flap,
        ]

    def run(self, start_time, end_time, count):
        """Process: start `count` partitions between two times; all are healed at the end time."""
        self.end_time = end_time
        times = sorted(self.rng.uniform(start_time, end_time) for _ in range(count))
        for at in times:
            yield self.sim.env.timeout(max(0, at - self.sim.env.now))
            shape, kind = self.rng.choice(self.shapes), self.rng.choice(LOUD_KINDS)
            self.sim.history.count(f"fault {kind} {shape.__name__}")
            self.sim.env.process(shape(kind))

    def _cut_for(self, names, others, kind, both_ways=True, seconds=None):
        net, env = self.sim.net, self.sim.env
        seconds = seconds or self.rng.uniform(*self.cut_seconds)
        seconds = min(seconds, self.end_time - env.now)
        if seconds <= 0:
            return
        earlier_cuts = set(net.cuts)
        self.sim.cut(names, others, both_ways, kind)
        added_cuts = net.cuts - earlier_cuts
        yield env.timeout(seconds)
        self.sim.history.note(f"{kind} cut healed")
        net.cuts -= added_cuts

    def _cut_off(self, name, kind):
        others = [other for other in sorted(self.sim.nodes) if other != name]
        yield from self._cut_for([name], others, kind)

    def cut_pair(self, kind):
        """The links between two nodes are cut."""
        first, second = self.rng.sample(sorted(self.sim.nodes), 2)
        yield from self._cut_for([first], [second], kind)

    def cut_partial(self, kind):
        """Two groups of nodes are cut from each other; a third group reaches both."""
        names = self.rng.sample(sorted(self.sim.nodes), len(self.sim.nodes))
        third = len(names) // 3
        yield from self._cut_for(names[:third], names[third : 2 * third], kind)

    def cut_one_way(self, kind):
        """Connections and datagrams of one direction between two nodes are cut."""
        first, second = self.rng.sample(sorted(self.sim.nodes), 2)
        yield from self._cut_for([first], [second], kind, both_ways=False)

    def cut_owner(self, kind):
        """The configuration's owner, as a random edge knows it from gossip, is cut off."""
        edges = self.sim.up_nodes("edge") or list(self.sim.nodes.values())
        announcement = self.rng.choice(edges).find("gossip").get("owner/config") or {}
        yield from self._cut_off(announcement.get("owner", self.sim.names("core")[0]), kind)

    def cut_core(self, kind):
        """A core is cut off from every other node."""
        yield from self._cut_off(self.rng.choice(self.sim.names("core")), kind)

    def cut_store(self, kind):
        """A store is cut off from every other node."""
        yield from self._cut_off(self.rng.choice(self.sim.names("store")), kind)

    def split_whole(self, kind):
        """The fleet is split into two groups without any link between them."""
        names = self.rng.sample(sorted(self.sim.nodes), len(self.sim.nodes))
        half = self.rng.randrange(1, len(names))
        yield from self._cut_for(names[:half], names[half:], kind)

    def flap(self, kind):
        """A node's links to all others are cut and healed faster than heartbeats are missed."""
        name = self.rng.choice(sorted(self.sim.nodes))
        others = [other for other in sorted(self.sim.nodes) if other != name]
        for _ in range(FLAP_COUNT):
            seconds = self.rng.uniform(*FLAP_SECONDS)
            yield from self._cut_for([name], others, kind, seconds=seconds)
            yield self.sim.env.timeout(self.rng.uniform(*FLAP_SECONDS))
