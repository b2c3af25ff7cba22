"""The configuration is known again soon after all nodes have lost power."""

import pytest

from tests.fleet_stage import SelfFoundingFleet


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_edges_know_the_configuration_within_one_heartbeat_interval_after_a_power_loss(seed):
    stage = SelfFoundingFleet(seed)
    change = {"do": "domain.mark", "domain": "halls", "emptied": True, "nodes": False}
    stage.submit("core-1", change)
    names = list(stage.sim.rows)
    for name in names:
        stage.sim.kill(name, loses_power=True)
    stage.run(2)
    for name in names:
        stage.start(name)

    def edges_know_the_configuration():
        edges = [stage.sim.nodes[name] for name in stage.sim.names("edge")]
        return all(edge.find("layout").index for edge in edges)

    assert (
        stage.wait_for(edges_know_the_configuration, stage.sim.bounds.heartbeat_interval)
        is not None
    )
