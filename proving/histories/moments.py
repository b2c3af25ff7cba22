"""Rare moments of a recorded run: each brings calls and faults together within milliseconds.

Faults at random times hardly ever meet the few milliseconds in which a missing guard would show. A
moment chooses its time by what happens: an answer that came, an order that is under way.
"""

import random

from proving.histories.clients import LotClient, Operator
from proving.histories.operations import (
    CONFIGURATION,
    AcceptLot,
    Done,
    FetchConfiguration,
    MarkZone,
    ReadResults,
    ResultsSeen,
)

MOMENTS = (
    "power_after_answer",
    "order_after_its_end",
    "read_at_waking",
    "lot_again",
    "read_in_flight",
)
MOMENTS_FROM, MOMENTS_UNTIL = 2.5, 18.0
SLOW_SYNC = (0.04, 0.12)
FROZEN_SECONDS = (4.0, 8.0)
BEFORE_WAKING, CHANGE_BEFORE_WAKING = 0.03, 1.2
LONG_ORDER_SECONDS, HELD_CALL_SECONDS, UNTIL_TAKEN = 4.0, 0.3, 0.1
PEEK_SECONDS, ANSWERS_HELD_SECONDS, ANSWERS_WINDOW = 0.5, 0.4, 0.03
READS_IN_FLIGHT, READ_TURNS = 3, 30


class Moments:
    """Brings a few moments of the named kinds about at random times."""

    def __init__(self, run, faults, names):
        self.run = run
        self.faults = faults
        self.stage, self.sim, self.env = run.stage, run.stage.sim, run.stage.env
        self.chance = random.Random(f"moments {run.stage.history.seed}")
        self.kinds = [getattr(self, name) for name in names]

    def play(self, count):
        """Process: begin `count` moments at random times."""
        times = sorted(self.chance.uniform(MOMENTS_FROM, MOMENTS_UNTIL) for _ in range(count))
        for at in times:
            yield self.env.timeout(max(0, at - self.env.now))
            moment = self.chance.choice(self.kinds)
            self.run.count(f"moment {moment.__name__}")
            self.sim.history.note(f"moment {moment.__name__}")
            self.env.process(moment())

    def operator(self, name):
        """Return an operator of this moment."""
        return Operator(self.run, f"operator {name} {self.env.now:.2f}")

    def owner(self):
        """Return the running core that owns the configuration, or None."""
        node = self.sim.nodes[self.faults.owner_name()]
        return node if self.sim.is_up(node) else None

    def other_node(self, *taken):
        """Return a running edge or core that is none of these, or None."""
        nodes = [
            node
            for name, node in self.sim.nodes.items()
            if not name.startswith("store") and self.sim.is_up(node) and node not in taken
        ]
        return self.chance.choice(nodes) if nodes else None

    def annex(self):
        """Return the name of a zone that no other order of the run is about."""
        name = f"annex-{len(self.stage.zones)}"
        self.stage.zones.append(name)
        return f"zone/{name}"

    def power_after_answer(self):
        """An order is acknowledged while disks are slow; in that instant the power is lost."""
        usual = {name: disk.sync_seconds for name, disk in self.sim.disks.items()}
        for disk in self.sim.disks.values():
            disk.sync_seconds = SLOW_SYNC
        answer = yield from self.operator("before").send(self.annex(), MarkZone(True))
        if isinstance(answer, Done):
            yield from self.lose_power()
        for name, disk in self.sim.disks.items():
            disk.sync_seconds = usual[name]

    def lose_power(self):
        """Process: all stores and cores lose their power at once and come back one by one."""
        names = [name for name in sorted(self.sim.nodes) if not name.startswith("edge")]
        lost = [name for name in names if not self.sim.nodes[name].runtime.is_dead]
        for name in lost:
            self.sim.kill(name, loses_power=True)
        for name in lost:
            yield from self.faults.bring_back(name, self.chance.uniform(0.05, 0.4))

    def order_after_its_end(self):
        """An order's first copy is held; the second is taken, ended, and then the first comes."""
        owner = self.owner()
        node = self.other_node(owner)
        if owner is None or node is None:
            return
        home, target = node.me.address, owner.me.address
        released = self.env.event()
        self.sim.net.hold_frames(home, target, self.env.now + HELD_CALL_SECONDS, released)
        operator, zone = self.operator("held"), self.annex()
        patience = (LONG_ORDER_SECONDS, LONG_ORDER_SECONDS)
        yield from operator.send(zone, MarkZone(True), node, patience, LONG_ORDER_SECONDS)
        yield from operator.pause(0.01, 0.1)
        yield from operator.send_surely(zone, MarkZone(False))
        released.succeed()
        yield self.env.timeout(UNTIL_TAKEN)
        yield from operator.send(CONFIGURATION, FetchConfiguration())

    def read_at_waking(self):
        """An owner freezes, others change things, and a read is the first that it finds."""
        owner = self.owner()
        if owner is None:
            return
        woken_at = self.env.now + self.chance.uniform(*FROZEN_SECONDS)
        self.sim.freeze(owner.me.name, woken_at - self.env.now)
        is_deaf = self.chance.random() < 0.5
        others = [name for name in sorted(self.sim.nodes) if name != owner.me.name]
        if is_deaf:
            self.env.process(self.faults.keep_deaf(owner.me.name, others, woken_at))
        yield self.env.timeout(woken_at - CHANGE_BEFORE_WAKING - self.env.now)
        writer = self.operator("meanwhile")
        yield from writer.send(self.annex(), MarkZone(True), self.other_node(owner))
        yield self.env.timeout(max(0, woken_at - BEFORE_WAKING - self.env.now))
        reader = self.operator("waking")
        yield from reader.send(CONFIGURATION, FetchConfiguration(), owner)

    def lot_again(self):
        """A lot is handed in again after its results were read, and read again."""
        client = LotClient(self.run, f"client again {self.env.now:.2f}")
        target = f"lot/{self.run.next_lot()}"
        order = AcceptLot(client.name, self.chance.randrange(2, 9))
        yield from client.send_surely(target, order)
        for _ in range(READ_TURNS):
            answer = yield from client.send(target, ReadResults(0))
            if isinstance(answer, ResultsSeen) and answer.rows:
                break
            yield from client.pause(0.1, 0.4)
        yield from client.send_surely(target, order)
        yield from client.send(target, ReadResults(0))

    def read_in_flight(self):
        """Answers to an owner's entry are held; one reads it from the stores, others at the owner.

        The first reader's call to the owner is held as well, so that it asks the stores.
        """
        owner = self.owner()
        first, second = self.other_node(owner), self.other_node(owner)
        if owner is None or first is None:
            return
        net, target, now = self.sim.net, owner.me.address, self.env.now
        released = self.env.timeout(PEEK_SECONDS * 2)
        net.hold_frames(first.me.address, target, now + HELD_CALL_SECONDS, released)
        reader = self.operator("in flight")
        read = self.env.process(reader.send(CONFIGURATION, FetchConfiguration(), first, (2.0, 2.0)))
        yield self.env.timeout(PEEK_SECONDS - 0.1)
        end_time, released = self.env.now + ANSWERS_WINDOW, self.env.timeout(ANSWERS_HELD_SECONDS)
        for name in self.sim.names("store"):
            net.hold_frames(self.sim.nodes[name].me.address, target, end_time, released)
        writer = self.operator("in flight too")
        self.env.process(writer.send(self.annex(), MarkZone(True), second))
        yield read
        for _ in range(READS_IN_FLIGHT):
            yield from reader.send(CONFIGURATION, FetchConfiguration(), owner)
