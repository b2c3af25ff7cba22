"""After a common start few cores try to take a part, and who is winning is left to win."""

import random

import pytest

from quillring.kernel.errors import NotLeader
from tests.fleet_stage import SelfFoundingFleet

SIZES = {"sizes": {"edge": 2, "core": 9, "store": 5}}
MOST_ATTEMPTS = 2


def restart_all(stage, seed):
    """Kill all nodes by power, start them within 0.3 s; return {part: ballots that were tried}."""
    chance, ballots = random.Random(f"starts {seed}"), {}
    for name in list(stage.sim.nodes):
        stage.sim.kill(name, loses_power=True)
    stage.run(1)
    for name in chance.sample(sorted(stage.sim.rows), len(stage.sim.rows)):
        node = stage.start(name)
        if node.me.role == "store":
            watch_prepares(node, ballots)
        stage.run(0.3 * chance.random() / len(stage.sim.rows))
    return ballots


def watch_prepares(node, ballots):
    answer = node.handlers["quorum.prepare"]

    def watched(body, origin):
        ballots.setdefault(body["part"], set()).add(origin)
        return answer(body, origin)

    node.handlers["quorum.prepare"] = watched


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 6])
def test_few_cores_try_to_take_a_part_after_a_common_start(seed):
    stage = SelfFoundingFleet(seed, SIZES)
    ballots = restart_all(stage, seed)
    assert stage.wait_for(lambda: all(stage.owner(part) for part in ballots), 6) is not None
    stage.run(4)
    assert sorted(ballots) == ["config", "part-0", "part-1"]
    assert all(len(cores) <= MOST_ATTEMPTS for cores in ballots.values()), ballots


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_part_that_is_handed_over_is_owned_again_at_once(seed):
    stage = SelfFoundingFleet(seed, SIZES)
    name = stage.owner("part-0")
    stage.sim.nodes[name].is_draining = True
    stage.sim.nodes[name].find("ownership").announce_drain()
    moved = stage.wait_for(lambda: stage.owner("part-0") not in (name, None), 4)
    assert moved is not None and moved < stage.sim.bounds.propagation


def test_an_owner_that_gave_up_is_not_waited_for():
    stage = SelfFoundingFleet(7, SIZES)
    name = stage.owner("part-0")
    stage.sim.nodes[name].find("ownership").leaders["part-0"].step_down(NotLeader(part="part-0"))
    assert stage.wait_for(lambda: stage.owner("part-0"), 2) is not None
