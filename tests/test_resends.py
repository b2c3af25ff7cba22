"""A configuration whose answer was lost comes again, at any core, whoever owns the part by then."""

import pytest

from tests.fleet_stage import SelfFoundingFleet
from tests.system_calls import WHOLE, call, replace

NEWER = {**WHOLE, "ver": 9}
RIVAL = {**WHOLE, "ver": 9, "limits": None}


class Holding:
    """Holds the frames of one pair of nodes, in one direction, until they are let go."""

    def __init__(self, stage, home, target):
        nodes = stage.sim.nodes
        self.net, self.held = stage.sim.net, []
        self.ends = (nodes[home].me.address, nodes[target].me.address)
        self.carry, self.net.carry = self.net.carry, self.hold

    def hold(self, home, target, data, kind):
        if (home, target) == self.ends and kind == "frame":
            self.held.append(data)
        else:
            self.carry(home, target, data, kind)

    def end(self):
        self.net.carry = self.carry

    def let_go(self):
        for data in self.held:
            self.carry(*self.ends, data, "frame")


def cores(stage):
    """Return the owner of the configuration and the other cores."""
    owner = stage.owner()
    return owner, [name for name in stage.sim.names("core") if name != owner]


def until_clear(stage, names, body, base):
    """Send a configuration to one core after another until the answer is clear."""
    for number in range(40):
        status = replace(stage, names[number % len(names)], body, base)[0]
        if status != 503:
            return status
        stage.run(0.1)
    return None


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("owner_dies", [False, True])
def test_a_change_whose_answer_was_lost_is_acknowledged_when_it_comes_again(seed, owner_dies):
    stage = SelfFoundingFleet(seed)
    assert replace(stage, "core-1", WHOLE, 0)[0] == 200
    owner, (asker, *others) = cores(stage)
    holding = Holding(stage, owner, asker)
    assert replace(stage, asker, NEWER, 7)[0] == 503
    holding.end()
    if owner_dies:
        stage.sim.kill(owner)
    assert until_clear(stage, others, NEWER, 7) == 200
    assert until_clear(stage, [asker], NEWER, 7) == 200
    assert until_clear(stage, others, RIVAL, 7) == 412
    assert call(stage, others[0], "GET", "/Config.Fetch")[1] == NEWER


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_first_copy_that_comes_after_the_second_and_a_later_change_does_nothing(seed):
    stage = SelfFoundingFleet(seed)
    assert replace(stage, "core-1", WHOLE, 0)[0] == 200
    owner, (asker, *others) = cores(stage)
    holding = Holding(stage, asker, owner)
    assert replace(stage, asker, NEWER, 7)[0] == 503
    holding.end()
    assert until_clear(stage, others, NEWER, 7) == 200
    later = {**WHOLE, "ver": 12}
    assert until_clear(stage, others, later, 9) == 200
    stage.run(20)
    holding.let_go()
    stage.run(1)
    assert call(stage, others[0], "GET", "/Config.Fetch")[1] == later
    assert until_clear(stage, others, NEWER, 7) == 200
    assert call(stage, others[0], "GET", "/Config.Fetch")[1] == later


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_of_two_changes_under_one_number_one_is_confirmed_though_the_owner_is_deposed(seed):
    """The first copies lie at an owner that is cut off; both are sent again to the next one."""
    stage = SelfFoundingFleet(seed)
    assert replace(stage, "core-1", WHOLE, 0)[0] == 200
    owner, others = cores(stage)
    rest = [name for name in stage.sim.nodes if name not in (owner, others[0])]
    stage.sim.cut([owner], rest)
    assert replace(stage, others[0], NEWER, 7)[0] == 503
    assert replace(stage, owner, RIVAL, 7)[0] == 503
    stage.run(1)
    stage.sim.heal()
    outcomes = [until_clear(stage, others, body, 7) for body in (NEWER, RIVAL, NEWER, RIVAL)]
    assert sorted(outcomes[:2]) == [200, 412] and outcomes[:2] == outcomes[2:]
    winner = (NEWER, RIVAL)[outcomes.index(200)]
    fetched = call(stage, others[1], "GET", "/Config.Fetch")[1]
    assert fetched == {k: v for k, v in winner.items() if v is not None}
