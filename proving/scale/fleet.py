"""Hollow nodes: the real peer layer, gossip, roster, replica table and layout, in memory."""

import gc
import random
import time
from unittest import mock

import simpy

from proving.scale.members import ZONES, carry_seconds, hollow_configuration, hollow_members
from proving.sim.network import SimNet
from proving.sim.runtime import SimRuntime
from quillring.fleet import make_node
from quillring.kernel.bounds import Bounds
from quillring.nifty.graph import Graph

COUNTED = ("makings", "beats_sent", "beat_bytes", "frames", "frame_bytes")
REPLICA_BEAT_SECONDS = 0.4
FIRST_START = 1_800_000_000_000_000


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
        self.chance = random.Random(f"scale {seed}")
        self.seed = seed
        self.bounds = bounds or Bounds()
        self.members = tuple(hollow_members(size))
        self.seeds = [member.address for member in self.members[:3]]
        self.nodes = {}
        self.faults = []
        self.index = 1
        self.entries = entries
        self.replicas = replicas
        self.starts = 0
        self.groups = {
            "config": [[m.name, m.identity, m.zone] for m in self.members if m.role == "store"][:3]
        }

    def start(self, member):
        """Start one hollow node, some moment within a tenth of a beat."""
        self.starts += 1
        runtime = HollowRuntime(
            self.env,
            self.net,
            None,
            member.address,
            f"{self.seed} {member.name} {self.starts}",
            self.faults,
        )
        node = runtime.node = make_node(
            member.restarted(FIRST_START + self.starts), runtime, self.seeds, self.bounds
        )
        nifty = node.find("nifty")
        if member.role == "store":
            nifty.stamp_source = lambda: [[1, "core-0000"], self.index, member.identity]
            node.handle("quorum.image", lambda body, origin: [self.index, self.config_state()])
        runtime.listen(nifty.on_datagram, nifty.on_frame)
        self.nodes[member.name] = node
        self.env.process(self._run(node))

    def _run(self, node):
        yield self.env.timeout(self.chance.uniform(0, self.bounds.heartbeat_interval / 10))
        for name in ("nifty", "gossip", "freshness"):
            node.spawn(node.find(name).run())

    def start_all(self, is_warm=False):
        """Start all nodes at once; one of them knows the founding record and the layout.

        In a warm start every node knows all members from the first.
        """
        for member in self.members:
            self.start(member)
        known = [node.me for node in self.nodes.values()] if is_warm else []
        for node in self.nodes.values():
            for member in known:
                node.find("gossip").publish(
                    f"member/{member.name}", [member.incarnation], member.to_list()
                )
            node.find("gossip").remaining_sends = {}
        node = self.nodes[self.members[0].name]
        node.find("gossip").publish("founding", [1], {"groups": self.groups})
        node.find("layout").update(self.index, self.config_state())
        for number in range(self.replicas):
            self.env.process(self._replica(number))

    def _replica(self, number):
        sequence, names = 0, sorted(self.nodes)
        yield self.env.timeout(self.chance.uniform(0, REPLICA_BEAT_SECONDS))
        while True:
            sequence += 1
            node = self.nodes[self.chance.choice(names)]
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
            yield self.env.timeout(REPLICA_BEAT_SECONDS)

    def config_state(self):
        """Return the state of the config part at the present index."""
        return {
            "version": self.index,
            "group": self.groups["config"],
            "layout": hollow_configuration(self.entries, self.index),
        }

    def change_configuration(self):
        """Commit a further layout at the stores; a core makes it news."""
        self.index += 1
        self.live()[0].find("layout").update(self.index, self.config_state())

    def live(self):
        """Return the nodes that run."""
        return [node for node in self.nodes.values() if not node.runtime.is_dead]

    def kill(self, names):
        """Kill nodes at once."""
        for name in names:
            self.nodes[name].runtime.kill()

    def cut(self, names, other_names):
        """Cut every pair between two groups."""
        for name in names:
            for other_name in other_names:
                self.net.cut(self.nodes[name].me.address, self.nodes[other_name].me.address)

    def missing_links(self):
        """Return how many ordered pairs of live nodes have no direct route."""
        live_names = {node.me.name for node in self.live()}
        return sum(
            sum(node.find("nifty").graph.hops(name) != 1 for name in live_names - {node.me.name})
            for node in self.live()
        )

    def stale_configurations(self):
        """Return how many live nodes hold another layout than the newest."""
        return sum(node.find("layout").version != self.index for node in self.live())

    def counts(self):
        """Return the counted work of all nodes up to now."""
        return {
            name: sum(node.counts.get(name, 0) for node in self.nodes.values())
            for name in COUNTED
            if name != "makings"
        }

    def spend(self, seconds):
        """Let simulated time pass; return the counted work and processor time of a live node."""
        gc.collect()
        gc.disable()
        before, carried_packets, makings = self.counts(), self.net.carried_packets, []
        find_routes = Graph._bellman_ford

        def counted(graph):
            makings.append(1)
            return find_routes(graph)

        start_time = time.process_time()
        with mock.patch.object(Graph, "_bellman_ford", counted):
            self.env.run(until=self.env.now + seconds)
        spent = (
            time.process_time()
            - start_time
            - (self.net.carried_packets - carried_packets) * carry_seconds()
        )
        gc.enable()
        count = len(self.live())
        work = {name: (now - before[name]) / count for name, now in self.counts().items()}
        return {
            "seconds": seconds,
            "makings": round(len(makings) / count, 3),
            **{name: round(value, 1) for name, value in work.items()},
            "cpu_ms": round(spent * 1000 / count, 3),
        }
