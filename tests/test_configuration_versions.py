import copy

import pytest

from quillring.kernel.errors import Conflict, QuillringError
from quillring.quorum.commands import COMMANDS, QUERIES, apply_batch, initial_state
from quillring.rollout.configuration_versions import MAX_RECORDED_VERSIONS, BadConfiguration
from quillring.rollout.freshness import PolledStamp
from quillring.rollout.messages import StoreStamp
from quillring.rollout.schema import EMPTY_CONFIGURATION, find_faults
from tests.fleet_stage import SelfFoundingFleet


def forward(prefix="/a/", **fields):
    return {
        "host": "one.example",
        "prefix": prefix,
        "kind": "stream",
        "split": [["words", 9]],
        "rounds": 2,
        "hold_ms": 500,
        "goal_ms": 100,
        "urgency": 0,
        "resumable": True,
        "engine": True,
        "pause_ms": 300,
        "origin": {"name": "f", "later": [1, {"x": None}]},
        **fields,
    }


def service(**fields):
    return {
        "kind": "raw",
        "probe_path": "/h",
        "connections": 9,
        "warm_up_ms": 0,
        "warm_rate": 0.0,
        "engine": None,
        "origin": {"name": "words"},
        **fields,
    }


def order(configuration_version, base=0, whole=True, **fields):
    return {
        "do": "edition.adopt",
        "id": f"{configuration_version}-{base}",
        "base_edition": base,
        "edition": configuration_version,
        "whole": whole,
        "forwards": {"f": forward()},
        "services": {"words": service()},
        "limits": {"head_bytes": 1, "origin": {"a": 1}},
        "removed": {},
        **fields,
    }


def amend(configuration_version, base, **fields):
    nothing = {"forwards": {}, "services": {}, "limits": None}
    return order(configuration_version, base, False, **{**nothing, **fields})


def apply(state, *orders):
    for command in orders:
        state, answers = apply_batch(state, [copy.deepcopy(command)])
        assert not isinstance(answers[0], QuillringError), answers[0]
    return state


def refusal(state, command):
    new_state, answers = apply_batch(state, [copy.deepcopy(command)])
    assert new_state is state, "what was refused changed something"
    return answers[0]


START = initial_state([])


def test_of_two_configuration_versions_on_the_same_base_the_first_wins_and_the_other_is_told_so():
    state = apply(START, order(5))
    error = refusal(state, order(6, 0))
    assert isinstance(error, Conflict) and error.detail["winning_edition"] == 5
    assert refusal(state, order(6, 7)).detail["winning_edition"] == 5


def test_a_configuration_version_sent_again_is_told_as_taken_also_after_a_later_one():
    state = apply(START, order(5), order(9, 5))
    again, answers = apply_batch(state, [{**order(5), "id": "another"}])
    assert again is state and answers == [{"edition": 5, "repeated": True}]
    assert isinstance(refusal(state, order(5, forwards={})), Conflict)


def test_the_same_number_with_another_content_is_not_taken_as_a_repeat():
    state = apply(START, order(5))
    assert isinstance(refusal(state, order(5, 5, forwards={})), BadConfiguration)


def test_the_history_of_configuration_versions_is_bounded_and_keeps_the_newest():
    state = apply(START, *(order(n, n - 1) for n in range(1, MAX_RECORDED_VERSIONS + 20)))
    last = MAX_RECORDED_VERSIONS + 19
    assert len(state["editions"]) == MAX_RECORDED_VERSIONS
    assert apply_batch(state, [order(last, last - 1)])[1][0]["repeated"]


INVALID = {
    "unknown service": {"forwards": {"f": forward(split=[["none", 1]])}},
    "one of two services unknown": {"forwards": {"f": forward(split=[["words", 1], ["x", 0]])}},
    "no weight": {"forwards": {"f": forward(split=[["words", 0]])}},
    "negative weight": {"forwards": {"f": forward(split=[["words", -1]])}},
    "empty split": {"forwards": {"f": forward(split=[])}},
    "not held": {"forwards": {"f": forward(hold_ms=0)}},
    "same place": {"forwards": {"f": forward(), "g": forward(host="ONE.example")}},
    "prefix without a slash at its end": {"forwards": {"f": forward("/a")}},
    "prefix without a slash at its start": {"forwards": {"f": forward("a/")}},
    "no host": {"forwards": {"f": {n: v for n, v in forward().items() if n != "host"}}},
    "unknown kind": {"forwards": {"f": forward(kind="walk")}},
    "text for a number": {"forwards": {"f": forward(goal_ms="1")}},
    "another kind of service": {"services": {"words": service(kind="model")}},
    "service of wrong type": {"services": {"words": service(connections="9")}},
    "limits of wrong type": {"limits": {"head_bytes": "1"}},
    "number not above": {"edition": 0},
    "no whole number": {"edition": 1.5},
    "forwards no object": {"forwards": []},
}


