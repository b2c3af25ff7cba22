"""Operators' orders to drain zones and to retire stores."""

import pytest

from quillring.edge.admission import check_not_draining
from quillring.kernel.errors import Conflict, NotFound, Refused
from quillring.quorum.commands import apply_batch, initial_state
from quillring.rollout.operator_orders import is_retired, known_stores, retire_store
from tests.fleet_stage import SelfFoundingFleet


def zone_order(zone, is_drained, **fields):
    return {"do": "domain.mark", "domain": zone, "emptied": is_drained, **fields}


def retire(stage, store, core="core-1"):
    """Order the retirement of a store through a core; return (answer, error)."""
    return stage.ask(core, retire_store(stage.sim.nodes[core], store, 0.8))


def is_retirement_done(stage, store, core="core-1"):
    """Ask a core whether the retirement of a store is finished; return (answer, error)."""
    return stage.ask(core, is_retired(stage.sim.nodes[core], store, 0.8))


def test_orders_are_accepted_before_any_configuration_and_the_last_one_counts():
    state = initial_state([])
    state, _ = apply_batch(
        state,
        [
            zone_order("north", True),
            zone_order("north", False),
            {"do": "store.mark", "store": "store-1", "retired": True},
            {"do": "store.mark", "store": "store-1", "retired": False},
            {"do": "store.mark", "store": "store-2", "retired": True},
        ],
    )
    assert state["layout"]["domains"] == {"north": {"emptied": False, "nodes": True}}
    assert state["layout"]["stores"] == {
        "store-1": {"retired": False},
        "store-2": {"retired": True},
    }


def test_an_order_already_in_force_changes_nothing():
    state, _ = apply_batch(initial_state([]), [zone_order("north", True)])
    state_after_repeat, answers = apply_batch(state, [zone_order("north", True)])
    assert state_after_repeat is state and answers[0]["emptied"]


@pytest.mark.parametrize("includes_nodes", [True, False])
def test_the_nodes_of_a_drained_zone_keep_serving_unless_the_order_includes_them(
    includes_nodes,
):
    stage = SelfFoundingFleet(2)
    answer, error = stage.submit("core-2", zone_order("north", True, nodes=includes_nodes))
    assert error is None
    stage.run(1)
    node = next(n for n in stage.sim.up_nodes("edge") if n.me.zone == "north")
    core = next(n for n in stage.sim.up_nodes("core") if n.me.zone == "north")
    assert node.find("layout").is_drained("north")
    assert node.find("ownership").is_leaving(core.me.name) == includes_nodes
    if includes_nodes:
        with pytest.raises(Refused):
            check_not_draining(node)
    else:
        check_not_draining(node)


def test_a_retirement_is_done_when_no_group_contains_the_store_and_all_groups_are_full():
    stage = SelfFoundingFleet(3)
    member = stage.sim.nodes["core-1"].find("ownership").group("config")[0][0]
    assert is_retirement_done(stage, member) == (False, None)
    assert retire(stage, member)[1] is None
    assert retire(stage, member)[1] is None
    done_after_seconds = stage.wait_for(lambda: is_retirement_done(stage, member)[0], 5)
    assert done_after_seconds is not None
    for part in ("config", "part-0", "part-1"):
        group = stage.sim.nodes["core-1"].find("ownership").group(part)
        assert len(group) == 3 and member not in [store[0] for store in group]


def test_an_unknown_store_is_not_found():
    stage = SelfFoundingFleet(3)
    assert isinstance(retire(stage, "store-9")[1], NotFound)
    assert isinstance(is_retirement_done(stage, "store-9")[1], NotFound)


def test_a_retirement_that_leaves_too_few_stores_is_refused_and_changes_nothing():
    stage = SelfFoundingFleet(3)
    assert retire(stage, "store-1")[1] is None
    error = retire(stage, "store-2")[1]
    assert isinstance(error, Conflict)
    assert is_retirement_done(stage, "store-2") == (False, None)


def test_a_retirement_is_refused_after_another_store_is_permanently_lost():
    stage = SelfFoundingFleet(3)
    stage.sim.kill("store-1")
    stage.run(stage.sim.bounds.recovery + 2)
    assert isinstance(retire(stage, "store-2")[1], Conflict)
    assert is_retirement_done(stage, "store-2") == (False, None)


def test_a_retirement_accepted_while_another_store_restarts_is_done_after_the_restart():
    stage = SelfFoundingFleet(3)
    group = [s[0] for s in stage.sim.nodes["core-1"].find("ownership").group("config")]
    retiring, restarting = group[0], group[1]
    stage.sim.lose_disk(restarting)
    stage.run(3)
    assert retire(stage, retiring)[1] is None
    stage.run(1)
    assert is_retirement_done(stage, retiring)[0] is not True
    stage.start(restarting)
    assert stage.wait_for(lambda: is_retirement_done(stage, retiring)[0], 8) is not None


def test_known_stores_include_the_roster_and_the_group_members():
    stage = SelfFoundingFleet(3)
    stores = known_stores(stage.sim.nodes["core-1"])
    assert sorted(stores) == ["store-1", "store-2", "store-3", "store-4"]
