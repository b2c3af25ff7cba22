"""Configuration versions: conflicts, repeats, amendments, validation and distribution."""

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


def adopt_command(configuration_version, base=0, is_complete=True, **fields):
    """Return the command that adopts a configuration version based on version `base`."""
    return {
        "do": "edition.adopt",
        "id": f"{configuration_version}-{base}",
        "base_edition": base,
        "edition": configuration_version,
        "whole": is_complete,
        "forwards": {"f": forward()},
        "services": {"words": service()},
        "limits": {"head_bytes": 1, "origin": {"a": 1}},
        "removed": {},
        **fields,
    }


def amend_command(configuration_version, base, **fields):
    """Return the command that changes the named items of the configuration only."""
    no_changes = {"forwards": {}, "services": {}, "limits": None}
    return adopt_command(configuration_version, base, False, **{**no_changes, **fields})


def apply(state, *orders):
    """Apply commands one by one; each must be accepted. Return the state."""
    for command in orders:
        state, answers = apply_batch(state, [copy.deepcopy(command)])
        assert not isinstance(answers[0], QuillringError), answers[0]
    return state


def refusal(state, command):
    """Apply a command that must be refused; return its error."""
    new_state, answers = apply_batch(state, [copy.deepcopy(command)])
    assert new_state is state, "a refused command changed the state"
    return answers[0]


START = initial_state([])


def test_of_two_versions_on_the_same_base_the_first_wins_and_the_other_gets_a_conflict():
    state = apply(START, adopt_command(5))
    error = refusal(state, adopt_command(6, 0))
    assert isinstance(error, Conflict) and error.detail["winning_edition"] == 5
    assert refusal(state, adopt_command(6, 7)).detail["winning_edition"] == 5


def test_a_resent_version_is_acknowledged_as_repeated_also_after_a_later_version():
    state = apply(START, adopt_command(5), adopt_command(9, 5))
    state_after_repeat, answers = apply_batch(state, [{**adopt_command(5), "id": "another"}])
    assert state_after_repeat is state and answers == [{"edition": 5, "repeated": True}]
    assert isinstance(refusal(state, adopt_command(5, forwards={})), Conflict)


def test_the_same_version_number_with_different_content_is_not_a_repeat():
    state = apply(START, adopt_command(5))
    assert isinstance(refusal(state, adopt_command(5, 5, forwards={})), BadConfiguration)


def test_the_history_of_configuration_versions_is_bounded_and_keeps_the_newest():
    state = apply(START, *(adopt_command(n, n - 1) for n in range(1, MAX_RECORDED_VERSIONS + 20)))
    last = MAX_RECORDED_VERSIONS + 19
    assert len(state["editions"]) == MAX_RECORDED_VERSIONS
    assert apply_batch(state, [adopt_command(last, last - 1)])[1][0]["repeated"]


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
    assert isinstance(refusal(START, {**adopt_command(5), **fields}), QuillringError)


def test_a_prefix_of_one_slash_is_valid():
    apply(START, adopt_command(5, forwards={"f": forward("/")}))


def test_an_amendment_replaces_and_removes_by_name_and_keeps_everything_else():
    first = adopt_command(5, forwards={"f": forward(), "g": forward("/g/"), "h": forward("/h/")})
    change = amend_command(
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


def test_an_amendment_cannot_remove_a_service_that_is_in_use():
    state = apply(START, adopt_command(5))
    assert isinstance(
        refusal(state, amend_command(6, 5, removed={"services": ["words"]})), BadConfiguration
    )


def test_a_complete_version_replaces_the_previous_one_but_keeps_the_zone_orders():
    zone_order = {"do": "domain.mark", "domain": "north", "emptied": True, "nodes": False}
    state = apply(
        START, zone_order, adopt_command(5, extras={"note": 1}), adopt_command(8, 5, forwards={})
    )
    configuration = state["layout"]
    assert configuration["forwards"] == {} and configuration["extras"] == {}
    assert configuration["domains"] == {"north": {"emptied": True, "nodes": False}}
    assert find_faults(configuration) == []


def test_an_adopted_version_passes_the_configuration_checks_and_allows_partial_changes():
    state = apply(START, adopt_command(5))
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


def test_the_commands_of_configuration_versions_are_registered():
    assert {"edition.adopt", "domain.mark", "store.mark"} <= set(COMMANDS.names())


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_version_reaches_every_node_although_the_owner_dies_right_after_the_answer(
    seed,
):
    stage = SelfFoundingFleet(seed)
    owner = stage.owner()
    asker = next(name for name in stage.sim.names("core") if name != owner)
    answer, error = stage.submit(asker, adopt_command(5))
    stage.sim.kill(owner)
    assert error is None and answer == {"edition": 5}

    def is_at_every_node():
        configurations = [
            n.find("layout").configuration for n in stage.sim.nodes.values() if stage.sim.is_up(n)
        ]
        return all((configuration or {}).get("edition") == 5 for configuration in configurations)

    assert stage.wait_for(is_at_every_node, 1.5) is not None
    assert stage.wait_for(lambda: stage.owner() not in (None, owner), 2.5) is not None
    assert stage.submit(asker, adopt_command(5))[0] == {"edition": 5, "repeated": True}
    assert stage.read(asker, {"ask": "edition"})[0]["edition"] == 5


def test_a_node_that_missed_the_announcement_fetches_the_version_from_stores_without_the_owner():
    stage = SelfFoundingFleet(4)
    owner = stage.owner()
    stage.sim.nodes["edge-1"].handlers["gossip.news"] = lambda items, origin: None
    asker = next(name for name in stage.sim.names("core") if name != owner)
    assert stage.submit(asker, adopt_command(5))[1] is None
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
