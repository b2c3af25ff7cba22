"""After a simultaneous start few cores run for a part, and a running election is not preempted."""

import random

import pytest

from quillring.kernel.errors import NotLeader
from tests.fleet_stage import SelfFoundingFleet

SIZES = {"sizes": {"edge": 2, "core": 9, "store": 5}}
MAX_ATTEMPTING_CORES = 2


def restart_all_nodes(stage, seed):
    """Cut the power of all nodes and start them within 0.3 s.

    Returns {part: names of the cores that sent prepare requests for it}, which grows with time.
    """
    rng, cores_by_part = random.Random(f"starts {seed}"), {}
    for name in list(stage.sim.nodes):
        stage.sim.kill(name, loses_power=True)
    stage.run(1)
    for name in rng.sample(sorted(stage.sim.rows), len(stage.sim.rows)):
        node = stage.start(name)
        if node.me.role == "store":
            record_prepares(node, cores_by_part)
        stage.run(0.3 * rng.random() / len(stage.sim.rows))
    return cores_by_part


def record_prepares(node, cores_by_part):
    """Record the senders of the prepare requests that a store receives."""
    real_handler = node.handlers["quorum.prepare"]

    def recording_handler(body, origin):
        cores_by_part.setdefault(body["part"], set()).add(origin)
        return real_handler(body, origin)

    node.handlers["quorum.prepare"] = recording_handler


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 6])
def test_few_cores_run_for_a_part_after_a_simultaneous_start(seed):
    stage = SelfFoundingFleet(seed, SIZES)
    cores_by_part = restart_all_nodes(stage, seed)
    assert stage.wait_for(lambda: all(stage.owner(part) for part in cores_by_part), 6) is not None
    stage.run(4)
    assert sorted(cores_by_part) == ["config", "part-0", "part-1"]
    assert all(len(cores) <= MAX_ATTEMPTING_CORES for cores in cores_by_part.values()), (
        cores_by_part
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_part_of_a_draining_core_gets_a_new_owner_within_the_propagation_bound(seed):
    stage = SelfFoundingFleet(seed, SIZES)
    name = stage.owner("part-0")
    stage.sim.nodes[name].is_draining = True
    stage.sim.nodes[name].find("ownership").announce_drain()
    moved = stage.wait_for(lambda: stage.owner("part-0") not in (name, None), 4)
    assert moved is not None and moved < stage.sim.bounds.propagation


def test_part_of_an_owner_that_stepped_down_gets_an_owner_without_delay():
    stage = SelfFoundingFleet(7, SIZES)
    name = stage.owner("part-0")
    stage.sim.nodes[name].find("ownership").leaders["part-0"].step_down(NotLeader(part="part-0"))
    assert stage.wait_for(lambda: stage.owner("part-0"), 2) is not None
