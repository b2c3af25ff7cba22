"""A core that is too slow for a part leaves it to the next in rank, and for longer each time."""

import pytest

from quillring.kernel.effects import Sleep
from quillring.ownership.leadership_backoff import (
    JITTER_FACTOR,
    MAX_BACKOFF_HEARTBEATS,
    MIN_BACKOFF_HEARTBEATS,
)
from quillring.quorum.parts import CONFIG_PART
from tests.fleet_stage import SelfFoundingFleet

SLOW_STEPS = (0.002, 0.008, 0.03)
TOO_SLOW = 0.03
SLOW_SECONDS = 16
MOST_TERMS = 4
STEP = 0.02


def order(number):
    """Return an operator's order that differs from the one before."""
    return {"do": "domain.mark", "domain": f"zone-{number}", "emptied": True, "nodes": False}


class AlwaysLate:
    """A probe of the loop that says what it is told to."""

    is_late = True

    def was_late(self):
        """Tell whether the process woke late."""
        return self.is_late

    def run(self):
        """Coroutine: does nothing."""
        yield Sleep(0)


class Terms:
    """The terms of a part that its cores owned it under, as they are seen to begin."""

    def __init__(self, fleet, part=CONFIG_PART):
        self.fleet = fleet
        self.part = part
        self.seen = []

    def watch(self, seconds):
        """Let time pass and note each new term."""
        for _ in range(round(seconds / STEP)):
            self.fleet.run(STEP)
            for node in self.fleet.sim.up_nodes("core"):
                owner = node.find("ownership").leaders.get(self.part)
                if owner is not None and owner.is_leader and owner.ballot not in self.seen:
                    self.seen.append(owner.ballot)

    def cores(self):
        """Return the cores of the terms seen, in turn."""
        return [ballot[1].partition("#")[0] for ballot in self.seen]


def slowed(seed, step_seconds):
    """Return a fleet whose owner of the configuration is slow from now on, and its name."""
    fleet = SelfFoundingFleet(seed)
    name = fleet.owner()
    fleet.sim.nodes[name].runtime.step_seconds = step_seconds
    return fleet, name


@pytest.mark.parametrize("step_seconds", SLOW_STEPS)
@pytest.mark.parametrize("seed", [21, 22, 23])
def test_a_slow_core_does_not_take_a_part_again_and_again(seed, step_seconds):
    fleet, name = slowed(seed, step_seconds)
    terms = Terms(fleet)
    terms.watch(SLOW_SECONDS)
    assert len(terms.seen) <= MOST_TERMS, terms.cores()
    assert fleet.owner() is not None, terms.cores()
    assert step_seconds < TOO_SLOW or fleet.owner() != name, terms.cores()


@pytest.mark.parametrize("step_seconds", SLOW_STEPS)
@pytest.mark.parametrize("seed", [21, 22])
def test_a_slow_core_that_is_asked_for_much_leaves_its_parts(seed, step_seconds):
    fleet, name = slowed(seed, step_seconds)
    terms = Terms(fleet)
    other = next(core for core in fleet.sim.names("core") if core != name)
    for number in range(20):
        coroutine = fleet.sim.nodes[other].find("ownership").submit(CONFIG_PART, order(number), 0.8)
        fleet.env.process(fleet.sim.run_script(fleet.sim.nodes[other], coroutine))
        terms.watch(SLOW_SECONDS / 20)
    assert len(terms.seen) <= MOST_TERMS, terms.cores()
    assert fleet.submit(other, order(20))[1] is None


@pytest.mark.parametrize("seed", [31, 32])
def test_a_core_that_is_well_again_gets_its_parts_back_within_the_longest_rest(seed):
    fleet, name = slowed(seed, 0.03)
    fleet.run(SLOW_SECONDS)
    fleet.sim.nodes[name].runtime.step_seconds = 0
    longest = fleet.sim.bounds.heartbeat_interval * MAX_BACKOFF_HEARTBEATS * (1 + JITTER_FACTOR)
    assert fleet.wait_for(lambda: fleet.owner() == name, longest + fleet.sim.bounds.propagation)


