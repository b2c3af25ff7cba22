"""Emulated nodes: the product's services over simulated time and a network of fixed delays."""

import random
from typing import NamedTuple

import cbor2

from quillring.fleet import make_node
from quillring.forward.load_balancer import LoadBalancer
from quillring.kernel.bounds import Bounds
from quillring.kernel.effects import Sleep, Wait
from quillring.kernel.member import Member

LOCAL_SECONDS = 0.0003
"""One way between two nodes of a zone, the time to handle a message included."""
HEADER_BYTES = 60
EPOCH = 1000.0


class EmulatedRequest(NamedTuple):
    """What the load balancer reads of a request."""

    prompt_parts: tuple
    prompt_tokens: int
    body: bytes


class Graph(NamedTuple):
    """A graph in which all nodes reach each other."""

    routes: dict


class Roster(NamedTuple):
    """All members by name."""

    members: dict


class StaticNetwork:
    """The peer layer of one emulated node: every member is reached, with a delay by zone."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        self.graph, self.roster = fleet.graphs[name], fleet.roster

    def reaches(self, name):
        """Return whether a member is there."""
        return name in self.fleet.members and name not in self.fleet.lost_names

    def member_count(self):
        """Return how many members there are."""
        return len(self.fleet.members)

    def find_member(self, name):
        """Return a member."""
        return self.fleet.members.get(name)

    def send(self, target, message):
        """Deliver a message after the delay between the zones."""
        return self.fleet.deliver(self.name, target, message)


class EmulatedRuntime:
    """Drives the coroutines of one node in simulated time."""

    def __init__(self, env, seed):
        self.env, self.random = env, random.Random(seed)

    def now(self):
        """Return simulated seconds."""
        return EPOCH + self.env.now

    def spawn(self, coroutine):
        """Run a coroutine."""
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
    """All nodes of a shape, each with a load balancer of its own under one policy."""

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
        """Make a replica known to all nodes."""
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
        """Let all nodes know that replicas live."""
        for node in self.nodes.values():
            for name in names:
                node.find("replicas").record_heartbeat(name, 0, sequence)

    def delay(self, zone, other_zone):
        """Return the seconds one way between two zones."""
        return LOCAL_SECONDS + (self.shape.zone_seconds if zone != other_zone else 0)

    def deliver(self, origin, target, message):
        """Send a message between two nodes."""
        if target in self.lost_names or origin in self.lost_names:
            return True
        zone, other_zone = self.members[origin].zone, self.members[target].zone
        self.messages += 1
        if zone != other_zone:
            self.bytes_between_zones += len(cbor2.dumps(message)) + HEADER_BYTES
        event = self.env.timeout(self.delay(zone, other_zone))
        event.callbacks.append(lambda _: self.nodes[target].on_message(origin, message))
        return True
