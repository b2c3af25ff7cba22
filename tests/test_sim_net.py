"""The simulated network: late delivery, late copies, and cuts that reset or refuse connections.

Faults with a share of zero consume no random values, so that they don't change other draws.
"""

import random

import pytest
import simpy

from proving.sim.network import CutKind, SimNet

SOURCE, TARGET = ("10.0.0.1", 1), ("10.0.0.2", 1)


class Receiver:
    """Records the packets that arrive, with their times."""

    def __init__(self, env):
        self.env = env
        self.arrivals = []

    def receive(self, kind, data):
        """Record a packet."""
        self.arrivals.append((self.env.now, kind, data))


def carry_one(**shares):
    """Carry one frame with these fault shares; return (env, network, receiver)."""
    env = simpy.Environment()
    net = SimNet(env, random.Random(1))
    for name, share in shares.items():
        setattr(net, name, share)
    receiver = Receiver(env)
    net.attach(TARGET, receiver)
    net.carry(SOURCE, TARGET, b"frame", "frame")
    return env, net, receiver


def test_a_late_copy_is_an_additional_delivery_and_a_late_message_is_the_only_one():
    env, net, receiver = carry_one(late_copy_share=1.0)
    env.run(until=net.max_late_delay_seconds + 1)
    assert [data for _, _, data in receiver.arrivals] == [b"frame", b"frame"]
    assert receiver.arrivals[0][0] <= net.max_delay_seconds < receiver.arrivals[1][0]
    env, net, receiver = carry_one(late_share=1.0)
    env.run(until=net.max_late_delay_seconds + 1)
    assert [at > net.max_delay_seconds for at, _, _ in receiver.arrivals] == [True]
    assert net.late_packets == 1


def test_a_late_message_survives_a_healed_cut_and_goes_to_the_new_process_at_its_address():
    env, net, receiver = carry_one(late_share=1.0)
    net.cut(SOURCE, TARGET)
    new_receiver = Receiver(env)
    net.attach(TARGET, new_receiver)
    net.heal()
    env.run(until=net.max_late_delay_seconds + 1)
    assert receiver.arrivals == [] and len(new_receiver.arrivals) == 1
    assert net.late_share == 0


def test_a_late_message_that_arrives_during_a_cut_is_lost():
    env, net, receiver = carry_one(late_share=1.0)
    net.cut(SOURCE, TARGET)
    env.run(until=net.max_late_delay_seconds + 1)
    assert receiver.arrivals == []


def test_shares_of_zero_consume_no_random_values():
    _, net, _ = carry_one()
    expected = random.Random(1)
    expected.random(), expected.random(), expected.uniform(0, 1), expected.random()
    assert net.chance.getstate() == expected.getstate()


class Link:
    """Two addresses of a network with a receiver at each."""

    def __init__(self):
        self.env = simpy.Environment()
        self.net = SimNet(self.env, random.Random(2))
        self.source, self.target = Receiver(self.env), Receiver(self.env)
        self.net.attach(SOURCE, self.source)
        self.net.attach(TARGET, self.target)

    def send(self, kind="frame"):
        """Send a packet and run until it, or its refusal, has arrived."""
        self.net.carry(SOURCE, TARGET, b"x", kind)
        self.env.run(until=self.env.now + 0.1)

    def kinds(self):
        """Return the kinds of the packets that arrived at each side."""
        return [[kind for _, kind, _ in side.arrivals] for side in (self.source, self.target)]


def test_a_refusing_cut_refuses_each_frame_and_drops_datagrams():
    link = Link()
    link.net.cut(SOURCE, TARGET, kind=CutKind.REFUSING)
    link.send()
    link.send("datagram")
    link.send()
    assert link.kinds() == [["refused", "refused"], []]
    assert {data for _, _, data in link.source.arrivals} == {TARGET}
    link.net.heal()
    link.send()
    assert link.kinds() == [["refused", "refused"], ["frame"]]


def test_a_refusing_cut_refuses_an_open_connection_at_once():
    link = Link()
    link.send()
    link.net.cut(SOURCE, TARGET, kind=CutKind.REFUSING)
    link.env.run(until=1)
    assert link.kinds() == [["refused"], ["frame"]]
    assert link.net.refused_frames == 1


def test_a_refusing_cut_that_heals_before_the_reconnect_refuses_no_connection():
    link = Link()
    link.send()
    link.net.cut(SOURCE, TARGET, kind=CutKind.REFUSING)
    link.net.heal()
    link.env.run(until=1)
    assert link.kinds() == [[], ["frame"]]


@pytest.mark.parametrize("kind", [CutKind.REFUSING, CutKind.RESETTING])
def test_frames_in_flight_on_a_reset_connection_are_lost(kind):
    link = Link()
    link.net.carry(SOURCE, TARGET, b"lost", "frame")
    link.net.carry(SOURCE, TARGET, b"beat", "datagram")
    link.net.cut(SOURCE, TARGET, kind=kind)
    link.net.heal()
    link.env.run(until=1)
    assert [data for _, _, data in link.target.arrivals] == [b"beat"]
    assert link.net.reset_frames >= 1


def test_a_resetting_cut_loses_each_frame_and_refuses_no_connection():
    link = Link()
    link.send()
    link.net.cut(SOURCE, TARGET, kind=CutKind.RESETTING)
    link.send()
    link.send()
    assert link.kinds() == [[], ["frame"]]
    assert link.net.reset_frames == 3


def test_a_one_way_refusing_cut_leaves_the_other_direction_open():
    link = Link()
    link.net.cut(SOURCE, TARGET, both_ways=False, kind=CutKind.REFUSING)
    link.net.carry(TARGET, SOURCE, b"back", "frame")
    link.send()
    assert link.kinds() == [["frame", "refused"], []]


def test_a_silent_cut_after_a_refusing_cut_refuses_no_connection():
    link = Link()
    link.net.cut(SOURCE, TARGET, kind=CutKind.REFUSING)
    link.net.cuts.clear()
    link.net.cut(SOURCE, TARGET)
    link.send()
    assert link.kinds() == [[], []]
