"""The simulated network holds messages and copies of them, and draws nothing for shares of zero.

Its loud cuts reset or refuse connections, and leave the other kinds as they were.
"""

import random

import pytest
import simpy

from proving.sim.network import CutKind, SimNet

HOME, TARGET = ("10.0.0.1", 1), ("10.0.0.2", 1)


class Receiver:
    """Notes when packets arrive."""

    def __init__(self, env):
        self.env = env
        self.arrivals = []

    def receive(self, kind, data):
        """Note a packet."""
        self.arrivals.append((self.env.now, kind, data))


def carry_one(**shares):
    """Carry one frame; return the receiver, the network and the state of its chance."""
    env = simpy.Environment()
    net = SimNet(env, random.Random(1))
    for name, share in shares.items():
        setattr(net, name, share)
    receiver = Receiver(env)
    net.attach(TARGET, receiver)
    net.carry(HOME, TARGET, b"frame", "frame")
    return env, net, receiver


def test_a_late_copy_comes_beside_the_message_and_a_late_message_in_its_place():
    env, net, receiver = carry_one(late_copy_share=1.0)
    env.run(until=net.longest_hold + 1)
    assert [data for _, _, data in receiver.arrivals] == [b"frame", b"frame"]
    assert receiver.arrivals[0][0] <= net.max_delay < receiver.arrivals[1][0]
    env, net, receiver = carry_one(late_share=1.0)
    env.run(until=net.longest_hold + 1)
    assert [at > net.max_delay for at, _, _ in receiver.arrivals] == [True]
    assert net.late_packets == 1


def test_a_held_message_outlasts_a_cut_and_goes_to_who_has_the_address_then():
    env, net, receiver = carry_one(late_share=1.0)
    net.cut(HOME, TARGET)
    heir = Receiver(env)
    net.attach(TARGET, heir)
    net.heal()
    env.run(until=net.longest_hold + 1)
    assert receiver.arrivals == [] and len(heir.arrivals) == 1
    assert net.late_share == 0


def test_a_held_message_that_comes_into_a_cut_is_lost():
    env, net, receiver = carry_one(late_share=1.0)
    net.cut(HOME, TARGET)
    env.run(until=net.longest_hold + 1)
    assert receiver.arrivals == []


def test_shares_of_zero_take_nothing_from_the_chance():
    _, net, _ = carry_one()
    former = random.Random(1)
    former.random(), former.random(), former.uniform(0, 1), former.random()
    assert net.chance.getstate() == former.getstate()


class Line:
    """Two addresses of a network, with what each of them receives."""

    def __init__(self):
        self.env = simpy.Environment()
        self.net = SimNet(self.env, random.Random(2))
        self.home, self.target = Receiver(self.env), Receiver(self.env)
        self.net.attach(HOME, self.home)
        self.net.attach(TARGET, self.target)

    def send(self, kind="frame"):
        """Send a packet and let it come, or its refusal."""
        self.net.carry(HOME, TARGET, b"x", kind)
        self.env.run(until=self.env.now + 0.1)

    def kinds(self):
        """Return the kinds of packets that came to each side."""
        return [[kind for _, kind, _ in side.arrivals] for side in (self.home, self.target)]


def test_a_refusing_cut_refuses_each_frame_and_swallows_datagrams():
    line = Line()
    line.net.cut(HOME, TARGET, kind=CutKind.REFUSING)
    line.send()
    line.send("datagram")
    line.send()
    assert line.kinds() == [["refused", "refused"], []]
    assert {data for _, _, data in line.home.arrivals} == {TARGET}
    line.net.heal()
    line.send()
    assert line.kinds() == [["refused", "refused"], ["frame"]]


def test_a_refusing_cut_tells_at_once_whoever_had_a_connection_there():
    line = Line()
    line.send()
    line.net.cut(HOME, TARGET, kind=CutKind.REFUSING)
    line.env.run(until=1)
    assert line.kinds() == [["refused"], ["frame"]]
    assert line.net.refused_frames == 1


def test_a_refusing_cut_that_is_over_before_one_looks_again_refuses_nobody():
    line = Line()
    line.send()
    line.net.cut(HOME, TARGET, kind=CutKind.REFUSING)
    line.net.heal()
    line.env.run(until=1)
    assert line.kinds() == [[], ["frame"]]


@pytest.mark.parametrize("kind", [CutKind.REFUSING, CutKind.RESETTING])
def test_what_is_under_way_on_a_connection_that_is_reset_never_comes(kind):
    line = Line()
    line.net.carry(HOME, TARGET, b"lost", "frame")
    line.net.carry(HOME, TARGET, b"beat", "datagram")
    line.net.cut(HOME, TARGET, kind=kind)
    line.net.heal()
    line.env.run(until=1)
    assert [data for _, _, data in line.target.arrivals] == [b"beat"]
    assert line.net.reset_frames >= 1


def test_a_resetting_cut_loses_each_frame_and_refuses_nobody():
    line = Line()
    line.send()
    line.net.cut(HOME, TARGET, kind=CutKind.RESETTING)
    line.send()
    line.send()
    assert line.kinds() == [[], ["frame"]]
    assert line.net.reset_frames == 3


def test_one_way_of_a_refusing_cut_leaves_the_other_open():
    line = Line()
    line.net.cut(HOME, TARGET, both_ways=False, kind=CutKind.REFUSING)
    line.net.carry(TARGET, HOME, b"back", "frame")
    line.send()
    assert line.kinds() == [["frame", "refused"], []]


def test_a_silent_cut_after_a_refusing_one_refuses_nobody():
    line = Line()
    line.net.cut(HOME, TARGET, kind=CutKind.REFUSING)
    line.net.cuts.clear()
    line.net.cut(HOME, TARGET)
    line.send()
    assert line.kinds() == [[], []]
