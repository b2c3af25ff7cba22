"""A core too slow to lead a part leaves it to the next candidate, with a growing backoff."""

import pytest

from quillring.kernel.effects import Sleep
from quillring.ownership.leadership_backoff import (
    JITTER_FACTOR,
    MAX_BACKOFF_HEARTBEATS,
    MIN_BACKOFF_HEARTBEATS,
)
from quillring.quorum.parts import CONFIG_PART
from tests.fleet_stage import SelfFoundingFleet

SLOW_STEP_SECONDS = (0.002, 0.008, 0.03)
TOO_SLOW_STEP_SECONDS = 0.03
OBSERVATION_SECONDS = 16
MAX_TERMS = 4
POLL_SECONDS = 0.02


def domain_order(number):
    """Return the command that marks a zone as emptied; each number names another zone."""
    return {"do": "domain.mark", "domain": f"zone-{number}", "emptied": True, "nodes": False}


class StubLoopLag:
    """Replaces LoopLag; reports the loop as late while `is_late` is set."""

    is_late = True

    def was_late(self):
        """Return whether the event loop was late."""
        return self.is_late

    def run(self):
        """Coroutine: yield one Sleep(0) and return."""
        yield Sleep(0)


class TermRecorder:
    """Records the ballots under which cores came to own a part, in order of appearance."""

    def __init__(self, fleet, part=CONFIG_PART):
        self.fleet = fleet
        self.part = part
        self.ballots = []

    def watch(self, seconds):
        """Advance the simulated time and record each new ballot of an owner."""
        for _ in range(round(seconds / POLL_SECONDS)):
            self.fleet.run(POLL_SECONDS)
            for node in self.fleet.sim.up_nodes("core"):
                owner = node.find("ownership").leaders.get(self.part)
                if owner is not None and owner.is_leader and owner.ballot not in self.ballots:
                    self.ballots.append(owner.ballot)

    def cores(self):
        """Return the owning core of each recorded ballot, in order."""
        return [ballot[1].partition("#")[0] for ballot in self.ballots]


def fleet_with_slow_owner(seed, step_seconds):
    """Return (a fleet whose configuration owner takes `step_seconds` per step, its name)."""
    fleet = SelfFoundingFleet(seed)
    name = fleet.owner()
    fleet.sim.nodes[name].runtime.step_seconds = step_seconds
    return fleet, name


@pytest.mark.parametrize("step_seconds", SLOW_STEP_SECONDS)
@pytest.mark.parametrize("seed", [21, 22, 23])
def test_slow_core_does_not_repeatedly_take_over_a_part(seed, step_seconds):
    fleet, name = fleet_with_slow_owner(seed, step_seconds)
    terms = TermRecorder(fleet)
    terms.watch(OBSERVATION_SECONDS)
    assert len(terms.ballots) <= MAX_TERMS, terms.cores()
    assert fleet.owner() is not None, terms.cores()
    assert step_seconds < TOO_SLOW_STEP_SECONDS or fleet.owner() != name, terms.cores()


@pytest.mark.parametrize("step_seconds", SLOW_STEP_SECONDS)
@pytest.mark.parametrize("seed", [21, 22])
def test_slow_core_under_load_causes_few_changes_of_owner(seed, step_seconds):
    fleet, name = fleet_with_slow_owner(seed, step_seconds)
    terms = TermRecorder(fleet)
    other = next(core for core in fleet.sim.names("core") if core != name)
    for number in range(20):
        coroutine = (
            fleet.sim.nodes[other].find("ownership").submit(CONFIG_PART, domain_order(number), 0.8)
        )
        fleet.env.process(fleet.sim.run_coroutine(fleet.sim.nodes[other], coroutine))
        terms.watch(OBSERVATION_SECONDS / 20)
    assert len(terms.ballots) <= MAX_TERMS, terms.cores()
    assert fleet.submit(other, domain_order(20))[1] is None


@pytest.mark.parametrize("seed", [31, 32])
def test_recovered_core_gets_its_parts_back_within_the_longest_backoff(seed):
    fleet, name = fleet_with_slow_owner(seed, 0.03)
    fleet.run(OBSERVATION_SECONDS)
    fleet.sim.nodes[name].runtime.step_seconds = 0
    longest_backoff_seconds = (
        fleet.sim.bounds.heartbeat_interval * MAX_BACKOFF_HEARTBEATS * (1 + JITTER_FACTOR)
    )
    assert fleet.wait_for(
        lambda: fleet.owner() == name, longest_backoff_seconds + fleet.sim.bounds.propagation
    )


