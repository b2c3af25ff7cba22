import pytest

from tests.fleet_stage import SelfFoundingFleet


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_edges_know_the_configuration_within_a_period_after_all_lost_power(seed):
    stage = SelfFoundingFleet(seed)
    change = {"do": "domain.mark", "domain": "halls", "emptied": True, "nodes": False}
    stage.submit("core-1", change)
    names = list(stage.sim.rows)
    for name in names:
        stage.sim.kill(name, loses_power=True)
    stage.run(2)
    for name in names:
        stage.start(name)

    def is_known():
        edges = [stage.sim.nodes[name] for name in stage.sim.names("edge")]
        return all(edge.find("layout").index for edge in edges)

    assert stage.wait_for(is_known, stage.sim.bounds.heartbeat_interval) is not None
