import pytest

from quillring.quorum.founding.bootstrap import reachable_stores, seed_position
from quillring.quorum.founding.founding import found_fleet, make_founding, roster_stores
from quillring.quorum.parts import can_survive_zone_loss, choose_group
from quillring.quorum.values import GroupMember
from tests.fleet_stage import SIZES, SelfFoundingFleet

PARTS = ("config", "part-0", "part-1")


def all_parts_are_led(stage):
    """Return whether every part has an owner."""
    return all(stage.owner(part) for part in PARTS)


def group_names(stage, part):
    """Return the names of the stores in the group of a part."""
    return [store[0] for store in stage.sim.nodes["core-2"].find("ownership").group(part)]


def wait_until_founded(stage, seconds):
    """Run until all stores have the same founding record; return the seconds, or None."""
    return stage.wait_for(
        lambda: len(stage.fleet_ids()) == 1 and all(a.founding for a in stage.stores().values()),
        seconds,
    )


@pytest.mark.parametrize("seed", range(1, 6))
def test_a_fleet_is_founded_exactly_once_at_its_first_start(seed):
    stage = SelfFoundingFleet(seed, ready_at=0.1)
    assert wait_until_founded(stage, 4) is not None
    assert stage.wait_for(lambda: all_parts_are_led(stage), 2) is not None
    stage.run(12)
    assert len(stage.fleet_ids()) == 1
    for part in PARTS:
        group = stage.sim.nodes["core-1"].find("ownership").group(part)
        assert len(group) == len({store[2] for store in group}) == 3


def test_cores_do_not_found_a_fleet_after_the_first_start():
    stage = SelfFoundingFleet(1, ready_at=20, is_first=lambda name: False)
    assert stage.fleet_ids() == set()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_second_seed_founds_when_the_first_one_dies(seed):
    stage = SelfFoundingFleet(seed, ready_at=0.3)
    first = next(n for n in stage.sim.up_nodes("core") if seed_position(n) == 0)
    stage.sim.kill(first.me.name)
    stage.run(3)
    assert stage.fleet_ids() == set()
    assert wait_until_founded(stage, 8) is not None
    assert stage.wait_for(lambda: all_parts_are_led(stage), 3) is not None


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
@pytest.mark.parametrize("frozen_at", [1.0, 1.7, 1.76, 1.8])
def test_a_first_seed_frozen_during_founding_does_not_create_a_second_fleet(seed, frozen_at):
    stage = SelfFoundingFleet(seed, ready_at=frozen_at)
    first = next(n for n in stage.sim.up_nodes("core") if seed_position(n) == 0)
    stage.sim.freeze(first.me.name, 7)
    stage.run(20)
    assert len(stage.fleet_ids()) == 1
    assert all(a.founding for a in stage.stores().values())
    assert all_parts_are_led(stage)


def test_the_next_seed_completes_the_founding_of_a_founder_that_died():
    stage = SelfFoundingFleet(5, ready_at=1.0, is_first=lambda name: name != "core-1")
    first = stage.sim.nodes["core-1"]
    stage.wait_for(lambda: len(reachable_stores(first)) == 4, 3)
    stores = roster_stores(first)
    founding = make_founding(first, 2, 3, stores)
    body = {"identity": stores[3].identity, "founding": founding}
    assert stage.ask("core-1", first.call(stores[3].name, "quorum.found", body))[1] is None
    stage.sim.kill("core-1")
    assert wait_until_founded(stage, 15) is not None
    assert stage.fleet_ids() == {founding["fleet"]}


def test_a_founder_that_knows_fewer_stores_adopts_the_existing_founding_record():
    stage = SelfFoundingFleet(5, ready_at=6)
    late_founder = stage.sim.nodes["core-3"]
    fleet_ids, known_stores = stage.fleet_ids(), roster_stores(late_founder)[2:]
    late_founder.find("gossip").table.pop("founding")
    answer, error = stage.ask("core-3", found_fleet(late_founder, 2, 3, known_stores))
    assert error is None and {answer["fleet"]} == fleet_ids == stage.fleet_ids()


def test_with_too_few_stores_groups_get_the_largest_odd_number_of_them():
    stage = SelfFoundingFleet(1, {"sizes": {"edge": 1, "core": 2, "store": 2}}, ready_at=0.1)
    stage.run(3)
    assert stage.fleet_ids() == set()
    assert wait_until_founded(stage, 6) is not None
    assert len(stage.sim.nodes["core-1"].find("ownership").group("config")) == 1


def test_a_group_of_five_in_four_zones_keeps_a_majority_without_any_one_zone():
    stores = [GroupMember(f"s{n}", "", f"d{n % 4}") for n in range(8)]
    for part in PARTS:
        zones = [store.zone for store in choose_group(part, stores, 5)]
        assert max(map(zones.count, zones)) == 2 and len(zones) == 5
    assert can_survive_zone_loss([store.zone for store in stores], 5)
    assert not can_survive_zone_loss(["a", "a", "b"], 3) and can_survive_zone_loss(
        ["a", "b", "c"], 3
    )
    assert choose_group("p", stores[:2], 3) is None


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("wiped", [None, "store-1", "store-2", "store-3"])
def test_parts_are_led_again_within_three_seconds_after_a_power_loss_of_all_machines(seed, wiped):
    stage = SelfFoundingFleet(seed, ready_at=6)
    order = {"do": "domain.mark", "domain": "north", "emptied": True, "nodes": False}
    assert stage.submit("core-2", order)[1] is None
    fleet_ids = stage.fleet_ids()
    for name in stage.sim.rows:
        stage.sim.kill(name, loses_power=True)
    if wiped:
        stage.sim.disks[wiped].lose_all()
    stage.run(2)
    for name in stage.sim.rows:
        stage.start(name)
    assert stage.wait_for(lambda: all_parts_are_led(stage), 3) is not None
    stage.run(1)
    assert stage.read("core-3", {"ask": "edition"})[0]["layout"]["domains"]["north"]["emptied"]
    assert all(n.find("layout").is_drained("north") for n in stage.sim.nodes.values())
    stage.run(3)
    assert stage.fleet_ids() == fleet_ids and all(a.founding for a in stage.stores().values())


def test_state_survives_a_stop_of_all_nodes_after_each_store_was_replaced_in_turn():
    stage = SelfFoundingFleet(7, SIZES, ready_at=6)
    order = {"do": "domain.mark", "domain": "north", "emptied": True, "nodes": False}
    assert stage.submit("core-2", order)[1] is None
    for name in ("store-1", "store-2", "store-3", "store-4"):
        stage.sim.lose_disk(name)
        stage.run(2)
        stage.start(name)
        stage.run(5)
    for name in stage.sim.rows:
        stage.sim.kill(name)
    stage.run(1)
    for name in stage.sim.rows:
        stage.start(name)
    assert stage.wait_for(lambda: all_parts_are_led(stage), 4) is not None
    assert stage.read("core-3", {"ask": "edition"})[0]["layout"]["domains"]["north"]["emptied"]


def test_the_position_of_a_seed_does_not_depend_on_the_order_of_the_seeds():
    stage = SelfFoundingFleet(1, ready_at=0.1)
    node = stage.sim.nodes["core-1"]
    seeds = [stage.sim.nodes[name].me.address for name in ("core-1", "core-2", "core-3")]
    positions = set()
    for order in (seeds, seeds[::-1], seeds[1:] + seeds[:1]):
        node.find("nifty").seeds = tuple(order)
        positions.add(seed_position(node))
    assert len(positions) == 1