@pytest.mark.parametrize("seed", [41, 42, 43])
def test_repeatedly_freezing_owner_takes_over_less_and_less_often(seed):
    fleet = SelfFoundingFleet(seed)
    name = fleet.owner()
    terms = TermRecorder(fleet)
    for _ in range(10):
        fleet.sim.freeze(name, 3)
        terms.watch(8)
    assert terms.cores().count(name) <= 4, terms.cores()
    assert len(terms.ballots) <= 9, terms.cores()


@pytest.mark.parametrize("seed", [51, 52])
def test_owner_that_resumes_from_a_freeze_backs_off_and_the_new_owner_keeps_the_part(seed):
    fleet = SelfFoundingFleet(seed)
    name = fleet.owner()
    ownership = fleet.sim.nodes[name].find("ownership")
    fleet.sim.freeze(name, 4)
    fleet.run(3.9)
    new_owner = fleet.owner()
    assert new_owner not in (None, name)
    assert fleet.wait_for(lambda: ownership.backoff.is_backing_off(name), 1)
    fleet.run(
        fleet.sim.bounds.heartbeat_interval * MIN_BACKOFF_HEARTBEATS * (1 - JITTER_FACTOR) - 0.1
    )
    assert fleet.owner() == new_owner


@pytest.mark.parametrize("count", [1, 2])
@pytest.mark.parametrize("seed", [61, 62])
def test_slow_store_disks_do_not_make_the_owner_back_off(seed, count):
    fleet = SelfFoundingFleet(seed)
    name = fleet.owner()
    group = [store[0] for store in fleet.sim.nodes[name].find("ownership").group(CONFIG_PART)]
    original_sync_seconds = {store: fleet.sim.disks[store].sync_seconds for store in group}
    for store in group[:count]:
        fleet.sim.disks[store].sync_seconds = (0.6, 1.2)
    terms = TermRecorder(fleet)
    for number in range(10):
        fleet.submit("core-2", domain_order(number))
        terms.watch(1)
    assert not any(n.counts.get("rests") for n in fleet.sim.up_nodes("core"))
    assert set(terms.cores()) <= {name}
    assert count > 1 or terms.ballots
    for store, seconds in original_sync_seconds.items():
        fleet.sim.disks[store].sync_seconds = seconds
    assert (
        fleet.wait_for(lambda: fleet.submit("core-2", domain_order(11))[1] is None, 3) is not None
    )


def test_backoffs_grow_to_their_maximum_and_reset_after_a_time_without_backoff():
    fleet = SelfFoundingFleet(71)
    node = fleet.sim.nodes["core-1"]
    backoff, heartbeat_seconds = node.find("ownership").backoff, fleet.sim.bounds.heartbeat_interval
    backoff.loop_lag = StubLoopLag()
    lengths = []
    for _ in range(8):
        backoff.note_lost_term()
        backoff.note_lost_term()
        lengths.append((backoff.ends_at - node.now()) / heartbeat_seconds)
        backoff.loop_lag.is_late = False
        fleet.run(backoff.ends_at - node.now() + heartbeat_seconds * 2)
        assert not backoff.is_backing_off("core-1")
        backoff.loop_lag.is_late = True
    expected_lengths = [4, 8, 16, 32, 64, 64, 64, 64]
    for length, expected_length in zip(lengths, expected_lengths, strict=True):
        assert (
            expected_length * (1 - JITTER_FACTOR) <= length <= expected_length * (1 + JITTER_FACTOR)
        )
    fleet.run(heartbeat_seconds * MAX_BACKOFF_HEARTBEATS + 1)
    backoff.note_lost_term()
    assert (backoff.ends_at - node.now()) / heartbeat_seconds <= MIN_BACKOFF_HEARTBEATS * (
        1 + JITTER_FACTOR
    )


def test_first_core_still_leads_if_all_cores_back_off():
    fleet = SelfFoundingFleet(81)
    for name in fleet.sim.names("core"):
        backoff = fleet.sim.nodes[name].find("ownership").backoff
        backoff.loop_lag = StubLoopLag()
        backoff.note_lost_term()
    fleet.run(1)
    fleet.sim.kill(fleet.owner())
    assert fleet.wait_for(lambda: fleet.owner() is not None, 4) is not None
    assert fleet.submit(fleet.owner(), domain_order(1))[1] is None
