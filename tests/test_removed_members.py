"""Stores that left a group and do not know it make up a majority for nobody."""

from unittest import mock

import pytest

from quillring.gossip import Gossip
from quillring.quorum.leader.follower_read import read_from_majority
from quillring.quorum.parts import CONFIG_PART, majority
from tests.fleet_stage import SelfFoundingFleet
from tests.test_membership_repair import members, zone_order

SIX = {"sizes": {"edge": 2, "core": 4, "store": 6}}
ASKED = {"ask": "edition"}


def replace_two(stage):
    """Retire two members of the config part one after the other; return (former group, left)."""
    former = stage.sim.nodes["core-1"].find("ownership").group(CONFIG_PART)
    left = [member.name for member in former[1:]]
    for store in left:
        command = {"do": "store.mark", "store": store, "retired": True}
        name = stage.owner()
        assert stage.submit(name, command, seconds=3)[1] is None
        gone = stage.wait_for(lambda s=store: stage.owner() and s not in members(stage), 4)
        assert gone is not None
    return former, left


def cut_off(stage, names):
    stage.sim.cut(names, [name for name in stage.sim.nodes if name not in names])


def losing_group_news(name):
    """Return a stand-in for Gossip.publish: a node never hears of the config part's group."""
    real_publish = Gossip.publish

    def publish(self, key, version, value):
        if self.node.me.name == name and key == "group/config":
            return False
        return real_publish(self, key, version, value)

    return mock.patch.object(Gossip, "publish", publish)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_an_edge_that_knows_a_former_group_is_not_fresh_by_its_removed_members(seed):
    stage = SelfFoundingFleet(seed, SIX)
    edge = stage.sim.nodes["edge-1"]
    with losing_group_news("edge-1"):
        _, left = replace_two(stage)
        stage.run(1)
        assert edge.find("freshness").is_fresh()
        cut_off(stage, ["edge-1", *left])
        stage.run(4)
        owner = stage.owner()
        assert stage.submit(owner, zone_order("new"), seconds=3)[1] is None
        assert "new" not in edge.find("layout").configuration["domains"]
        assert not edge.find("freshness").is_fresh()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_store_that_knows_of_its_removal_gives_no_stamp(seed):
    stage = SelfFoundingFleet(seed, SIX)
    _, left = replace_two(stage)
    stage.run(1)
    stamps = {name: acceptors.stamp() for name, acceptors in stage.stores().items()}
    assert [name for name in left if stamps[name] is not None] == []
    assert all(stamps[name] is not None for name in members(stage))


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_a_former_owner_cut_off_with_two_removed_members_writes_and_confirms_nothing(seed):
    stage = SelfFoundingFleet(seed, SIX)
    former_owner = stage.owner()
    stage.sim.nodes[former_owner].runtime.freeze()
    stage.run(3)
    _, left = replace_two(stage)
    cut_off(stage, [former_owner, "edge-1", *left])
    stage.sim.nodes[former_owner].runtime.thaw()
    ownership = stage.sim.nodes[former_owner].find("ownership")
    for _ in range(40):
        stage.run(0.1)
        owner = ownership.leaders[CONFIG_PART]
        assert stage.ask(former_owner, owner.submit(zone_order("lost")), 0.5)[0] is None
        assert stage.ask(former_owner, owner.linearizable_state(), 0.5)[0] is None
    assert not stage.sim.nodes["edge-1"].find("freshness").is_fresh()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_peek_at_a_former_group_is_not_answered_by_its_removed_members(seed):
    stage = SelfFoundingFleet(seed, SIX)
    former, left = replace_two(stage)
    cut_off(stage, ["edge-1", *left])
    stage.run(2)
    owner = stage.owner()
    assert stage.submit(owner, zone_order("new"), seconds=3)[1] is None
    edge = stage.sim.nodes["edge-1"]
    known, error = stage.ask("edge-1", read_from_majority(edge, CONFIG_PART, former, ASKED))
    assert known is None and error is None
    assert len(left) == majority(former)
