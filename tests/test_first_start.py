"""A first start during a network partition founds at most one fleet and loses no commands."""

import pytest

from tests.fleet_stage import SelfFoundingFleet
from tests.test_founding_bootstrap import all_parts_are_led
from tests.test_membership_repair import ordered_zones, zone_order_command

SIZES = {"sizes": {"edge": 2, "core": 4, "store": 4}}
LARGE = {"sizes": {"edge": 2, "core": 4, "store": 8}}


def partitioned_from_start(seed, sizes, side, **options):
    """Return a stage whose nodes start on two sides of a network partition."""
    stage = SelfFoundingFleet(seed, sizes, ready_at=0.001, **options)
    stage.sim.cut(side, [name for name in stage.sim.nodes if name not in side])
    return stage


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "sizes, side",
    [
        (SIZES, ["core-1", "store-1", "store-2", "edge-1"]),
        (SIZES, ["core-1", "core-4", "store-1", "store-2", "store-3"]),
        (SIZES, ["core-2", "core-4", "store-4"]),
        (LARGE, ["core-1", "core-4", "store-1", "store-2", "store-3", "store-4"]),
    ],
)
def test_two_partitioned_sides_found_one_fleet(seed, sizes, side):
    stage = partitioned_from_start(seed, sizes, side)
    stage.run(25)
    assert len(stage.fleet_ids()) == 1
    others = [name for name in stage.sim.names("core") if name not in side]
    assert stage.submit(others[0], zone_order_command("kept"), seconds=3)[1] is None
    stage.sim.heal()
    stage.run(6)
    assert len(stage.fleet_ids()) == 1 and all(a.founding for a in stage.stores().values())
    assert all_parts_are_led(stage)
    assert "kept" in ordered_zones(stage)


@pytest.mark.parametrize("seed", [1, 2])
def test_seeds_that_are_all_isolated_found_nothing_until_the_partition_heals(seed):
    stage = SelfFoundingFleet(seed, ready_at=0.001)
    seeds = ["core-1", "core-2", "core-3"]
    for name in seeds:
        stage.sim.cut([name], [other for other in stage.sim.nodes if other != name])
    stage.run(30)
    assert stage.fleet_ids() == set()
    stage.sim.heal()
    assert (
        stage.wait_for(lambda: len(stage.fleet_ids()) == 1 and all_parts_are_led(stage), 8)
        is not None
    )


@pytest.mark.parametrize("seed", range(1, 9))
def test_seeds_that_restart_during_the_founding_and_changing_partitions_found_one_fleet(seed):
    stage = SelfFoundingFleet(seed, ready_at=0.7, has_witnesses=True)
    chance, cores = stage.sim.chance, ["core-1", "core-2", "core-3"]
    for _ in range(24):
        stage.sim.heal()
        isolated = chance.randrange(3) + 1
        side = [f"core-{isolated}", f"store-{isolated}", *chance.sample(["store-4", "core-4"], 1)]
        stage.sim.cut(side, [name for name in stage.sim.nodes if name not in side])
        stage.run(chance.uniform(0.2, 1.5))
        for name in chance.sample(cores, chance.randrange(3)):
            stage.sim.kill(name)
            stage.start(name, is_first=chance.random() < 0.5)
        assert len(stage.fleet_ids()) <= 1
    stage.sim.heal()
    assert (
        stage.wait_for(lambda: len(stage.fleet_ids()) == 1 and all_parts_are_led(stage), 25)
        is not None
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_restarted_seeds_without_a_witness_do_not_vote(seed):
    stage = SelfFoundingFleet(seed, ready_at=0.3)
    for name in ("core-1", "core-2"):
        stage.sim.kill(name)
        stage.start(name, is_first=False)
    stage.run(25)
    assert stage.fleet_ids() == set()
