"""A simulated fleet: nodes, replicas, disks and the faults injected into them."""

import random

import simpy

from proving.sim.backends import Backends, SimReplica
from proving.sim.disk import SimDisk
from proving.sim.history import History
from proving.sim.network import CutKind, SimNet
from proving.sim.runtime import SimRuntime
from proving.tools.deployments import DEPLOYMENTS, configuration_of, replicas_of, settings_of
from quillring.fleet import make_node, open_store, start_node
from quillring.kernel.bounds import Bounds
from quillring.kernel.settings import split_address
from quillring.nifty import Member
from quillring.nifty.wire import SUPPORTED_VERSIONS


class SimFleet:
    """All processes of one deployment in simulated time, driven by one seed.

    A subclass may set `runtime_class` to a runtime that talks to further kinds of replicas.
    """

    runtime_class = None

    def __init__(self, deployment, seed, sizes=None):
        self.seed = seed
        self.chance = random.Random(f"fleet {seed}")
        self.env = simpy.Environment()
        self.net = SimNet(self.env, random.Random(f"net {seed}"))
        self.history = History(self.env)
        self.backends = Backends(self)
        source = DEPLOYMENTS[deployment]
        if sizes:
            source = {**source, **sizes}
        self.configuration = configuration_of(source)
        self.rows = {row["name"]: row for row in settings_of(source)}
        self.replica_rows = {row["name"]: row for row in replicas_of(source)}
        self.bounds = Bounds()
        self.nodes = {}
        self.disks = {}
        self.replicas = {}
        self.starts = 0
        self.versions = {}
        self.incarnation_bases = {}
        self.faults = []

    def names(self, role):
        """Return the node names of a role."""
        return [name for name, row in self.rows.items() if row["role"] == role]

    def is_up(self, node):
        """Return whether a node runs and is not frozen."""
        return not node.runtime.is_dead and node.runtime.thaw_event is None

    def up_nodes(self, role):
        """Return the nodes of a role that run and are not frozen."""
        return [
            node for name, node in self.nodes.items() if node.me.role == role and self.is_up(node)
        ]

    def start(self, name):
        """Start a node with its settings and the present content of its disk."""
        row = self.rows[name]
        self.starts += 1
        address = split_address(row["address"])
        runtime = (self.runtime_class or SimRuntime)(
            self.env,
            self.net,
            self.backends,
            address,
            f"{self.seed} {name} {self.starts}",
            self.faults,
        )
        acceptors = None
        if row["role"] == "store":
            disk = self.disks.setdefault(name, SimDisk(random.Random(f"{self.seed} {name}")))
            acceptors = open_store(disk, name, lambda: f"{self.starts:04d}")
        me = Member(
            name,
            self.incarnation_bases.get(name, 100) + self.starts,
            row["role"],
            row["domain"],
            *address,
            8400,
            acceptors.identity if acceptors else "",
        )
        seeds = [split_address(seed) for seed in row["seeds"]]
        node = make_node(
            me,
            runtime,
            seeds,
            self.bounds,
            self._logger(name),
            self.versions.get(name, SUPPORTED_VERSIONS),
        )
        start_node(node, acceptors)
        runtime.on_refused = node.find("nifty").on_refused
        runtime.listen(node.find("nifty").on_datagram, node.find("nifty").on_frame)
        self.nodes[name] = node
        return node

    def _logger(self, name):
        def log(level, text, *fields):
            if level == "error":
                self.history.violate(f"{name}: {text % fields}")

        return log

    def kill(self, name, loses_power=False):
        """Kill a node and drop its unsynced writes.

        A killed process closes its connections. A loss of power closes none, so that peers get no
        signal, and may leave a torn fragment in the log.
        """
        self.history.note(f"kill {name}{' by power' if loses_power else ''}")
        self.nodes[name].runtime.kill()
        if not loses_power:
            self.net.close_channels(self.nodes[name].me.address)
        disk = self.disks.get(name)
        if disk is not None:
            torn = self.chance.randbytes(self.chance.randrange(0, 30)) if loses_power else b""
            disk.lose_power(torn)

    def lose_disk(self, name):
        """Cut a store's power and delete its files."""
        self.kill(name, loses_power=True)
        self.disks[name].lose_all()

    def freeze(self, name, seconds):
        """Freeze a node for a number of seconds."""
        self.history.note(f"freeze {name} for {seconds:.1f}")
        runtime = self.nodes[name].runtime
        runtime.freeze()
        self.env.timeout(seconds).callbacks.append(lambda _: runtime.thaw())

    def cut(self, names, other_names, both_ways=True, kind=CutKind.SILENT):
        """Cut the links between each node of one group and each node of another."""
        label = "cut" if kind is CutKind.SILENT else f"{kind} cut"
        self.history.note(f"{label} {sorted(names)} from {sorted(other_names)}")
        for name in names:
            address = self.nodes[name].me.address
            for other_name in other_names:
                self.net.cut(address, self.nodes[other_name].me.address, both_ways, kind)

    def heal(self):
        """Heal all network faults."""
        self.history.note("heal")
        self.net.heal()

    def start_replica(self, name):
        """Start a replica with a cold cache."""
        self.starts += 1
        row = self.replica_rows[name]
        replica = SimReplica(self, row, self.starts)
        self.replicas[name] = replica
        self.backends.replicas[replica.address] = replica
        return replica

    def start_all(self):
        """Start all nodes and replicas."""
        for name in self.rows:
            self.start(name)
        for name in self.replica_rows:
            self.start_replica(name)

    def run_coroutine(self, node, coroutine, sink=None):
        """Process: run a coroutine on a node; return (its value, None) or (None, its error)."""
        from quillring.kernel.errors import QuillringError

        try:
            value = yield from node.runtime.drive(coroutine, sink)
        except QuillringError as error:
            return None, error
        return value, None

    def found(self):
        """Process: found the fleet and adopt the deployment's configuration, with retries."""
        from quillring.quorum.founding.founding import found_fleet
        from quillring.quorum.parts import CONFIG_PART

        while True:
            yield self.env.timeout(0.5)
            node = self.nodes[self.names("core")[0]]
            _, error = yield from self.run_coroutine(node, found_fleet(node, 2))
            if error is None:
                break
        command = {
            "do": "layout.adopt",
            "id": "first",
            "base_version": 0,
            "change": self.configuration,
            "whole": True,
        }
        while True:
            answer, error = yield from self.run_coroutine(
                node, node.find("ownership").submit(CONFIG_PART, command)
            )
            if error is None:
                break
            yield self.env.timeout(0.3)
        self.history.note(f"founded, layout {answer}")
