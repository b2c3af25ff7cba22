import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from proving.model import invariants
from proving.model.__main__ import main
from proving.model.bugs import BUGS, find_bug
from proving.model.explore import Budget, Explorer, walk
from proving.model.machines import Input
from proving.model.scopes import WORLDS, find_world, with_bounds
from proving.model.system import System
from proving.model.trace import load_trace, replay_choices, replay_trace, shorten

TRACES = sorted(Path("tests/traces").glob("model-*.json"))
SMALL_BUDGET = Budget(states=1500)
QUICK_BUGS = {
    "accept-below-vote",
    "answer-for-former-self",
    "change-group-at-will",
    "decide-alone",
    "peek-applied-only",
    "read-without-fence",
    "skip-promise-again",
    "stay-in-phase-two",
    "take-second-founding",
    "tell-no-record",
}


@pytest.mark.parametrize("name", sorted(WORLDS))
def test_world_breaks_no_invariant_within_a_small_budget(name):
    outcome = Explorer(find_world(name), SMALL_BUDGET).run(40)
    assert outcome.finding is None
    assert outcome.states >= SMALL_BUDGET.states


@pytest.mark.parametrize("name", sorted(WORLDS))
def test_random_walk_through_a_world_breaks_no_invariant(name):
    outcome = walk(find_world(name), 60, 7, Budget(states=600))
    assert outcome.finding is None and outcome.states > 50


def test_small_world_is_explored_completely():
    bounds = {"takes": 1, "submits": 1, "late_answers": 0, "switches": 1, "delays": 0}
    outcome = Explorer(with_bounds(find_world("takeover"), bounds)).run(60)
    assert outcome.is_complete and outcome.finding is None
    assert outcome.states > 100


def test_exploration_is_deterministic():
    first, second = (Explorer(find_world("terms"), SMALL_BUDGET).run(40) for _ in range(2))
    assert first._replace(seconds=0) == second._replace(seconds=0)


@pytest.mark.parametrize("name", sorted(QUICK_BUGS))
def test_exploration_finds_a_seeded_bug_and_nothing_without_it(name):
    bug = find_bug(name)
    world = with_bounds(find_world(bug.world), bug.bounds)
    with bug.patch():
        patched = Explorer(world, Budget(states=20_000)).run(60)
    assert patched.finding is not None
    unpatched = Explorer(world, Budget(states=patched.states)).run(patched.depth)
    assert unpatched.finding is None


def test_every_seeded_bug_has_a_recorded_trace():
    recorded = {load_trace(path)["bug"] for path in TRACES}
    assert recorded >= set(BUGS)


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_recorded_trace_breaks_its_invariant_with_the_bug_and_none_without(path):
    trace = load_trace(path)
    assert trace["invariant"] in invariants.ALL
    if trace["bug"] is not None:
        assert replay_trace(trace).invariant == trace["invariant"]
    assert replay_trace(trace, with_bug=False).invariant is None


def test_finding_of_a_random_walk_is_shortened():
    bug = find_bug("change-group-at-will")
    world = with_bounds(find_world(bug.world), bug.bounds)
    with bug.patch():
        outcome = walk(world, 60, 3, Budget(states=5000))
        short = shorten(world, outcome.finding)
        assert replay_choices(world, short.choices).invariant == short.invariant
    assert len(short.choices) < len(outcome.finding.choices)


def test_crash_of_a_store_with_everything_synced_loses_nothing():
    system = System(with_bounds(find_world("power"), {"crashes": 1}))
    processes, state = system.processes, system.initial_state()
    for name in system.world.store_names:
        number = state.local_states[system.positions[name]]
        rows = processes.rebuild(number).acceptors.rows()
        machine = processes.rebuild(number)
        machine.react(Input("crash"))
        assert machine.acceptors.rows() == rows


@pytest.mark.parametrize(
    "arguments",
    [
        ["--world", "nowhere"],
        ["--depth", "0"],
        ["--budget", "soon"],
        ["--budget", "0"],
        ["--bound", "storms=1"],
        ["--bound", "takes=-1"],
        ["--bound", "takes=\u00b2"],
        ["--jobs", "9"],
        ["--bug", "none"],
        ["--trace", "no-such-file.json"],
    ],
)
def test_invalid_arguments_are_rejected(arguments):
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code in (1, 2) and "Error" in result.output


@pytest.mark.parametrize(
    "content",
    ["", "[]", "{}", '{"world": "takeover", "bug": null, "bounds": {}, "choices": [["take"]]}'],
)
def test_malformed_trace_file_is_rejected(content, tmp_path):
    path = tmp_path / "trace.json"
    path.write_text(content, encoding="utf-8")
    result = CliRunner().invoke(main, ["--trace", str(path)])
    assert result.exit_code == 1 and "model_bad_trace" in result.output


def test_trace_of_an_unknown_world_is_rejected(tmp_path):
    path = tmp_path / "trace.json"
    trace = {"world": "nowhere", "bug": None, "bounds": {}, "choices": []}
    path.write_text(json.dumps(trace), encoding="utf-8")
    result = CliRunner().invoke(main, ["--trace", str(path)])
    assert result.exit_code == 1 and "model_unknown_name" in result.output
