"""Random faults drawn from a seed, all of them healed at the end of the run."""

from proving.sim.operators import Operators
from quillring.kernel.errors import DiskError


class Chaos(Operators):
    """Injects faults at random times, then heals everything."""

    def __init__(self, sim, monitor):
        self.sim = sim
        self.monitor = monitor
        self.disks_lost = 0
        self.fault_kinds = [
            self.kill_edge,
            self.kill_core,
            self.kill_store,
            self.power_store,
            self.freeze_any,
            self.cut_pair,
            self.cut_partial,
            self.cut_one_way,
            self.isolate_store,
            self.lossy,
            self.kill_replica,
            self.dark_replica,
            self.leave_replica,
            self.full_disk,
            self.race_operators,
            self.empty_zone,
            self.flap,
            self.split_whole,
            self.bad_configuration,
            self.isolate_core,
            self.lose_zone,
            self.lose_disk,
        ]

    def run(self, start_time, end_time, count):
        """Process: inject `count` faults between two times, then heal and restart everything."""
        rng = self.sim.chance
        times = sorted(rng.uniform(start_time, end_time) for _ in range(count))
        for at in times:
            yield self.sim.env.timeout(max(0, at - self.sim.env.now))
            fault = rng.choice(self.fault_kinds)
            self.sim.history.count(f"fault {fault.__name__}")
            self.sim.env.process(fault())
        yield self.sim.env.timeout(max(0, end_time - self.sim.env.now))
        self.sim.heal()
        for disk in self.sim.disks.values():
            disk.is_full = False
        for name, node in list(self.sim.nodes.items()):
            node.runtime.thaw()
            if node.runtime.is_dead:
                self.sim.start(name)
        for name, replica in list(self.sim.replicas.items()):
            if replica.is_dead or replica.logic.leaving_since is not None:
                self.sim.start_replica(name)
            replica.is_dark = False

    def _pick_node(self, role):
        nodes = self.sim.up_nodes(role)
        return self.sim.chance.choice(nodes).me.name if len(nodes) > 1 else None

    def _restart_after(self, name, seconds):
        while self.sim.nodes[name].runtime.is_dead:
            yield self.sim.env.timeout(seconds)
            try:
                if self.sim.nodes[name].runtime.is_dead:
                    self.sim.start(name)
            except DiskError:
                self.sim.history.count("starts refused by a full disk")

    def _kill(self, role, **options):
        name = self._pick_node(role)
        if name is not None:
            self.sim.kill(name, **options)
            yield from self._restart_after(name, self.sim.chance.uniform(0.2, 8))

    def kill_edge(self):
        """An edge crashes and restarts."""
        yield from self._kill("edge")

    def kill_core(self):
        """A core crashes and restarts without state."""
        yield from self._kill("core")

    def kill_store(self):
        """A store process crashes and restarts."""
        yield from self._kill("store")

    def power_store(self):
        """A store loses power, and its unsynced writes, and restarts."""
        yield from self._kill("store", loses_power=True)

    def lose_disk(self):
        """A store loses its disk and restarts empty; at most once per run."""
        name = self._pick_node("store")
        if name is not None and not self.disks_lost:
            self.disks_lost += 1
            self.sim.history.note(f"disk of {name} lost")
            self.sim.lose_disk(name)
            yield from self._restart_after(name, self.sim.chance.uniform(0.2, 4))
        yield self.sim.env.timeout(0)

    def lose_zone(self):
        """All nodes of a domain lose power at once and restart."""
        zone = self.sim.chance.choice(["north", "east", "south", "west"])
        names = [
            n.me.name
            for n in self.sim.nodes.values()
            if n.me.zone == zone and not n.runtime.is_dead
        ]
        self.sim.history.note(f"domain {zone} lost")
        for name in names:
            self.sim.kill(name, loses_power=True)
        for name in names:
            yield from self._restart_after(name, self.sim.chance.uniform(0.2, 2))

    def freeze_any(self):
        """A node is frozen for a while."""
        name = self._pick_node(self.sim.chance.choice(["edge", "core", "store"]))
        if name is not None:
            self.sim.freeze(name, self.sim.chance.uniform(0.3, 7))
        yield self.sim.env.timeout(0)

    def _cut_for(self, names, others, both_ways=True):
        sim = self.sim
        earlier_cuts = set(sim.net.cuts)
        sim.cut(names, others, both_ways)
        added_cuts = sim.net.cuts - earlier_cuts
        yield sim.env.timeout(sim.chance.uniform(1, 9))
        sim.history.note("cut healed")
        sim.net.cuts -= added_cuts

    def cut_pair(self):
        """The links between two nodes are cut."""
        yield from self._cut_for(*[[n] for n in self.sim.chance.sample(sorted(self.sim.nodes), 2)])

    def cut_partial(self):
        """Two groups of nodes are cut from each other; a third group reaches both."""
        names = sorted(self.sim.nodes)
        self.sim.chance.shuffle(names)
        third = len(names) // 3
        yield from self._cut_for(names[:third], names[third : 2 * third])

    def cut_one_way(self):
        """One direction between two nodes is cut."""
        first, second = self.sim.chance.sample(sorted(self.sim.nodes), 2)
        yield from self._cut_for([first], [second], both_ways=False)

    def split_whole(self):
        """The fleet is split into two groups without any link between them."""
        names = sorted(self.sim.nodes)
        self.sim.chance.shuffle(names)
        half = self.sim.chance.randrange(1, len(names))
        yield from self._cut_for(names[:half], names[half:])

    def isolate_store(self):
        """A store is cut off from every other node."""
        name = self.sim.chance.choice(self.sim.names("store"))
        yield from self._cut_for([name], [n for n in sorted(self.sim.nodes) if n != name])

    def isolate_core(self):
        """One core, or all of them together, are cut off from the other nodes."""
        cores = self.sim.names("core")
        names = cores if self.sim.chance.random() < 0.3 else [self.sim.chance.choice(cores)]
        yield from self._cut_for(names, [n for n in sorted(self.sim.nodes) if n not in names])

    def flap(self):
        """The link between two nodes is cut and healed five times."""
        first, second = self.sim.chance.sample(sorted(self.sim.nodes), 2)
        for _ in range(5):
            yield from self._cut_for([first], [second])

    def lossy(self):
        """Packets are lost, duplicated and reordered for a while."""
        net, rng = self.sim.net, self.sim.chance
        net.loss_share, net.duplicate_share, net.reorder_share = 0.05, 0.05, 0.1
        yield self.sim.env.timeout(rng.uniform(1, 6))
        net.loss_share = net.duplicate_share = net.reorder_share = 0.0

    def _pick_replica(self):
        names = [n for n, r in self.sim.replicas.items() if not r.is_dead]
        return self.sim.chance.choice(names)

    def kill_replica(self):
        """A replica crashes and is replaced by a cold one."""
        name = self._pick_replica()
        self.sim.history.note(f"kill replica {name}")
        self.sim.replicas[name].kill()
        yield self.sim.env.timeout(self.sim.chance.uniform(0.5, 6))
        self.sim.start_replica(name)

    def dark_replica(self):
        """A replica becomes unreachable for a while."""
        name = self._pick_replica()
        replica = self.sim.replicas[name]
        self.sim.history.note(f"dark replica {name}")
        replica.is_dark = True
        yield self.sim.env.timeout(self.sim.chance.uniform(1, 6))
        replica.is_dark = False

    def leave_replica(self):
        """A replica announces that it leaves, stops, and is replaced by a cold one."""
        name = self._pick_replica()
        self.sim.history.note(f"leave replica {name}")
        self.sim.replicas[name].leave()
        yield self.sim.env.timeout(self.sim.chance.uniform(4, 8))
        self.sim.replicas[name].kill()
        self.sim.start_replica(name)

    def full_disk(self):
        """A store's disk is full for a while."""
        disk = self.sim.chance.choice(list(self.sim.disks.values()))
        self.sim.history.note("disk full")
        disk.is_full = True
        yield self.sim.env.timeout(self.sim.chance.uniform(1, 6))
        disk.is_full = False
