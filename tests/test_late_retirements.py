"""Retirements that begin while another store fails are accepted and finish in time."""

import pytest

from quillring.rollout.operator_orders import is_retired
from tests.fleet_stage import SelfFoundingFleet
from tests.test_membership_repair import all_parts_replicated, members

FOURTEEN_STORES = {"sizes": {"edge": 2, "core": 5, "store": 14}}
FIVE_STORES = {"sizes": {"edge": 1, "core": 4, "store": 5}}
MAX_RETIREMENT_SECONDS = 8.0
ORDER_SECONDS = 3


def retire_order(store):
    """Return the operator order that retires a store."""
    return {"do": "store.mark", "store": store, "retired": True}


def is_finished(stage, store, name):
    """Return whether a core reports the retirement of a store as finished."""
    return stage.ask(name, is_retired(stage.sim.nodes[name], store, 2))[0]


@pytest.mark.parametrize("seed", range(1, 9))
def test_a_retirement_seven_seconds_after_a_disk_loss_finishes_in_time(seed):
    stage = SelfFoundingFleet(seed, FOURTEEN_STORES, size=5, parts=16, ready_at=11)
    lost, retired = members(stage)[0], members(stage)[1]
    stage.sim.lose_disk(lost)
    if seed % 2:
        stage.run(1)
        stage.start(lost)
        stage.run(6)
    else:
        stage.run(7)
    begun_at = stage.env.now
    assert stage.submit("core-1", retire_order(retired), seconds=ORDER_SECONDS)[1] is None
    seconds_left = MAX_RETIREMENT_SECONDS - (stage.env.now - begun_at)
    finished_after_seconds = stage.wait_for(
        lambda: is_finished(stage, retired, "core-1"), seconds_left
    )
    assert finished_after_seconds is not None and stage.env.now - begun_at <= MAX_RETIREMENT_SECONDS


@pytest.mark.parametrize("role", ["core-1", "core-3"])
@pytest.mark.parametrize("seed", range(1, 5))
def test_a_retirement_is_accepted_although_a_store_loses_its_disk_40_ms_later(seed, role):
    stage = SelfFoundingFleet(seed)
    retired, lost = members(stage)[0], members(stage)[1]
    node = stage.sim.nodes[role]
    coroutine = node.find("ownership").submit("config", retire_order(retired), ORDER_SECONDS)
    task = stage.env.process(stage.sim.run_coroutine(node, coroutine))
    stage.run(0.04)
    stage.sim.lose_disk(lost)
    stage.run(2)
    stage.start(lost)
    stage.run(ORDER_SECONDS - 2)
    assert task.triggered and task.value[1] is None, task.value
    finished_after_seconds = stage.wait_for(
        lambda: is_finished(stage, retired, role), MAX_RETIREMENT_SECONDS
    )
    assert finished_after_seconds is not None
    assert stage.wait_for(lambda: all_parts_replicated(stage), MAX_RETIREMENT_SECONDS) is not None
    assert retired not in members(stage)


@pytest.mark.parametrize("seed", range(1, 5))
@pytest.mark.parametrize("delay", [0.0, 0.0005, 0.002, 0.004])
def test_a_retirement_is_accepted_and_finished_although_a_store_fails_during_the_decision(
    seed, delay
):
    stage = SelfFoundingFleet(seed, FIVE_STORES)
    retired, lost = members(stage)[0], members(stage)[1]
    node = stage.sim.nodes["core-2"]
    coroutine = node.find("ownership").submit("config", retire_order(retired), ORDER_SECONDS)
    task = stage.env.process(stage.sim.run_coroutine(node, coroutine))
    stage.run(delay or 0.0001)
    stage.sim.lose_disk(lost)
    stage.run(ORDER_SECONDS)
    assert task.triggered and task.value[1] is None, task.value
    assert (
        stage.wait_for(lambda: is_finished(stage, retired, "core-2"), MAX_RETIREMENT_SECONDS)
        is not None
    )
