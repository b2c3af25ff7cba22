import pytest

from quillring.edge.admission import check_not_draining
from quillring.kernel.errors import Conflict, NotFound, Refused
from quillring.quorum.commands import apply_batch, initial_state
from quillring.rollout.operator_orders import is_retired, known_stores, retire_store
from tests.fleet_stage import SelfFounded


def zone_order(zone, is_drained, **fields):
    return {"do": "domain.mark", "domain": zone, "emptied": is_drained, **fields}


def retire(stage, store, core="core-1"):
    return stage.ask(core, retire_store(stage.sim.nodes[core], store, 0.8))


def is_done(stage, store, core="core-1"):
    return stage.ask(core, is_retired(stage.sim.nodes[core], store, 0.8))


def test_orders_come_before_any_configuration_and_the_last_one_counts():
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


def test_an_order_that_stands_already_changes_nothing():
    state, _ = apply_batch(initial_state([]), [zone_order("north", True)])
    again, answers = apply_batch(state, [zone_order("north", True)])
    assert again is state and answers[0]["emptied"]


@pytest.mark.parametrize("are_nodes_left", [True, False])
def test_an_emptied_zone_keeps_its_nodes_serving_when_the_order_says_so(are_nodes_left):
    stage = SelfFounded(2)
    answer, error = stage.submit("core-2", zone_order("north", True, nodes=are_nodes_left))
    assert error is None
    stage.run(1)
    node = next(n for n in stage.sim.up_nodes("edge") if n.me.zone == "north")
    core = next(n for n in stage.sim.up_nodes("core") if n.me.zone == "north")
    assert node.find("layout").is_drained("north")
    assert node.find("ownership").is_leaving(core.me.name) == are_nodes_left
    if are_nodes_left:
        with pytest.raises(Refused):
            check_not_draining(node)
    else:
        check_not_draining(node)


def test_a_retired_store_is_done_once_no_part_holds_it_and_all_groups_are_full():
    stage = SelfFounded(3)
    member = stage.sim.nodes["core-1"].find("ownership").group("config")[0][0]
    assert is_done(stage, member) == (False, None)
    assert retire(stage, member)[1] is None
    assert retire(stage, member)[1] is None
    took = stage.wait_for(lambda: is_done(stage, member)[0], 5)
    assert took is not None
    for part in ("config", "part-0", "part-1"):
        group = stage.sim.nodes["core-1"].find("ownership").group(part)
        assert len(group) == 3 and member not in [store[0] for store in group]


def test_an_unknown_store_is_not_found():
    stage = SelfFounded(3)
    assert isinstance(retire(stage, "store-9")[1], NotFound)
    assert isinstance(is_done(stage, "store-9")[1], NotFound)


def test_a_retirement_that_leaves_too_few_stores_is_refused_and_changes_nothing():
    stage = SelfFounded(3)
    assert retire(stage, "store-1")[1] is None
    error = retire(stage, "store-2")[1]
    assert isinstance(error, Conflict)
    assert is_done(stage, "store-2") == (False, None)


def test_a_retirement_is_refused_once_another_store_is_gone_for_good():
    stage = SelfFounded(3)
    stage.sim.kill("store-1")
    stage.run(stage.sim.bounds.recovery + 2)
    assert isinstance(retire(stage, "store-2")[1], Conflict)
    assert is_done(stage, "store-2") == (False, None)


def test_a_retirement_is_taken_while_another_store_restarts_and_is_done_once_that_is_back():
    stage = SelfFounded(3)
    group = [s[0] for s in stage.sim.nodes["core-1"].find("ownership").group("config")]
    leaving, away = group[0], group[1]
    stage.sim.lose_disk(away)
    stage.run(3)
    assert retire(stage, leaving)[1] is None
    stage.run(1)
    assert is_done(stage, leaving)[0] is not True
    stage.start(away)
    assert stage.wait_for(lambda: is_done(stage, leaving)[0], 8) is not None


def test_stores_are_known_by_the_roster_and_the_groups():
    stage = SelfFounded(3)
    stores = known_stores(stage.sim.nodes["core-1"])
    assert sorted(stores) == ["store-1", "store-2", "store-3", "store-4"]
