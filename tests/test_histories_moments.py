"""Rare moments of recorded runs: each shows the guard that it was made for, and nothing else."""

import pytest
import simpy

from proving.histories.bugs import BUGS
from proving.histories.moments import MOMENTS
from proving.histories.run import run_seed
from proving.sim.network import SimNet

SHOWN_BY = {
    "answer before sync": "power_after_answer",
    "unfenced orders": "order_after_its_end",
    "local read": "read_at_waking",
    "lot accepted anew": "lot_again",
    "entry in flight": "read_in_flight",
}
SEED, NO_FAULTS = 1, 0
OTHER_SEEDS = {"local read": 2}


def test_each_moment_is_made_for_a_seeded_bug():
    assert sorted(SHOWN_BY.values()) == sorted(MOMENTS)
    assert set(SHOWN_BY) <= {bug.name for bug in BUGS}


@pytest.mark.parametrize("name", sorted(SHOWN_BY))
def test_a_moment_shows_its_bug_and_is_clean_with_the_guard(name):
    moments, seed = (SHOWN_BY[name],), OTHER_SEEDS.get(name, SEED)
    bug = next(bug for bug in BUGS if bug.name == name)
    with bug.patch():
        assert run_seed(seed, NO_FAULTS, moments).findings
    clean = run_seed(seed, NO_FAULTS, moments)
    assert (clean.findings, clean.undecided) == ((), ())


class Always:
    """Chance that draws the middle of a range and no rare thing."""

    def random(self):
        """Return a number that no share reaches."""
        return 0.99

    def uniform(self, low, high):
        """Return the middle."""
        return (low + high) / 2


class Receiver:
    """Keeps what arrives at an address."""

    def __init__(self):
        self.got = []

    def receive(self, kind, data):
        """Take a packet."""
        self.got.append((kind, data))


def test_a_held_way_holds_frames_of_its_time_only_until_the_event():
    env = simpy.Environment()
    net, receiver, released = SimNet(env, Always()), Receiver(), env.event()
    net.attach("b", receiver)
    net.hold_frames("a", "b", 1.0, released)
    net.carry("a", "b", b"held", "frame")
    net.carry("a", "b", b"told", "datagram")
    net.carry("c", "b", b"other way", "frame")
    env.run(until=2.0)
    net.carry("a", "b", b"later", "frame")
    env.run(until=3.0)
    assert receiver.got == [
        ("datagram", b"told"),
        ("frame", b"other way"),
        ("frame", b"later"),
    ]
    released.succeed()
    env.run(until=4.0)
    assert receiver.got[3:] == [("frame", b"held")]
