"""A second store loss right after a repair or a replacement still leaves a majority."""

from unittest import mock

import pytest

from proving.sim import repair_time
from quillring.quorum.leader import catch_up
from tests.fleet_stage import SelfFoundingFleet
from tests.test_membership_repair import all_parts_replicated, members, owners, zone_order_command

PART = "config"


def observed_groups(stage, seconds):
    """Run for some seconds in small steps; return each distinct group of the part's owner."""
    groups = []

    def record_group():
        owner = owners(stage).get(PART)
        names = owner and sorted(store[0] for store in owner.group)
        if names and names not in groups:
            groups.append(names)
        return False

    stage.wait_for(record_group, seconds, 0.002)
    return groups


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_second_loss_right_after_the_replacement_joined_leaves_a_majority(seed):
    stage = SelfFoundingFleet(seed)
    members_before = members(stage)
    spare = next(name for name in stage.sim.names("store") if name not in members_before)
    assert stage.submit("core-1", zone_order_command("before"))[1] is None
    stage.sim.kill(members_before[0])
    joined = stage.wait_for(lambda: stage.owner() and spare in members(stage), 8, 0.002)
    assert joined is not None
    stage.sim.lose_disk(members_before[1])
    assert (
        stage.wait_for(lambda: stage.submit("core-2", zone_order_command("after"))[0], 4)
        is not None
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_group_has_three_members_throughout_the_repair_of_a_loss(seed):
    stage = SelfFoundingFleet(seed)
    stage.sim.kill(members(stage)[0])
    assert {len(names) for names in observed_groups(stage, 8)} == {3}
    assert all_parts_replicated(stage)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_store_that_restarts_empty_is_replaced_by_itself_or_a_spare_in_one_step(seed):
    stage = SelfFoundingFleet(seed)
    store = members(stage)[0]
    stage.sim.lose_disk(store)
    stage.run(2)
    stage.start(store)
    assert {len(names) for names in observed_groups(stage, 4)} == {3}
    assert all_parts_replicated(stage)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_retired_store_is_replaced_in_one_step(seed):
    stage = SelfFoundingFleet(seed)
    store = members(stage)[0]
    command = {"do": "store.mark", "store": store, "retired": True}
    assert stage.submit("core-1", command)[1] is None
    assert {len(names) for names in observed_groups(stage, 4)} == {3}
    assert store not in members(stage) and all_parts_replicated(stage)


@pytest.mark.parametrize("seed", [1, 2])
def test_joining_member_has_the_state_before_it_votes(seed):
    stage = SelfFoundingFleet(seed)
    spare = next(name for name in stage.sim.names("store") if name not in members(stage))
    stage.sim.kill(members(stage)[0])
    assert stage.wait_for(lambda: stage.owner() and spare in members(stage), 8, 0.002) is not None
    record, owner = stage.stores()[spare].parts[PART], owners(stage)[PART]
    assert record.state is not None and record.applied >= owner.index - 1


def test_each_part_is_sent_once_when_a_nearer_store_restarts_empty_during_the_repair():
    with mock.patch.object(catch_up, "cut_chunk", repair_time.cut_small_chunk):
        run = repair_time.RepairRun(1, 4, 5, 3, 16)
        run.sim.net.link_bytes_per_second = 15e6 / 8 / repair_time.SCALE
        assert run.lose(1.0)["left_short"] == 0
    assert sum(n.counts.get("installs", 0) for n in run.sim.nodes.values()) == 5
