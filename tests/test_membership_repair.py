"""A group replaces lost members and refills emptied ones without losing commands."""

import pytest

from quillring.kernel.effects import Sleep
from tests.fleet_stage import SelfFoundingFleet

PARTS = ("config", "part-0", "part-1")


def owners(stage):
    """Return the PartLeader of each part that has an owner."""
    return {
        part: stage.sim.nodes[stage.owner(part)].find("ownership").leaders[part]
        for part in PARTS
        if stage.owner(part)
    }


def all_parts_replicated(stage):
    """Return whether every part has three live stores with all committed entries."""
    parts_by_store = {acceptors.identity: acceptors.parts for acceptors in stage.stores().values()}
    leaders = owners(stage)
    return len(leaders) == len(PARTS) and all(
        len(owner.group) == 3
        and all(
            identity in parts_by_store
            and part in parts_by_store[identity]
            and parts_by_store[identity][part].state is not None
            and parts_by_store[identity][part].applied >= owner.index
            for _, identity, _ in owner.group
        )
        for part, owner in leaders.items()
    )


def zone_order_command(name):
    """Return the command that orders to drain a zone; each name adds one zone to the state."""
    return {"do": "domain.mark", "domain": name, "emptied": True, "nodes": False}


def members(stage, part="config"):
    """Return the names of the stores in the group of a part."""
    return [store[0] for store in owners(stage)[part].group]


def ordered_zones(stage):
    """Return the zones with a drain order, read through core-1."""
    answer, error = stage.read("core-1", {"ask": "edition"}, seconds=3)
    assert error is None
    return set(answer["layout"]["domains"])


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_store_that_restarts_empty_is_refilled_within_two_seconds(seed):
    stage = SelfFoundingFleet(seed)
    store = members(stage)[0]
    stage.sim.lose_disk(store)
    stage.run(2)
    stage.start(store)
    assert stage.wait_for(lambda: all_parts_replicated(stage), 2) is not None


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_lost_store_is_replaced_within_the_resync_bound(seed):
    stage = SelfFoundingFleet(seed)
    stage.sim.kill(members(stage)[0])
    assert stage.wait_for(lambda: all_parts_replicated(stage), stage.sim.bounds.resync) is not None


def test_store_that_restarts_soon_is_not_replaced():
    stage = SelfFoundingFleet(4)
    members_before = members(stage)
    stage.sim.kill(members_before[0])
    stage.run(3)
    stage.start(members_before[0])
    stage.run(3)
    assert members(stage) == members_before and all_parts_replicated(stage)


@pytest.mark.parametrize("seed", range(1, 7))
def test_acknowledged_commands_survive_a_wiped_store_and_the_loss_of_another_soon_after(seed):
    stage, acknowledged = SelfFoundingFleet(seed), set()
    wiped, killed, _ = members(stage)
    for number in range(10):
        assert stage.submit("core-1", zone_order_command(f"d{number}"))[1] is None
        acknowledged.add(f"d{number}")
    stage.sim.lose_disk(wiped)
    stage.run(2)
    stage.start(wiped)
    stage.run(1)
    stage.sim.kill(killed, loses_power=True)
    answer, _ = stage.submit("core-2", zone_order_command("after"))
    acknowledged |= {"after"} if answer else set()
    assert (
        stage.wait_for(lambda: stage.submit("core-1", zone_order_command("last"))[0], 4) is not None
    )
    assert acknowledged < ordered_zones(stage)
    assert stage.wait_for(lambda: all_parts_replicated(stage), 6) is not None


def test_member_that_missed_entries_catches_up_while_commands_continue():
    stage = SelfFoundingFleet(5)
    lagging = members(stage)[2]
    stage.sim.kill(lagging)
    assert stage.submit("core-1", zone_order_command("missed"))[1] is None
    node = stage.sim.nodes["core-1"]
    stop_requests = []

    def keep_writing():
        number = 0
        while not stop_requests:
            number += 1
            yield from node.find("ownership").submit(
                "config", zone_order_command(f"w{number % 50}")
            )
            yield Sleep(0.01)

    for _ in range(3):
        node.spawn(keep_writing())
    stage.start(lagging)
    catch_up_seconds = stage.wait_for(
        lambda: (
            "missed"
            in ((stage.stores()[lagging].parts["config"].state["layout"] or {}).get("domains", {}))
        ),
        2.5,
    )
    stop_requests.append(True)
    assert catch_up_seconds is not None


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_commands_are_not_delayed_by_a_store_that_just_died(seed):
    stage = SelfFoundingFleet(seed)
    stage.sim.kill(members(stage, "part-0")[0])
    for number in range(40):
        start_time = stage.env.now
        error = stage.submit("core-1", {"do": "none", "n": number}, "part-0")[1]
        assert error.kind == "bad_command"
        assert stage.env.now - start_time < 0.2
        stage.run(0.51 + number * 0.002 if number % 3 == 0 else 0.01)
