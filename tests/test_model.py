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
from proving.model.trace import load, play, replay, shorten

TRACES = sorted(Path("tests/traces").glob("model-*.json"))
SMALL = Budget(states=1500)
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
def test_a_world_is_clean_as_far_as_a_small_budget_goes(name):
    outcome = Explorer(find_world(name), SMALL).run(40)
    assert outcome.finding is None
    assert outcome.states >= SMALL.states


@pytest.mark.parametrize("name", sorted(WORLDS))
def test_a_random_walk_through_a_world_is_clean(name):
    outcome = walk(find_world(name), 60, 7, Budget(states=600))
    assert outcome.finding is None and outcome.states > 50


def test_one_world_is_explored_to_its_end():
    bounds = {"takes": 1, "submits": 1, "late_answers": 0, "switches": 1, "delays": 0}
    outcome = Explorer(with_bounds(find_world("takeover"), bounds)).run(60)
    assert outcome.is_complete and outcome.finding is None
    assert outcome.states > 100


def test_the_same_exploration_sees_the_same_states():
    first, second = (Explorer(find_world("terms"), SMALL).run(40) for _ in range(2))
    assert first._replace(seconds=0) == second._replace(seconds=0)


@pytest.mark.parametrize("name", sorted(QUICK_BUGS))
def test_a_seeded_bug_is_found_and_only_with_it(name):
    bug = find_bug(name)
    world = with_bounds(find_world(bug.world), bug.bounds)
    with bug.patch():
        found = Explorer(world, Budget(states=20_000)).run(60)
    assert found.finding is not None
    without = Explorer(world, Budget(states=found.states)).run(found.depth)
    assert without.finding is None


def test_every_seeded_bug_has_a_recorded_trace():
    recorded = {load(path)["bug"] for path in TRACES}
    assert recorded >= set(BUGS)


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_a_recorded_trace_breaks_its_rule_with_the_bug_and_none_without(path):
    trace = load(path)
    assert trace["invariant"] in invariants.ALL
    if trace["bug"] is not None:
        assert replay(trace).invariant == trace["invariant"]
    assert replay(trace, with_bug=False).invariant is None


def test_a_broken_walk_is_made_shorter():
    bug = find_bug("change-group-at-will")
    world = with_bounds(find_world(bug.world), bug.bounds)
    with bug.patch():
        outcome = walk(world, 60, 3, Budget(states=5000))
        short = shorten(world, outcome.finding)
        assert play(world, short.choices).invariant == short.invariant
    assert len(short.choices) < len(outcome.finding.choices)


def test_a_crash_of_a_store_that_synced_everything_loses_nothing():
    system = System(with_bounds(find_world("power"), {"crashes": 1}))
    processes, state = system.processes, system.first_state()
    for name in system.world.store_names:
        number = state.locals[system.places[name]]
        held = processes.make_again(number).acceptors.rows()
        machine = processes.make_again(number)
        machine.react(Input("crash"))
        assert machine.acceptors.rows() == held


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
def test_bad_arguments_are_refused(arguments):
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code in (1, 2) and "Error" in result.output


@pytest.mark.parametrize(
    "content",
    ["", "[]", "{}", '{"world": "takeover", "bug": null, "bounds": {}, "choices": [["take"]]}'],
)
def test_a_bad_trace_file_is_refused(content, tmp_path):
    path = tmp_path / "trace.json"
    path.write_text(content, encoding="utf-8")
    result = CliRunner().invoke(main, ["--trace", str(path)])
    assert result.exit_code == 1 and "model_bad_trace" in result.output


def test_a_trace_of_an_unknown_world_is_refused(tmp_path):
    path = tmp_path / "trace.json"
    trace = {"world": "nowhere", "bug": None, "bounds": {}, "choices": []}
    path.write_text(json.dumps(trace), encoding="utf-8")
    result = CliRunner().invoke(main, ["--trace", str(path)])
    assert result.exit_code == 1 and "model_unknown_name" in result.output
