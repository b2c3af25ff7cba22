"""The simulated network holds messages and copies of them, and draws nothing for shares of zero."""

import random

import simpy

from proving.sim.net import SimNet

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
