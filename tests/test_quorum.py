import pytest

from proving.points.scenario_fleet import ScenarioFleet
from proving.sim.quorum_fuzz import Fuzz
from quillring.kernel.errors import NotLeader

REGRESSION_SEEDS = [12, 19]


@pytest.mark.parametrize("seed", [1, 2, 3, *REGRESSION_SEEDS])
def test_quorum_fuzz_run_has_no_violation(seed):
    violations, figures = Fuzz(seed).run()
    assert violations == [], figures
    assert figures["acked"] > 50


def test_an_ended_term_stays_ended_when_the_core_leads_the_part_again():
    stage = ScenarioFleet(5)
    name = stage.node("edge-1").find("gossip").get("owner/part-1")["owner"]
    ownership = stage.node(name).find("ownership")
    previous_leader = ownership.leaders["part-1"]
    stores = [store[0] for store in previous_leader.group]
    for store in stores[1:]:
        stage.sim.freeze(store, 0.4)
    stage.run(0.05)
    previous_leader.step_down(NotLeader(part="part-1"))
    stage.run(6)
    assert ownership.leaders["part-1"].is_leader
    assert ownership.leaders["part-1"] is not previous_leader and not previous_leader.is_leader


def test_a_late_end_of_a_previous_term_does_not_end_the_quota_terms_of_the_next_one():
    stage = ScenarioFleet(5)
    name = stage.node("edge-1").find("gossip").get("owner/part-1")["owner"]
    ownership, granter = stage.node(name).find("ownership"), stage.node(name).find("granter")
    previous_leader = ownership.leaders["part-1"]
    previous_leader.step_down(NotLeader(part="part-1"))
    stage.run(6)
    previous_leader.step_down(NotLeader(part="part-1"))
    assert ownership.leaders["part-1"].is_leader and "part-1" in granter.terms
