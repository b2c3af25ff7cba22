import pytest

from quillring.kernel.effects import Sleep
from tests.fleet_stage import SelfFoundingFleet

PARTS = ("config", "part-0", "part-1")


def owners(stage):
    return {
        part: stage.sim.nodes[stage.owner(part)].find("ownership").leaders[part]
        for part in PARTS
        if stage.owner(part)
    }


def is_whole(stage):
    """Tell whether every part has three live stores that hold all that is committed."""
    held = {acceptors.identity: acceptors.parts for acceptors in stage.stores().values()}
    known = owners(stage)
    return len(known) == len(PARTS) and all(
        len(owner.group) == 3
        and all(
            identity in held
            and part in held[identity]
            and held[identity][part].state is not None
            and held[identity][part].applied >= owner.index
            for _, identity, _ in owner.group
        )
        for part, owner in known.items()
    )


def zone_order(name):
    return {"do": "domain.mark", "domain": name, "emptied": True, "nodes": False}


def members(stage, part="config"):
    return [store[0] for store in owners(stage)[part].group]


def ordered_zones(stage):
    answer, error = stage.read("core-1", {"ask": "edition"}, seconds=3)
    assert error is None
    return set(answer["layout"]["domains"])


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_store_that_came_back_empty_is_refilled_at_once(seed):
    stage = SelfFoundingFleet(seed)
    store = members(stage)[0]
    stage.sim.lose_disk(store)
    stage.run(2)
    stage.start(store)
    assert stage.wait_for(lambda: is_whole(stage), 2) is not None


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_store_that_is_gone_is_replaced_within_the_sync_bound(seed):
    stage = SelfFoundingFleet(seed)
    stage.sim.kill(members(stage)[0])
    assert stage.wait_for(lambda: is_whole(stage), stage.sim.bounds.resync) is not None


def test_a_store_that_is_back_soon_is_not_replaced():
    stage = SelfFoundingFleet(4)
    former = members(stage)
    stage.sim.kill(former[0])
    stage.run(3)
    stage.start(former[0])
    stage.run(3)
    assert members(stage) == former and is_whole(stage)


@pytest.mark.parametrize("seed", range(1, 7))
def test_nothing_is_lost_when_a_store_is_wiped_after_an_answer_and_another_dies_soon_after(seed):
    stage, acked = SelfFoundingFleet(seed), set()
    wiped, killed, _ = members(stage)
    for number in range(10):
        assert stage.submit("core-1", zone_order(f"d{number}"))[1] is None
        acked.add(f"d{number}")
    stage.sim.lose_disk(wiped)
    stage.run(2)
    stage.start(wiped)
    stage.run(1)
    stage.sim.kill(killed, loses_power=True)
    answer, _ = stage.submit("core-2", zone_order("after"))
    acked |= {"after"} if answer else set()
    assert stage.wait_for(lambda: stage.submit("core-1", zone_order("last"))[0], 4) is not None
    assert acked < ordered_zones(stage)
    assert stage.wait_for(lambda: is_whole(stage), 6) is not None


def test_a_member_that_missed_entries_is_mended_while_commands_keep_coming():
    stage = SelfFoundingFleet(5)
    late = members(stage)[2]
    stage.sim.kill(late)
    assert stage.submit("core-1", zone_order("missed"))[1] is None
    node = stage.sim.nodes["core-1"]
    is_over = []

    def keep_writing():
        number = 0
        while not is_over:
            number += 1
            yield from node.find("ownership").submit("config", zone_order(f"w{number % 50}"))
            yield Sleep(0.01)

    for _ in range(3):
        node.spawn(keep_writing())
    stage.start(late)
    took = stage.wait_for(
        lambda: (
            "missed"
            in ((stage.stores()[late].parts["config"].state["layout"] or {}).get("domains", {}))
        ),
        2.5,
    )
    is_over.append(True)
    assert took is not None


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_store_that_just_died_makes_no_command_wait(seed):
    stage = SelfFoundingFleet(seed)
    stage.sim.kill(members(stage, "part-0")[0])
    for number in range(40):
        start_time = stage.env.now
        error = stage.submit("core-1", {"do": "none", "n": number}, "part-0")[1]
        assert error.kind == "bad_command"
        assert stage.env.now - start_time < 0.2
        stage.run(0.51 + number * 0.002 if number % 3 == 0 else 0.01)
