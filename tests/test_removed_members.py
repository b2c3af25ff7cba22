"""Stores that were removed from a group and don't know it never count towards a majority."""

from unittest import mock

import pytest

from quillring.gossip import Gossip
from quillring.quorum.leader.follower_read import read_from_majority
from quillring.quorum.parts import CONFIG_PART, majority
from tests.fleet_stage import SelfFoundingFleet
from tests.test_membership_repair import members, zone_order_command

SIX_STORES = {"sizes": {"edge": 2, "core": 4, "store": 6}}
QUERY = {"ask": "edition"}


def retire_two_members(stage):
    """Retire two members of the config part in turn; return (group before, removed names)."""
    group_before = stage.sim.nodes["core-1"].find("ownership").group(CONFIG_PART)
    removed = [member.name for member in group_before[1:]]
    for store in removed:
        command = {"do": "store.mark", "store": store, "retired": True}
        name = stage.owner()
        assert stage.submit(name, command, seconds=3)[1] is None
        removal_seconds = stage.wait_for(
            lambda s=store: stage.owner() and s not in members(stage), 4
        )
        assert removal_seconds is not None
    return group_before, removed


def partition(stage, names):
    """Partition the named nodes from all others."""
    stage.sim.cut(names, [name for name in stage.sim.nodes if name not in names])


def without_group_updates(name):
    """Patch Gossip.publish so that one node never learns of changes to the config part's group."""
    real_publish = Gossip.publish

    def publish(self, key, version, value):
        if self.node.me.name == name and key == "group/config":
            return False
        return real_publish(self, key, version, value)

    return mock.patch.object(Gossip, "publish", publish)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_edge_that_knows_an_outdated_group_gets_no_freshness_from_removed_members(seed):
    stage = SelfFoundingFleet(seed, SIX_STORES)
    edge = stage.sim.nodes["edge-1"]
    with without_group_updates("edge-1"):
        _, removed = retire_two_members(stage)
        stage.run(1)
        assert edge.find("freshness").is_fresh()
        partition(stage, ["edge-1", *removed])
        stage.run(4)
        owner = stage.owner()
        assert stage.submit(owner, zone_order_command("new"), seconds=3)[1] is None
        assert "new" not in edge.find("layout").configuration["domains"]
        assert not edge.find("freshness").is_fresh()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_store_that_knows_of_its_removal_issues_no_stamp(seed):
    stage = SelfFoundingFleet(seed, SIX_STORES)
    _, removed = retire_two_members(stage)
    stage.run(1)
    stamps = {name: acceptors.stamp() for name, acceptors in stage.stores().items()}
    assert [name for name in removed if stamps[name] is not None] == []
    assert all(stamps[name] is not None for name in members(stage))


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_former_owner_partitioned_with_two_removed_members_commits_and_reads_nothing(seed):
    stage = SelfFoundingFleet(seed, SIX_STORES)
    former_owner = stage.owner()
    stage.sim.nodes[former_owner].runtime.freeze()
    stage.run(3)
    _, removed = retire_two_members(stage)
    partition(stage, [former_owner, "edge-1", *removed])
    stage.sim.nodes[former_owner].runtime.thaw()
    ownership = stage.sim.nodes[former_owner].find("ownership")
    for _ in range(40):
        stage.run(0.1)
        owner = ownership.leaders[CONFIG_PART]
        assert stage.ask(former_owner, owner.submit(zone_order_command("lost")), 0.5)[0] is None
        assert stage.ask(former_owner, owner.linearizable_state(), 0.5)[0] is None
    assert not stage.sim.nodes["edge-1"].find("freshness").is_fresh()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_majority_read_at_an_outdated_group_is_not_answered_by_its_removed_members(seed):
    stage = SelfFoundingFleet(seed, SIX_STORES)
    group_before, removed = retire_two_members(stage)
    partition(stage, ["edge-1", *removed])
    stage.run(2)
    owner = stage.owner()
    assert stage.submit(owner, zone_order_command("new"), seconds=3)[1] is None
    edge = stage.sim.nodes["edge-1"]
    known, error = stage.ask("edge-1", read_from_majority(edge, CONFIG_PART, group_before, QUERY))
    assert known is None and error is None
    assert len(removed) == majority(group_before)
