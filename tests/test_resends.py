"""A configuration whose answer was lost is resent to any core, also after an owner change."""

import pytest

from tests.fleet_stage import SelfFoundingFleet
from tests.system_calls import FULL_CONFIGURATION, call, replace_configuration

NEWER = {**FULL_CONFIGURATION, "ver": 9}
RIVAL = {**FULL_CONFIGURATION, "ver": 9, "limits": None}


class FrameInterceptor:
    """Holds back the frames from one node to another until `release`."""

    def __init__(self, stage, source, target):
        nodes = stage.sim.nodes
        self.net, self.held_frames = stage.sim.net, []
        self.ends = (nodes[source].me.address, nodes[target].me.address)
        self.carry, self.net.carry = self.net.carry, self.intercept

    def intercept(self, source, target, data, kind):
        if (source, target) == self.ends and kind == "frame":
            self.held_frames.append(data)
        else:
            self.carry(source, target, data, kind)

    def stop(self):
        self.net.carry = self.carry

    def release(self):
        for data in self.held_frames:
            self.carry(*self.ends, data, "frame")


def owner_and_other_cores(stage):
    """Return the core that owns the configuration part, and the other cores."""
    owner = stage.owner()
    return owner, [name for name in stage.sim.names("core") if name != owner]


def replace_until_not_503(stage, names, body, base):
    """Send a configuration to the cores in turn until one answers other than 503.

    Returns that status, or None after 40 attempts.
    """
    for number in range(40):
        status = replace_configuration(stage, names[number % len(names)], body, base)[0]
        if status != 503:
            return status
        stage.run(0.1)
    return None


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("owner_dies", [False, True])
def test_a_change_whose_answer_was_lost_is_acknowledged_when_resent(seed, owner_dies):
    stage = SelfFoundingFleet(seed)
    assert replace_configuration(stage, "core-1", FULL_CONFIGURATION, 0)[0] == 200
    owner, (asker, *others) = owner_and_other_cores(stage)
    interceptor = FrameInterceptor(stage, owner, asker)
    assert replace_configuration(stage, asker, NEWER, 7)[0] == 503
    interceptor.stop()
    if owner_dies:
        stage.sim.kill(owner)
    assert replace_until_not_503(stage, others, NEWER, 7) == 200
    assert replace_until_not_503(stage, [asker], NEWER, 7) == 200
    assert replace_until_not_503(stage, others, RIVAL, 7) == 412
    assert call(stage, others[0], "GET", "/Config.Fetch")[1] == NEWER


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_delayed_first_copy_after_a_resend_and_a_later_change_has_no_effect(seed):
    stage = SelfFoundingFleet(seed)
    assert replace_configuration(stage, "core-1", FULL_CONFIGURATION, 0)[0] == 200
    owner, (asker, *others) = owner_and_other_cores(stage)
    interceptor = FrameInterceptor(stage, asker, owner)
    assert replace_configuration(stage, asker, NEWER, 7)[0] == 503
    interceptor.stop()
    assert replace_until_not_503(stage, others, NEWER, 7) == 200
    later = {**FULL_CONFIGURATION, "ver": 12}
    assert replace_until_not_503(stage, others, later, 9) == 200
    stage.run(20)
    interceptor.release()
    stage.run(1)
    assert call(stage, others[0], "GET", "/Config.Fetch")[1] == later
    assert replace_until_not_503(stage, others, NEWER, 7) == 200
    assert call(stage, others[0], "GET", "/Config.Fetch")[1] == later


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_of_two_changes_with_one_version_number_one_is_accepted_across_an_owner_change(seed):
    """The first copies reach only the partitioned owner; both are resent to its successor."""
    stage = SelfFoundingFleet(seed)
    assert replace_configuration(stage, "core-1", FULL_CONFIGURATION, 0)[0] == 200
    owner, others = owner_and_other_cores(stage)
    other_nodes = [name for name in stage.sim.nodes if name not in (owner, others[0])]
    stage.sim.cut([owner], other_nodes)
    assert replace_configuration(stage, others[0], NEWER, 7)[0] == 503
    assert replace_configuration(stage, owner, RIVAL, 7)[0] == 503
    stage.run(1)
    stage.sim.heal()
    outcomes = [
        replace_until_not_503(stage, others, body, 7) for body in (NEWER, RIVAL, NEWER, RIVAL)
    ]
    assert sorted(outcomes[:2]) == [200, 412] and outcomes[:2] == outcomes[2:]
    winner = (NEWER, RIVAL)[outcomes.index(200)]
    fetched = call(stage, others[1], "GET", "/Config.Fetch")[1]
    assert fetched == {k: v for k, v in winner.items() if v is not None}