@pytest.mark.parametrize("seed", [41, 42, 43])
def test_an_owner_that_freezes_again_and_again_is_waited_for_less_and_less(seed):
    fleet = SelfFoundingFleet(seed)
    name = fleet.owner()
    terms = Terms(fleet)
    for _ in range(10):
        fleet.sim.freeze(name, 3)
        terms.watch(8)
    assert terms.cores().count(name) <= 4, terms.cores()
    assert len(terms.seen) <= 9, terms.cores()


@pytest.mark.parametrize("seed", [51, 52])
def test_a_frozen_owner_that_wakes_rests_and_the_next_in_rank_keeps_the_part(seed):
    fleet = SelfFoundingFleet(seed)
    name = fleet.owner()
    ownership = fleet.sim.nodes[name].find("ownership")
    fleet.sim.freeze(name, 4)
    fleet.run(3.9)
    newer = fleet.owner()
    assert newer not in (None, name)
    assert fleet.wait_for(lambda: ownership.backoff.is_backing_off(name), 1)
    fleet.run(
        fleet.sim.bounds.heartbeat_interval * MIN_BACKOFF_HEARTBEATS * (1 - JITTER_FACTOR) - 0.1
    )
    assert fleet.owner() == newer


@pytest.mark.parametrize("count", [1, 2])
@pytest.mark.parametrize("seed", [61, 62])
def test_slow_disks_of_stores_are_no_fault_of_the_owner(seed, count):
    fleet = SelfFoundingFleet(seed)
    name = fleet.owner()
    group = [store[0] for store in fleet.sim.nodes[name].find("ownership").group(CONFIG_PART)]
    former = {store: fleet.sim.disks[store].sync_seconds for store in group}
    for store in group[:count]:
        fleet.sim.disks[store].sync_seconds = (0.6, 1.2)
    terms = Terms(fleet)
    for number in range(10):
        fleet.submit("core-2", order(number))
        terms.watch(1)
    assert not any(n.counts.get("rests") for n in fleet.sim.up_nodes("core"))
    assert set(terms.cores()) <= {name}
    assert count > 1 or terms.seen
    for store, seconds in former.items():
        fleet.sim.disks[store].sync_seconds = seconds
    assert fleet.wait_for(lambda: fleet.submit("core-2", order(11))[1] is None, 3) is not None


def test_rests_grow_up_to_their_bound_and_begin_anew_after_a_good_time():
    fleet = SelfFoundingFleet(71)
    node = fleet.sim.nodes["core-1"]
    backoff, beat = node.find("ownership").backoff, fleet.sim.bounds.heartbeat_interval
    backoff.loop_lag = AlwaysLate()
    lengths = []
    for _ in range(8):
        backoff.note_lost_term()
        backoff.note_lost_term()
        lengths.append((backoff.ends_at - node.now()) / beat)
        backoff.loop_lag.is_late = False
        fleet.run(backoff.ends_at - node.now() + beat * 2)
        assert not backoff.is_backing_off("core-1")
        backoff.loop_lag.is_late = True
    wanted = [4, 8, 16, 32, 64, 64, 64, 64]
    for length, middle in zip(lengths, wanted, strict=True):
        assert middle * (1 - JITTER_FACTOR) <= length <= middle * (1 + JITTER_FACTOR)
    fleet.run(beat * MAX_BACKOFF_HEARTBEATS + 1)
    backoff.note_lost_term()
    assert (backoff.ends_at - node.now()) / beat <= MIN_BACKOFF_HEARTBEATS * (1 + JITTER_FACTOR)


def test_where_all_cores_rest_the_first_of_them_still_acts():
    fleet = SelfFoundingFleet(81)
    for name in fleet.sim.names("core"):
        backoff = fleet.sim.nodes[name].find("ownership").backoff
        backoff.loop_lag = AlwaysLate()
        backoff.note_lost_term()
    fleet.run(1)
    fleet.sim.kill(fleet.owner())
    assert fleet.wait_for(lambda: fleet.owner() is not None, 4) is not None
    assert fleet.submit(fleet.owner(), order(1))[1] is None
