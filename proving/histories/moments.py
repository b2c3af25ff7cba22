"""Moments of a recorded run: short scenarios with calls and faults within the same milliseconds.

Faults at random times rarely hit the few milliseconds in which a missing guard has an effect. A
moment instead times its faults by events, such as the arrival of an answer or an order in flight.
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

MOMENT_NAMES = (
    "power_after_answer",
    "order_after_its_end",
    "read_at_waking",
    "lot_again",
    "read_in_flight",
)
MOMENTS_START_SECONDS, MOMENTS_END_SECONDS = 2.5, 18.0
SLOW_SYNC_SECONDS = (0.04, 0.12)
FROZEN_SECONDS = (4.0, 8.0)
READ_BEFORE_THAW_SECONDS, CHANGE_BEFORE_THAW_SECONDS = 0.03, 1.2
LONG_ORDER_SECONDS, HELD_CALL_SECONDS, DELIVERY_SECONDS = 4.0, 0.3, 0.1
STORE_READ_DELAY_SECONDS, ANSWERS_HELD_SECONDS, ANSWERS_WINDOW_SECONDS = 0.5, 0.4, 0.03
READS_IN_FLIGHT, MAX_READS = 3, 30


class MomentScheduler:
    """Starts moments at random times; each kind is the method of that name in MOMENT_NAMES."""

    def __init__(self, run, faults, names):
        self.run = run
        self.faults = faults
        self.stage, self.sim, self.env = run.stage, run.stage.sim, run.stage.env
        self.rng = random.Random(f"moments {run.stage.history.seed}")
        self.kinds = [getattr(self, name) for name in names]

    def play(self, count):
        """Process: start `count` moments at random times."""
        times = sorted(
            self.rng.uniform(MOMENTS_START_SECONDS, MOMENTS_END_SECONDS) for _ in range(count)
        )
        for at in times:
            yield self.env.timeout(max(0, at - self.env.now))
            moment = self.rng.choice(self.kinds)
            self.run.count(f"moment {moment.__name__}")
            self.sim.history.note(f"moment {moment.__name__}")
            self.env.process(moment())

    def operator(self, name):
        """Return a new operator whose name contains the time."""
        return Operator(self.run, f"operator {name} {self.env.now:.2f}")

    def owner(self):
        """Return the core that owns the config part, or None if it is down."""
        node = self.sim.nodes[self.faults.owner_name()]
        return node if self.sim.is_up(node) else None

    def other_node(self, *excluded):
        """Return a random running edge or core that is not excluded, or None."""
        nodes = [
            node
            for name, node in self.sim.nodes.items()
            if not name.startswith("store") and self.sim.is_up(node) and node not in excluded
        ]
        return self.rng.choice(nodes) if nodes else None

    def annex(self):
        """Return the object name of a new zone `annex-N`, to which no other order refers."""
        name = f"annex-{len(self.stage.zones)}"
        self.stage.zones.append(name)
        return f"zone/{name}"

    def power_after_answer(self):
        """All stores and cores lose power as soon as an order is acknowledged.

        Disks are slow, so an order that was acknowledged before its records were synced is lost.
        """
        normal_sync_seconds = {name: disk.sync_seconds for name, disk in self.sim.disks.items()}
        for disk in self.sim.disks.values():
            disk.sync_seconds = SLOW_SYNC_SECONDS
        answer = yield from self.operator("before").send(self.annex(), MarkZone(True))
        if isinstance(answer, Done):
            yield from self.lose_power()
        for name, disk in self.sim.disks.items():
            disk.sync_seconds = normal_sync_seconds[name]

    def lose_power(self):
        """Process: all stores and cores lose power at the same time and restart one by one."""
        names = [name for name in sorted(self.sim.nodes) if not name.startswith("edge")]
        running_names = [name for name in names if not self.sim.nodes[name].runtime.is_dead]
        for name in running_names:
            self.sim.kill(name, loses_power=True)
        for name in running_names:
            yield from self.faults.restart_after(name, self.rng.uniform(0.05, 0.4))

    def order_after_its_end(self):
        """A delayed copy of an order arrives after the order was applied and then reversed.

        The network delays the first copy to the owner. A retry drains the zone, a second order
        restores it, and then the first copy is delivered. Without a fence it drains the zone again.
        """
        owner = self.owner()
        node = self.other_node(owner)
        if owner is None or node is None:
            return
        source, destination = node.me.address, owner.me.address
        released = self.env.event()
        self.sim.net.hold_frames(source, destination, self.env.now + HELD_CALL_SECONDS, released)
        operator, zone = self.operator("held"), self.annex()
        wait_seconds = (LONG_ORDER_SECONDS, LONG_ORDER_SECONDS)
        yield from operator.send(zone, MarkZone(True), node, wait_seconds, LONG_ORDER_SECONDS)
        yield from operator.pause(0.01, 0.1)
        yield from operator.send_with_resends(zone, MarkZone(False))
        released.succeed()
        yield self.env.timeout(DELIVERY_SECONDS)
        yield from operator.send(CONFIGURATION, FetchConfiguration())

    def read_at_waking(self):
        """The owner of the config part thaws and handles a read after others made a change.

        In half of the cases it receives nothing that the others sent while it was frozen. Without a
        confirmation that it still leads it would return the old configuration.
        """
        owner = self.owner()
        if owner is None:
            return
        thaw_at = self.env.now + self.rng.uniform(*FROZEN_SECONDS)
        self.sim.freeze(owner.me.name, thaw_at - self.env.now)
        is_blocked = self.rng.random() < 0.5
        others = [name for name in sorted(self.sim.nodes) if name != owner.me.name]
        if is_blocked:
            self.env.process(self.faults.block_incoming(owner.me.name, others, thaw_at))
        yield self.env.timeout(thaw_at - CHANGE_BEFORE_THAW_SECONDS - self.env.now)
        writer = self.operator("meanwhile")
        yield from writer.send(self.annex(), MarkZone(True), self.other_node(owner))
        yield self.env.timeout(max(0, thaw_at - READ_BEFORE_THAW_SECONDS - self.env.now))
        reader = self.operator("waking")
        yield from reader.send(CONFIGURATION, FetchConfiguration(), owner)

    def lot_again(self):
        """A lot is submitted again after some of its results were read, and is then read again.

        If the repeat were accepted as a new lot, the results would be gone.
        """
        client = LotClient(self.run, f"client again {self.env.now:.2f}")
        target = f"lot/{self.run.next_lot_name()}"
        order = AcceptLot(client.name, self.rng.randrange(2, 9))
        yield from client.send_with_resends(target, order)
        for _ in range(MAX_READS):
            answer = yield from client.send(target, ReadResults(0))
            if isinstance(answer, ResultsSeen) and answer.rows:
                break
            yield from client.pause(0.1, 0.4)
        yield from client.send_with_resends(target, order)
        yield from client.send(target, ReadResults(0))

    def read_in_flight(self):
        """Reads at the owner follow a read at the stores, which showed an entry still in flight.

        The stores accept an entry of the owner, but the network delays their answers. It also
        delays the first reader's call to the owner, so the reader falls back to the stores.
        """
        owner = self.owner()
        first_node, second_node = self.other_node(owner), self.other_node(owner)
        if owner is None or first_node is None:
            return
        net, destination, now = self.sim.net, owner.me.address, self.env.now
        released = self.env.timeout(STORE_READ_DELAY_SECONDS * 2)
        net.hold_frames(first_node.me.address, destination, now + HELD_CALL_SECONDS, released)
        reader = self.operator("in flight")
        read = self.env.process(
            reader.send(CONFIGURATION, FetchConfiguration(), first_node, (2.0, 2.0))
        )
        yield self.env.timeout(STORE_READ_DELAY_SECONDS - 0.1)
        end_time, released = (
            self.env.now + ANSWERS_WINDOW_SECONDS,
            self.env.timeout(ANSWERS_HELD_SECONDS),
        )
        for name in self.sim.names("store"):
            net.hold_frames(self.sim.nodes[name].me.address, destination, end_time, released)
        writer = self.operator("in flight too")
        self.env.process(writer.send(self.annex(), MarkZone(True), second_node))
        yield read
        for _ in range(READS_IN_FLIGHT):
            yield from reader.send(CONFIGURATION, FetchConfiguration(), owner)
