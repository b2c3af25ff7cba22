"""A second loss right after a repair or a replacement leaves a majority."""

from unittest import mock

import pytest

from proving.sim import repair_time
from quillring.quorum.leader import catch_up
from tests.fleet_stage import SelfFoundingFleet
from tests.test_membership_repair import is_whole, members, owners, zone_order

PART = "config"


def groups_seen(stage, seconds):
    """Let time pass in small steps; return every group that the part's owner went through."""
    seen = []

    def note():
        owner = owners(stage).get(PART)
        names = owner and sorted(store[0] for store in owner.group)
        if names and names not in seen:
            seen.append(names)
        return False

    stage.wait_for(note, seconds, 0.002)
    return seen


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_a_loss_right_after_the_successor_joined_leaves_a_majority(seed):
    stage = SelfFoundingFleet(seed)
    former = members(stage)
    spare = next(name for name in stage.sim.names("store") if name not in former)
    assert stage.submit("core-1", zone_order("before"))[1] is None
    stage.sim.kill(former[0])
    joined = stage.wait_for(lambda: stage.owner() and spare in members(stage), 8, 0.002)
    assert joined is not None
    stage.sim.lose_disk(former[1])
    assert stage.wait_for(lambda: stage.submit("core-2", zone_order("after"))[0], 4) is not None


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_group_between_a_loss_and_its_repair_needs_more_than_two_stores(seed):
    stage = SelfFoundingFleet(seed)
    stage.sim.kill(members(stage)[0])
    assert {len(names) for names in groups_seen(stage, 8)} == {3}
    assert is_whole(stage)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_store_that_came_back_empty_is_swapped_for_itself_or_a_spare_in_one_step(seed):
    stage = SelfFoundingFleet(seed)
    store = members(stage)[0]
    stage.sim.lose_disk(store)
    stage.run(2)
    stage.start(store)
    assert {len(names) for names in groups_seen(stage, 4)} == {3}
    assert is_whole(stage)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_retired_store_hands_its_place_over_in_one_step(seed):
    stage = SelfFoundingFleet(seed)
    store = members(stage)[0]
    command = {"do": "store.mark", "store": store, "retired": True}
    assert stage.submit("core-1", command)[1] is None
    assert {len(names) for names in groups_seen(stage, 4)} == {3}
    assert store not in members(stage) and is_whole(stage)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_member_that_joins_holds_the_state_before_it_votes(seed):
    stage = SelfFoundingFleet(seed)
    spare = next(name for name in stage.sim.names("store") if name not in members(stage))
    stage.sim.kill(members(stage)[0])
    assert stage.wait_for(lambda: stage.owner() and spare in members(stage), 8, 0.002) is not None
    record, owner = stage.stores()[spare].parts[PART], owners(stage)[PART]
    assert record.state is not None and record.applied >= owner.index - 1


def test_each_part_is_sent_once_though_a_nearer_store_comes_back_empty_meanwhile():
    with mock.patch.object(catch_up, "cut_chunk", repair_time.cut_small_piece):
        run = repair_time.RepairRun(1, 4, 5, 3, 16)
        run.sim.net.link_bytes_per_second = 15e6 / 8 / repair_time.SCALE
        assert run.lose(1.0)["left_short"] == 0
    assert sum(n.counts.get("installs", 0) for n in run.sim.nodes.values()) == 5
