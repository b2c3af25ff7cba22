"""Operators' orders: sent again, late, at once; what is taken once is never refused."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quillring.kernel.errors import Conflict
from quillring.quorum.commands import apply_batch, initial_state
from quillring.rollout.orders import MAX_RECORDED_ORDERS, StaleOrder
from tests.fleet_stage import SelfFounded
from tests.system_calls import WHOLE, call, handle_ctl, replace

FOUR = {"store-1": "a", "store-2": "b", "store-3": "c", "store-4": "d"}


def zone_order(zone, is_drained, seen_version):
    return {
        "do": "domain.mark",
        "domain": zone,
        "emptied": is_drained,
        "nodes": False,
        "seen_version": seen_version,
    }


def retirement(store, seen_version, counted=FOUR):
    return {
        "do": "store.mark",
        "store": store,
        "retired": True,
        "counted": counted,
        "size": 3,
        "seen_version": seen_version,
    }


def play(*commands):
    return apply_batch(initial_state([]), list(commands))


def is_drained(state, zone):
    return ((state["layout"] or {}).get("domains") or {}).get(zone, {}).get("emptied", False)


def test_a_late_copy_of_an_order_fails_after_its_end():
    state, answers = play(
        zone_order("north", True, 0), zone_order("north", False, 1), zone_order("north", True, 0)
    )
    assert isinstance(answers[2], StaleOrder) and not is_drained(state, "north")


def test_an_order_that_is_in_force_already_fences_a_late_contrary_copy():
    state, answers = play(
        zone_order("north", False, 0), zone_order("north", False, 1), zone_order("north", True, 0)
    )
    assert isinstance(answers[2], StaleOrder) and not is_drained(state, "north")


def test_a_repeat_of_the_newest_order_is_acknowledged_whatever_its_node_had_seen():
    state, answers = play(
        zone_order("north", True, 0), zone_order("north", True, 0), zone_order("north", True, 1)
    )
    assert [answer["emptied"] for answer in answers] == [True] * 3 and is_drained(state, "north")


def test_orders_about_different_zones_do_not_fence_each_other():
    state, answers = play(*(zone_order(f"zone-{n}", True, 0) for n in range(8)))
    assert all(answer["emptied"] for answer in answers)


def test_a_configuration_adopted_meanwhile_fences_what_was_ordered_before_it():
    configuration = {"classes": {}, "services": {}, "entries": {}, "domains": {}}
    change = {
        "do": "layout.adopt",
        "id": "x",
        "base_version": 0,
        "whole": True,
        "change": configuration,
    }
    _, answers = play(change, zone_order("north", True, 0), zone_order("north", True, 1))
    assert isinstance(answers[1], StaleOrder) and answers[2]["emptied"]


def test_the_table_of_orders_is_bounded_and_what_left_it_still_fences():
    commands = [zone_order(f"zone-{n}", True, n) for n in range(MAX_RECORDED_ORDERS + 5)]
    state, answers = play(*commands, zone_order("zone-0", False, 0))
    assert len(state["orders"]) == MAX_RECORDED_ORDERS
    assert isinstance(answers[-1], StaleOrder) and is_drained(state, "zone-0")


def test_orders_of_the_version_before_are_replayed_as_they_were():
    old = {"do": "domain.mark", "domain": "north", "emptied": True}
    state, _ = play(old, {**old, "emptied": False}, {**old, "emptied": False})
    assert state["version"] == 2 and "orders" not in state


def test_of_two_retirements_in_one_moment_the_second_finds_the_first_done():
    state, answers = play(
        retirement("store-1", 0), retirement("store-2", 0), retirement("store-1", 0)
    )
    assert isinstance(answers[1], Conflict) and answers[2]["retired"]
    assert set(state["layout"]["stores"]) == {"store-1"}


def test_a_retirement_counts_the_store_that_a_plan_under_way_retires():
    plan = {
        "intent": {"kind": "retire_store", "target": "store-1"},
        "target": "retire_store store-1",
        "steps": [],
        "obstacles": [],
        "moves": [],
        "against": {"version": 0},
    }
    _, answers = play(
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
def test_an_order_held_on_its_way_is_not_committed_after_its_end_was_acknowledged(seed):
    stage = SelfFounded(seed)
    owner = stage.owner()
    asker, *others = [name for name in stage.sim.names("core") if name != owner]
    ends = tuple(stage.sim.nodes[name].me.address for name in (asker, owner))
    held, carry = [], stage.sim.net.carry

    def hold(home, target, data, kind):
        if (home, target) == ends and kind == "frame":
            held.append(data)
        else:
            carry(home, target, data, kind)

    stage.sim.net.carry = hold
    assert call(stage, asker, "POST", "/Evacuate.Begin/north")[0] == 503
    stage.sim.net.carry = carry
    assert call(stage, others[0], "POST", "/Evacuate.Begin/north")[0] == 200
    finish = "/Evacuate.Finish/north"
    assert stage.wait_for(lambda: call(stage, others[1], "POST", finish)[0] == 200, 1) is not None
    stage.run(20)
    for data in held:
        carry(*ends, data, "frame")
    stage.run(1)
    assert not any(n.find("layout").is_drained("north") for n in stage.sim.nodes.values())
    assert call(stage, others[0], "POST", "/Evacuate.Begin/north")[0] == 200


@pytest.mark.parametrize("seed", [1, 2])
def test_two_operators_who_retire_two_stores_in_one_moment_are_not_both_confirmed(seed):
    stage = SelfFounded(seed)
    tasks = []
    for core, store in (("core-1", "1"), ("core-3", "2")):
        node = stage.sim.nodes[core]
        coroutine = handle_ctl(node, "POST", f"/Retire.Begin/{store}", {}, b"")
        tasks.append(stage.env.process(stage.sim.run_script(node, coroutine)))
    stage.run(2)
    assert sorted(task.value[0][0] for task in tasks) == [200, 409]


def test_orders_change_nothing_about_the_configurations_under_way():
    stage = SelfFounded(1)
    assert call(stage, "core-1", "POST", "/Evacuate.Begin/north")[0] == 200
    assert replace(stage, "core-2", WHOLE, 0)[0] == 200
    assert call(stage, "core-3", "POST", "/Evacuate.Finish/north")[0] == 200
    assert replace(stage, "core-2", WHOLE, 0)[0] == 200
