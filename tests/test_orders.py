"""Operators' orders that are resent, late or concurrent; an accepted order stays accepted."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quillring.kernel.errors import Conflict
from quillring.quorum.commands import apply_batch, initial_state
from quillring.rollout.orders import MAX_RECORDED_ORDERS, StaleOrder
from tests.fleet_stage import SelfFoundingFleet
from tests.system_calls import FULL_CONFIGURATION, call, handle_ctl, replace_configuration

ZONE_BY_STORE = {"store-1": "a", "store-2": "b", "store-3": "c", "store-4": "d"}


def zone_order(zone, is_drained, seen_version):
    """Return the command that drains or restores a zone, sent at `seen_version` of the state."""
    return {
        "do": "domain.mark",
        "domain": zone,
        "emptied": is_drained,
        "nodes": False,
        "seen_version": seen_version,
    }


def retirement(store, seen_version, counted=ZONE_BY_STORE):
    """Return the command that retires a store, decided on the stores in `counted`."""
    return {
        "do": "store.mark",
        "store": store,
        "retired": True,
        "counted": counted,
        "size": 3,
        "seen_version": seen_version,
    }


def apply_commands(*commands):
    return apply_batch(initial_state([]), list(commands))


def is_drained(state, zone):
    """Return whether the last order in the state drains the zone."""
    return ((state["layout"] or {}).get("domains") or {}).get(zone, {}).get("emptied", False)


def test_a_late_copy_of_an_order_is_refused_after_the_order_was_reverted():
    state, answers = apply_commands(
        zone_order("north", True, 0), zone_order("north", False, 1), zone_order("north", True, 0)
    )
    assert isinstance(answers[2], StaleOrder) and not is_drained(state, "north")


def test_an_order_already_in_force_fences_a_late_opposite_order():
    state, answers = apply_commands(
        zone_order("north", False, 0), zone_order("north", False, 1), zone_order("north", True, 0)
    )
    assert isinstance(answers[2], StaleOrder) and not is_drained(state, "north")


def test_a_repeat_of_the_newest_order_is_acknowledged_whatever_version_its_node_had_seen():
    state, answers = apply_commands(
        zone_order("north", True, 0), zone_order("north", True, 0), zone_order("north", True, 1)
    )
    assert [answer["emptied"] for answer in answers] == [True] * 3 and is_drained(state, "north")


def test_orders_for_different_zones_do_not_fence_each_other():
    state, answers = apply_commands(*(zone_order(f"zone-{n}", True, 0) for n in range(8)))
    assert all(answer["emptied"] for answer in answers)


def test_an_adopted_configuration_fences_orders_based_on_an_earlier_version():
    configuration = {"classes": {}, "services": {}, "entries": {}, "domains": {}}
    change = {
        "do": "layout.adopt",
        "id": "x",
        "base_version": 0,
        "whole": True,
        "change": configuration,
    }
    _, answers = apply_commands(change, zone_order("north", True, 0), zone_order("north", True, 1))
    assert isinstance(answers[1], StaleOrder) and answers[2]["emptied"]


def test_the_table_of_orders_is_bounded_and_evicted_orders_still_fence():
    commands = [zone_order(f"zone-{n}", True, n) for n in range(MAX_RECORDED_ORDERS + 5)]
    state, answers = apply_commands(*commands, zone_order("zone-0", False, 0))
    assert len(state["orders"]) == MAX_RECORDED_ORDERS
    assert isinstance(answers[-1], StaleOrder) and is_drained(state, "zone-0")


def test_orders_of_the_previous_release_are_replayed_without_fencing():
    old = {"do": "domain.mark", "domain": "north", "emptied": True}
    state, _ = apply_commands(old, {**old, "emptied": False}, {**old, "emptied": False})
    assert state["version"] == 2 and "orders" not in state


def test_of_two_concurrent_retirements_the_second_conflicts_with_the_first():
    state, answers = apply_commands(
        retirement("store-1", 0), retirement("store-2", 0), retirement("store-1", 0)
    )
    assert isinstance(answers[1], Conflict) and answers[2]["retired"]
    assert set(state["layout"]["stores"]) == {"store-1"}


def test_a_retirement_takes_into_account_the_store_retired_by_a_running_plan():
    plan = {
        "intent": {"kind": "retire_store", "target": "store-1"},
        "target": "retire_store store-1",
        "steps": [],
        "obstacles": [],
        "moves": [],
        "against": {"version": 0},
    }
    _, answers = apply_commands(
        {"do": "plan.propose", "id": "p", "plan": plan},
        {"do": "plan.confirm", "plan": "p", "id": "op", "accept": []},
        retirement("store-2", 0),
        retirement("store-1", 0),
    )
    assert isinstance(answers[2], Conflict) and answers[3]["retired"]


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.booleans(), st.integers(0, 4), st.booleans()), max_size=30))
def test_whatever_comes_late_the_newest_order_taken_in_its_turn_stays_in_force(steps):
    """Each step: an order, how many versions its node is behind, and whether it is a late copy."""
    state, sent, newest = initial_state([]), [], None
    for wants_emptied, behind, is_late in steps:
        if is_late and sent:
            command = sent[behind % len(sent)]
            if newest is None or command["seen_version"] >= newest[1]:
                continue
        else:
            command = zone_order("north", wants_emptied, max(0, state["version"] - behind))
            sent.append(command)
        former = state
        state, (answer,) = apply_batch(state, [command])
        if isinstance(answer, StaleOrder):
            assert state is former
        elif state is not former:
            assert not (is_late and command["seen_version"] < newest[1]) if newest else True
            newest = (command["emptied"], state["version"])
        if newest is not None:
            assert is_drained(state, "north") == newest[0]


@pytest.mark.parametrize("seed", [1, 2])
def test_an_order_delayed_in_the_network_is_not_committed_after_it_was_reverted(seed):
    stage = SelfFoundingFleet(seed)
    owner = stage.owner()
    asker, *others = [name for name in stage.sim.names("core") if name != owner]
    ends = tuple(stage.sim.nodes[name].me.address for name in (asker, owner))
    held_frames, carry = [], stage.sim.net.carry

    def intercept(source, target, data, kind):
        if (source, target) == ends and kind == "frame":
            held_frames.append(data)
        else:
            carry(source, target, data, kind)

    stage.sim.net.carry = intercept
    assert call(stage, asker, "POST", "/Evacuate.Begin/north")[0] == 503
    stage.sim.net.carry = carry
    assert call(stage, others[0], "POST", "/Evacuate.Begin/north")[0] == 200
    finish_path = "/Evacuate.Finish/north"
    assert (
        stage.wait_for(lambda: call(stage, others[1], "POST", finish_path)[0] == 200, 1) is not None
    )
    stage.run(20)
    for data in held_frames:
        carry(*ends, data, "frame")
    stage.run(1)
    assert not any(n.find("layout").is_drained("north") for n in stage.sim.nodes.values())
    assert call(stage, others[0], "POST", "/Evacuate.Begin/north")[0] == 200


@pytest.mark.parametrize("seed", [1, 2])
def test_two_concurrent_retirements_by_two_operators_are_not_both_accepted(seed):
    stage = SelfFoundingFleet(seed)
    tasks = []
    for core, store in (("core-1", "1"), ("core-3", "2")):
        node = stage.sim.nodes[core]
        coroutine = handle_ctl(node, "POST", f"/Retire.Begin/{store}", {}, b"")
        tasks.append(stage.env.process(stage.sim.run_coroutine(node, coroutine)))
    stage.run(2)
    assert sorted(task.value[0][0] for task in tasks) == [200, 409]


def test_orders_do_not_change_the_version_that_configurations_are_based_on():
    stage = SelfFoundingFleet(1)
    assert call(stage, "core-1", "POST", "/Evacuate.Begin/north")[0] == 200
    assert replace_configuration(stage, "core-2", FULL_CONFIGURATION, 0)[0] == 200
    assert call(stage, "core-3", "POST", "/Evacuate.Finish/north")[0] == 200
    assert replace_configuration(stage, "core-2", FULL_CONFIGURATION, 0)[0] == 200
