"""Simulated and recorded runs with loud cuts (partitions that refuse or reset connections).

Loud cuts are drawn by a separate random generator, end with the faults, and cause no violation.
"""

import pytest

from proving.histories.run import run_seed as record_seed
from proving.sim.connection_resets import DrawnConnectionResets
from proving.sim.fleet import SimFleet
from proving.sim.seeded_run import SMALL_SIZES, run_seed
from tests.fleet_stage import SIZES

END_SECONDS = 6.0


@pytest.mark.parametrize("deployment, seed", [("ferrowa", 21), ("kilele", 22)])
def test_a_simulated_run_with_loud_cuts_has_no_violation(deployment, seed):
    sim, _ = run_seed(deployment, seed, 10, SMALL_SIZES, loud_cuts=8)
    assert sim.history.violations == []
    assert sim.net.refused_frames > 0 and sim.net.reset_frames > 0


@pytest.mark.parametrize("seed", [21, 22])
def test_a_recorded_run_with_loud_cuts_is_linearizable(seed):
    result = record_seed(seed, loud_cuts=6)
    assert (result.findings, result.undecided) == ((), ())
    assert result.counts["frames refused by cuts"] > 0


@pytest.mark.parametrize("seed", range(3))
def test_loud_cuts_end_in_time_and_draw_nothing_from_the_other_random_generators(seed):
    sim = SimFleet("ferrowa", seed, SIZES)
    for name in sim.rows:
        sim.start(name)
    initial_states = sim.chance.getstate(), sim.net.chance.getstate()
    for node in sim.nodes.values():
        node.runtime.kill()
    sim.env.process(DrawnConnectionResets(sim).run(0, END_SECONDS, 20))
    sim.env.run(until=END_SECONDS - 0.1)
    assert sim.net.cuts and {*sim.net.cuts} <= {*sim.net.loud_cuts}
    sim.env.run(until=END_SECONDS + 0.1)
    assert not sim.net.cuts
    assert (sim.chance.getstate(), sim.net.chance.getstate()) == initial_states


def test_loud_cuts_are_deterministic_for_a_seed():
    steps = [record_seed(23, 2, loud_cuts=5).history.steps for _ in range(2)]
    assert steps[0] == steps[1]
    assert any("refusing cut" in step for step in steps[0])
