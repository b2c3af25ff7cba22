"""Hollow nodes: the control services of nodes without request handling, in simulated time.

They run the production peer layer, gossip, roster, replica table and layout distribution.
"""

import gc
import random
import time
from unittest import mock

import simpy

from proving.scale.members import ZONES, hollow_configuration, hollow_members, packet_cpu_seconds
from proving.sim.network import SimNet
from proving.sim.runtime import SimRuntime
from quillring.fleet import make_node
from quillring.kernel.bounds import Bounds
from quillring.nifty.graph import Graph

COUNTER_NAMES = ("makings", "beats_sent", "beat_bytes", "frames", "frame_bytes")
REPLICA_HEARTBEAT_SECONDS = 0.4
FIRST_INCARNATION = 1_800_000_000_000_000


class HollowRuntime(SimRuntime):
    """A simulated runtime that counts the frames its node sends."""

    def frame(self, address, data):
        """Send a frame."""
        self.node.count("frames")
        self.node.count("frame_bytes", len(data))
        super().frame(address, data)


class HollowFleet:
    """Many hollow nodes in one process, in simulated time, from one seed."""

    def __init__(self, size, seed=1, replicas=0, entries=10, bounds=None):
        self.env = simpy.Environment()
        self.net = SimNet(self.env, random.Random(f"net {seed}"))
        self.rng = random.Random(f"scale {seed}")
        self.seed = seed
        self.bounds = bounds or Bounds()
        self.members = tuple(hollow_members(size))
        self.seeds = [member.address for member in self.members[:3]]
        self.nodes = {}
        self.faults = []
        self.config_version = 1
        self.entries = entries
        self.replicas = replicas
        self.start_count = 0
        self.groups = {
            "config": [[m.name, m.identity, m.zone] for m in self.members if m.role == "store"][:3]
        }

    def start(self, member):
        """Start one hollow node; its services start within a tenth of a heartbeat interval."""
        self.start_count += 1
        runtime = HollowRuntime(
            self.env,
            self.net,
            None,
            member.address,
            f"{self.seed} {member.name} {self.start_count}",
            self.faults,
        )
        node = runtime.node = make_node(
            member.restarted(FIRST_INCARNATION + self.start_count), runtime, self.seeds, self.bounds
        )
        nifty = node.find("nifty")
        if member.role == "store":
            nifty.stamp_source = lambda: [[1, "core-0000"], self.config_version, member.identity]
            node.handle(
                "quorum.image", lambda body, origin: [self.config_version, self.config_state()]
            )
        runtime.listen(nifty.on_datagram, nifty.on_frame)
        self.nodes[member.name] = node
        self.env.process(self._start_services(node))

    def _start_services(self, node):
        yield self.env.timeout(self.rng.uniform(0, self.bounds.heartbeat_interval / 10))
        for name in ("nifty", "gossip", "freshness"):
            node.spawn(node.find(name).run())

    def start_all(self, is_warm=False):
        """Start all nodes at once; the first one has the founding record and the layout.

        In a warm start, every node knows all members from the start.
        """
        for member in self.members:
            self.start(member)
        warm_members = [node.me for node in self.nodes.values()] if is_warm else []
        for node in self.nodes.values():
            for member in warm_members:
                node.find("gossip").publish(
                    f"member/{member.name}", [member.incarnation], member.to_list()
                )
            node.find("gossip").remaining_sends = {}
        node = self.nodes[self.members[0].name]
        node.find("gossip").publish("founding", [1], {"groups": self.groups})
        node.find("layout").update(self.config_version, self.config_state())
        for number in range(self.replicas):
            self.env.process(self._send_replica_heartbeats(number))

    def _send_replica_heartbeats(self, number):
        sequence, names = 0, sorted(self.nodes)
        yield self.env.timeout(self.rng.uniform(0, REPLICA_HEARTBEAT_SECONDS))
        while True:
            sequence += 1
            node = self.nodes[self.rng.choice(names)]
            if not node.runtime.is_dead:
                node.find("replicas").on_heartbeat(
                    {
                        "name": f"words-{number}",
                        "service": f"words-{number % 36}",
                        "domain": f"zone-{number % ZONES}",
                        "address": f"10.9.0.1:{9000 + number}",
                        "slots": 8,
                        "state": "ready",
                        "incarnation": 1,
                        "sequence": sequence,
                    }
                )
            yield self.env.timeout(REPLICA_HEARTBEAT_SECONDS)

    def config_state(self):
        """Return the state of the config part at the current version."""
        return {
            "version": self.config_version,
            "group": self.groups["config"],
            "layout": hollow_configuration(self.entries, self.config_version),
        }

    def change_configuration(self):
        """Commit a new layout; the first live node learns it and spreads it."""
        self.config_version += 1
        self.live_nodes()[0].find("layout").update(self.config_version, self.config_state())

    def live_nodes(self):
        """Return the nodes that have not been killed."""
        return [node for node in self.nodes.values() if not node.runtime.is_dead]

    def kill(self, names):
        """Kill nodes at once."""
        for name in names:
            self.nodes[name].runtime.kill()

    def cut(self, names, other_names):
        """Cut every link between two groups of nodes."""
        for name in names:
            for other_name in other_names:
                self.net.cut(self.nodes[name].me.address, self.nodes[other_name].me.address)

    def missing_links(self):
        """Return the number of ordered pairs of live nodes without a direct route."""
        live_names = {node.me.name for node in self.live_nodes()}
        return sum(
            sum(node.find("nifty").graph.hops(name) != 1 for name in live_names - {node.me.name})
            for node in self.live_nodes()
        )

    def stale_configurations(self):
        """Return the number of live nodes whose layout is not the newest."""
        return sum(node.find("layout").version != self.config_version for node in self.live_nodes())

    def counts(self):
        """Return the sums of the counters of all nodes."""
        return {
            name: sum(node.counts.get(name, 0) for node in self.nodes.values())
            for name in COUNTER_NAMES
            if name != "makings"
        }

    def measure(self, seconds):
        """Simulate some seconds; return the mean counts and processor time of a live node.

        The processor time excludes the simulated network and garbage collection. `makings` counts
        computations of routes in the graph.
        """
        gc.collect()
        gc.disable()
        before, carried_packets, makings = self.counts(), self.net.carried_packets, []
        find_routes = Graph._bellman_ford

        def counting_find_routes(graph):
            makings.append(1)
            return find_routes(graph)

        start_time = time.process_time()
        with mock.patch.object(Graph, "_bellman_ford", counting_find_routes):
            self.env.run(until=self.env.now + seconds)
        cpu_seconds = (
            time.process_time()
            - start_time
            - (self.net.carried_packets - carried_packets) * packet_cpu_seconds()
        )
        gc.enable()
        count = len(self.live_nodes())
        work = {name: (now - before[name]) / count for name, now in self.counts().items()}
        return {
            "seconds": seconds,
            "makings": round(len(makings) / count, 3),
            **{name: round(value, 1) for name, value in work.items()},
            "cpu_ms": round(cpu_seconds * 1000 / count, 3),
        }
