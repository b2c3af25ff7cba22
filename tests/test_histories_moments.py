"""Tests the moments of recorded runs: each reveals its seeded bug and is clean without it."""

import pytest
import simpy

from proving.histories.bugs import BUGS
from proving.histories.moments import MOMENT_NAMES
from proving.histories.run import run_seed
from proving.sim.network import SimNet

MOMENT_BY_BUG = {
    "answer before sync": "power_after_answer",
    "unfenced orders": "order_after_its_end",
    "local read": "read_at_waking",
    "lot accepted anew": "lot_again",
    "entry in flight": "read_in_flight",
}
DEFAULT_SEED, FAULT_COUNT = 1, 0
SEED_BY_BUG = {"local read": 2}


def test_each_moment_is_designed_for_one_seeded_bug():
    assert sorted(MOMENT_BY_BUG.values()) == sorted(MOMENT_NAMES)
    assert set(MOMENT_BY_BUG) <= {bug.name for bug in BUGS}


@pytest.mark.parametrize("name", sorted(MOMENT_BY_BUG))
def test_a_moment_reveals_its_seeded_bug_and_has_no_findings_with_the_guard(name):
    moments, seed = (MOMENT_BY_BUG[name],), SEED_BY_BUG.get(name, DEFAULT_SEED)
    bug = next(bug for bug in BUGS if bug.name == name)
    with bug.patch():
        assert run_seed(seed, FAULT_COUNT, moments).findings
    clean = run_seed(seed, FAULT_COUNT, moments)
    assert (clean.findings, clean.undecided) == ((), ())


class MidpointRandom:
    """A random generator without rare events, which draws the middle of each range."""

    def random(self):
        """Return a number above every probability of a fault."""
        return 0.99

    def uniform(self, low, high):
        """Return the middle of the range."""
        return (low + high) / 2


class RecordingReceiver:
    """Records the packets that arrive at an address."""

    def __init__(self):
        self.packets = []

    def receive(self, kind, data):
        """Record a packet."""
        self.packets.append((kind, data))


def test_a_hold_delays_only_frames_of_its_period_and_path_until_the_release_event():
    env = simpy.Environment()
    net, receiver, released = SimNet(env, MidpointRandom()), RecordingReceiver(), env.event()
    net.attach("b", receiver)
    net.hold_frames("a", "b", 1.0, released)
    net.carry("a", "b", b"held", "frame")
    net.carry("a", "b", b"told", "datagram")
    net.carry("c", "b", b"other way", "frame")
    env.run(until=2.0)
    net.carry("a", "b", b"later", "frame")
    env.run(until=3.0)
    assert receiver.packets == [
        ("datagram", b"told"),
        ("frame", b"other way"),
        ("frame", b"later"),
    ]
    released.succeed()
    env.run(until=4.0)
    assert receiver.packets[3:] == [("frame", b"held")]