@pytest.mark.parametrize("fields", INVALID.values(), ids=INVALID)
def test_an_invalid_configuration_version_is_refused_and_changes_nothing(fields):
    assert isinstance(refusal(START, {**order(5), **fields}), QuillringError)


def test_a_prefix_of_one_slash_is_valid():
    apply(START, order(5, forwards={"f": forward("/")}))


def test_an_amendment_replaces_and_removes_by_name_and_carries_all_else_through():
    first = order(5, forwards={"f": forward(), "g": forward("/g/"), "h": forward("/h/")})
    change = amend(
        7,
        5,
        forwards={"g": forward("/new/", origin={"name": "g", "k": [1.0]})},
        removed={"forwards": ["f", "never"]},
    )
    configuration = apply(START, first, change)["layout"]
    assert list(configuration["forwards"]) == ["g", "h"]
    assert configuration["forwards"]["g"]["origin"] == {"name": "g", "k": [1.0]}
    assert configuration["forwards"]["h"] == forward("/h/")
    assert (
        configuration["limits"] == first["limits"]
        and configuration["services"] == first["services"]
    )
    assert QUERIES.find("edition")({"layout": configuration}, {})["edition"] == 7


def test_an_amendment_may_not_take_away_a_service_that_is_in_use():
    state = apply(START, order(5))
    assert isinstance(
        refusal(state, amend(6, 5, removed={"services": ["words"]})), BadConfiguration
    )


def test_a_whole_configuration_version_leaves_nothing_of_the_former_one_but_what_is_no_part_of_it():
    zone_order = {"do": "domain.mark", "domain": "north", "emptied": True, "nodes": False}
    state = apply(START, zone_order, order(5, extras={"note": 1}), order(8, 5, forwards={}))
    configuration = state["layout"]
    assert configuration["forwards"] == {} and configuration["extras"] == {}
    assert configuration["domains"] == {"north": {"emptied": True, "nodes": False}}
    assert find_faults(configuration) == []


def test_a_configuration_version_passes_the_checks_of_configurations_and_can_be_changed_by_part():
    state = apply(START, order(5))
    assert find_faults(state["layout"]) == []
    change = {"domains": {"north": {"emptied": False}, "east": {}}}
    command = {
        "do": "layout.adopt",
        "id": "x",
        "base_version": state["version"],
        "change": change,
        "whole": False,
    }
    assert apply(state, command)["layout"]["forwards"] == state["layout"]["forwards"]
    assert {**EMPTY_CONFIGURATION, "edition": 5}.items() <= {
        **state["layout"],
        **EMPTY_CONFIGURATION,
    }.items()


def test_every_command_of_a_configuration_version_is_known_by_name():
    assert {"edition.adopt", "domain.mark", "store.mark"} <= set(COMMANDS.names())


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_configuration_version_is_everywhere_soon_although_its_owner_dies_right_after_the_answer(
    seed,
):
    stage = SelfFoundingFleet(seed)
    owner = stage.owner()
    asker = next(name for name in stage.sim.names("core") if name != owner)
    answer, error = stage.submit(asker, order(5))
    stage.sim.kill(owner)
    assert error is None and answer == {"edition": 5}

    def is_everywhere():
        configurations = [
            n.find("layout").configuration for n in stage.sim.nodes.values() if stage.sim.is_up(n)
        ]
        return all((configuration or {}).get("edition") == 5 for configuration in configurations)

    assert stage.wait_for(is_everywhere, 1.5) is not None
    assert stage.wait_for(lambda: stage.owner() not in (None, owner), 2.5) is not None
    assert stage.submit(asker, order(5))[0] == {"edition": 5, "repeated": True}
    assert stage.read(asker, {"ask": "edition"})[0]["edition"] == 5


def test_a_node_that_got_no_news_fetches_the_version_from_the_stores_without_their_owner():
    stage = SelfFoundingFleet(4)
    owner = stage.owner()
    stage.sim.nodes["edge-1"].handlers["gossip.news"] = lambda items, origin: None
    asker = next(name for name in stage.sim.names("core") if name != owner)
    assert stage.submit(asker, order(5))[1] is None
    dead_store = max(stage.sim.nodes[asker].find("ownership").group("config"))[0]
    edge, stamp = stage.sim.nodes["edge-1"], stage.stores()[dead_store].stamp()
    polled_stamp = PolledStamp(StoreStamp.from_wire(stamp), edge.now())
    edge.find("freshness").polled_stamps = {dead_store: polled_stamp}
    stage.sim.kill(owner)
    stage.sim.kill(dead_store)
    snapshot = edge.find("layout")
    assert (
        stage.wait_for(lambda: (snapshot.configuration or {}).get("edition") == 5, 1.9) is not None
    )
