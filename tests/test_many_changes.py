"""After hundreds of changes the state is bounded and every late member catches up."""

import json

import cbor2
import pytest
from click.testing import CliRunner

from proving.sim import many_changes
from proving.sim.many_changes import ManyChanges
from quillring.kernel.errors import Conflict
from quillring.quorum.commands import apply_batch, initial_state
from quillring.quorum.parts import CONFIG_PART
from quillring.rollout import configuration_versions
from quillring.rollout.commands import MAX_RECORDED_CHANGES, BadConfiguration
from quillring.rollout.configuration_versions import MAX_RECORDED_VERSIONS
from quillring.rollout.orders import MAX_RECORDED_ORDERS

FORWARD = {"host": "a.example", "prefix": "/a/", "kind": "repeatable", "split": [["s", 1]]}


def adopt_command(number, base, forwards):
    return {
        "do": "edition.adopt",
        "base_edition": base,
        "edition": number,
        "whole": True,
        "forwards": forwards,
        "services": {"s": {"kind": "raw"}},
        "limits": None,
        "removed": None,
        "extras": {},
    }


def one_command_of_each_kind(number, state):
    """Return one command of each kind, based on the version of a state."""
    forward = {**FORWARD, "prefix": f"/{number:06d}/", "rounds": 1 + number % 3}
    zone, store = f"zone-{number % (MAX_RECORDED_ORDERS * 2):04d}", f"store-{number % 40:02d}"
    seen = {"seen_version": state["version"]}
    return [
        adopt_command(number, number - 1, {"f": forward}),
        {"do": "domain.mark", "domain": zone, "emptied": True, "nodes": False, **seen},
        {"do": "store.mark", "store": store, "retired": bool(number % 2), **seen},
    ]


def test_state_tables_stay_bounded_for_any_number_of_changes():
    state, state_bytes = initial_state([]), {}
    for number in range(1, 641):
        state, answers = apply_batch(state, one_command_of_each_kind(number, state))
        assert not any(isinstance(answer, Exception) for answer in answers[:2]), answers
        if number % 8 == 0:
            adopt = {"do": "layout.adopt", "id": f"id-{number:06d}", "whole": False}
            adopt |= {"base_version": state["version"], "change": {}}
            state, (answer,) = apply_batch(state, [adopt])
            assert answer["version"] == state["version"]
        state_bytes[number] = len(cbor2.dumps(state))
    assert len(state["editions"]) == MAX_RECORDED_VERSIONS
    assert len(state["changes"]) == len(state["change_digests"]) == MAX_RECORDED_CHANGES
    assert len(state["orders"]) == MAX_RECORDED_ORDERS
    assert state_bytes[640] <= state_bytes[560] * 1.02


def test_late_resend_is_refused_and_never_applied_twice():
    state, commands = initial_state([]), []
    for number in range(1, MAX_RECORDED_VERSIONS + 10):
        commands.append(adopt_command(number, number - 1, {"f": {**FORWARD, "hold_ms": number}}))
        state, _ = apply_batch(state, [commands[-1]])
    new_state, answers = apply_batch(state, [commands[0], commands[100], commands[-1]])
    assert new_state is state
    assert isinstance(answers[0], Conflict)
    assert answers[1:] == [
        {"edition": 101, "repeated": True},
        {"edition": MAX_RECORDED_VERSIONS + 9, "repeated": True},
    ]


def test_unchanged_item_is_not_validated_again(monkeypatch):
    checked_items, original_item_faults = [], configuration_versions.item_faults

    def record_checked_items(section, validator, items):
        checked_items.extend(items)
        return original_item_faults(section, validator, items)

    forwards = {f"f-{n}": {**FORWARD, "prefix": f"/{n}/"} for n in range(60)}
    state, _ = apply_batch(initial_state([]), [adopt_command(1, 0, forwards)])
    monkeypatch.setattr(configuration_versions, "item_faults", record_checked_items)
    changed = {**forwards, "f-7": {**FORWARD, "prefix": "/7/", "rounds": 2}}
    state, answers = apply_batch(state, [adopt_command(2, 1, json.loads(json.dumps(changed)))])
    assert answers == [{"edition": 2}] and [n for n in checked_items if n != ""] == ["f-7"]


@pytest.mark.parametrize("value", [True, 1.0])
def test_value_of_another_type_that_compares_equal_is_validated(value):
    forwards = {"f": {**FORWARD, "rounds": 1}}
    state, _ = apply_batch(initial_state([]), [adopt_command(1, 0, forwards)])
    _, answers = apply_batch(state, [adopt_command(2, 1, {"f": {**FORWARD, "rounds": value}})])
    assert isinstance(answers[0], BadConfiguration)


@pytest.mark.parametrize("case", many_changes.CASES, ids=lambda case: case.__name__)
def test_member_catches_up_after_120_changes(case):
    fleet = ManyChanges(1, 2, 2)
    assert fleet.change(1) == 1
    accepted_count, (seconds, _) = case(fleet, 120)
    assert accepted_count == 120 and seconds is not None and seconds < 4
    assert fleet.owner().state["layout"]["edition"] == 121
    assert fleet.change(1) == 1
    fleet.run(2)
    states = {
        cbor2.dumps(fleet.sim.nodes[name].find("acceptors").parts[CONFIG_PART].state)
        for name in fleet.group()
    }
    assert len(states) == 1


def test_previous_owner_that_leads_again_drops_its_uncommitted_change():
    """The change reached one store of three; others then commit an entry at the same index."""
    fleet = ManyChanges(3, 2, 2)
    fleet.change(3)
    former_owner = fleet.owner().node.me.name
    store = fleet.group()[0]
    others = [name for name in fleet.sim.nodes if name not in (former_owner, store)]
    fleet.sim.cut([former_owner, store], others)
    ownership = fleet.sim.nodes[former_owner].find("ownership")
    uncommitted_change = {**fleet.configuration(), "edition": 77}
    coroutine = ownership.submit(CONFIG_PART, uncommitted_change, 0.8)
    task = fleet.env.process(fleet.sim.run_coroutine(fleet.sim.nodes[former_owner], coroutine))
    fleet.env.run(until=task)
    assert task.value[1] is not None
    record = fleet.sim.nodes[store].find("acceptors").parts[CONFIG_PART]
    assert [batch[0]["edition"] for _, batch in record.entries.values()] == [77]
    other_core = next(name for name in fleet.sim.names("core") if name != former_owner)
    assert fleet.change(5, other_core) == 5
    fleet.sim.heal()
    fleet.run(4)
    for name in fleet.sim.names("core"):
        if name != former_owner:
            fleet.sim.nodes[name].is_draining = True
            fleet.sim.nodes[name].find("ownership").announce_drain()
    fleet.run(4)
    owner = fleet.owner()
    assert owner.node.me.name == former_owner and owner.state["layout"]["edition"] == 8
    assert fleet.change(1, former_owner) == 1


@pytest.mark.parametrize("text", ["a", "", "1,,2", "0", "-1", "1.5"])
def test_invalid_change_counts_are_reported_and_nothing_is_measured(text):
    result = CliRunner().invoke(many_changes.main, ["--changes", text])
    assert result.exit_code == 2 and "no numbers over 0" in result.output
