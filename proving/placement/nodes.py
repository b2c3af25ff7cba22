"""Emulated nodes: production services on simulated time and a network with fixed delays."""

import random
from typing import NamedTuple

import cbor2

from quillring.fleet import make_node
from quillring.forward.load_balancer import LoadBalancer
from quillring.kernel.bounds import Bounds
from quillring.kernel.effects import Sleep, Wait
from quillring.kernel.member import Member

LOCAL_DELAY_SECONDS = 0.0003
"""One-way delay between two nodes of a zone, including the time to handle a message."""
HEADER_BYTES = 60
"""Overhead of each message on the network."""
START_TIME_SECONDS = 1000.0


class EmulatedRequest(NamedTuple):
    """The fields of a request that the load balancer reads."""

    prompt_parts: tuple
    prompt_tokens: int
    body: bytes


class Graph(NamedTuple):
    """A full mesh: the direct routes of one node."""

    routes: dict


class Roster(NamedTuple):
    """All members by name."""

    members: dict


class StaticNetwork:
    """The peer layer of one emulated node, connected to every member with a delay by zone."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        self.graph, self.roster = fleet.graphs[name], fleet.roster

    def reaches(self, name):
        """Return whether a member exists and is not lost."""
        return name in self.fleet.members and name not in self.fleet.lost_names

    def member_count(self):
        """Return the number of members."""
        return len(self.fleet.members)

    def find_member(self, name):
        """Return the member with a name, or None."""
        return self.fleet.members.get(name)

    def send(self, target, message):
        """Deliver a message after the delay between the zones."""
        return self.fleet.deliver(self.name, target, message)


class EmulatedRuntime:
    """Runs the coroutines of one node in simulated time; supports the effects Sleep and Wait."""

    def __init__(self, env, seed):
        self.env, self.random = env, random.Random(seed)

    def now(self):
        """Return the simulated time in seconds."""
        return START_TIME_SECONDS + self.env.now

    def spawn(self, coroutine):
        """Start a coroutine as a simpy process."""
        return self.env.process(self._drive(coroutine))

    def _drive(self, coroutine):
        value = None
        while True:
            try:
                effect = coroutine.send(value)
            except StopIteration:
                return
            if not isinstance(effect, (Sleep, Wait)):
                raise NotImplementedError(effect)
            yield self.env.timeout(effect.seconds)
            value = None


class EmulatedFleet:
    """All nodes of a shape, each with its own load balancer, all with the same policy."""

    def __init__(self, env, shape, policy, seed):
        self.env, self.shape = env, shape
        self.lost_names = set()
        self.bytes_between_zones = 0
        self.messages = 0
        self.members = {member.name: member for member in self._make_members()}
        self.roster = Roster(self.members)
        others = dict.fromkeys(self.members)
        self.graphs = {name: Graph({n: None for n in others if n != name}) for name in self.members}
        self.nodes = {
            name: self._make_node(member, policy, f"{seed}/{name}")
            for name, member in self.members.items()
        }

    def _make_members(self):
        for zone in range(self.shape.zones):
            counts = {"edge": self.shape.edges_per_zone, "core": self.shape.cores_per_zone}
            for role, count in counts.items():
                for number in range(count):
                    name = f"{role}-{zone}-{number}"
                    yield Member(name, 1, role, f"z{zone}", "10.0.0.1", 1, 2, "")

    def _make_node(self, member, policy, seed):
        runtime = EmulatedRuntime(self.env, seed)
        node = make_node(member, runtime, [], Bounds())
        node.offer("nifty", StaticNetwork(self, member.name))
        engine = {"slots": self.shape.engine.slots, "kv_tokens": self.shape.engine.kv_tokens}
        services = {"s": {"kind": "raw", "warm_rate": 8, "engine": engine}}
        layout = {"domains": {}, "services": services, "forwards": {}}
        node.find("gossip").publish("layout", [1], [1, 1, layout, []])
        balancer = node.offer("placement", LoadBalancer(node, policy))
        node.find("replicas").change_listeners.append(balancer.wake)
        if policy.shares_load:
            node.spawn(balancer.exchange.run())
        return node

    def announce(self, name, zone):
        """Publish a replica to all nodes."""
        fields = {
            "name": name,
            "service": "s",
            "domain": zone,
            "address": "10.1.0.1:80",
            "slots": self.shape.engine.slots,
            "state": "ready",
            "incarnation": 0,
            "sequence": 1,
        }
        for node in self.nodes.values():
            node.find("gossip").publish(f"replica/{name}", [0, 1], fields)

    def heartbeat(self, names, sequence):
        """Record a heartbeat of the named replicas at all nodes."""
        for node in self.nodes.values():
            for name in names:
                node.find("replicas").record_heartbeat(name, 0, sequence)

    def delay(self, zone, other_zone):
        """Return the one-way delay between two zones, in seconds."""
        return LOCAL_DELAY_SECONDS + (self.shape.zone_seconds if zone != other_zone else 0)

    def deliver(self, origin, target, message):
        """Deliver a message after the delay; drop it without an error if a node is lost."""
        if target in self.lost_names or origin in self.lost_names:
            return True
        zone, other_zone = self.members[origin].zone, self.members[target].zone
        self.messages += 1
        if zone != other_zone:
            self.bytes_between_zones += len(cbor2.dumps(message)) + HEADER_BYTES
        event = self.env.timeout(self.delay(zone, other_zone))
        event.callbacks.append(lambda _: self.nodes[target].on_message(origin, message))
        return True
