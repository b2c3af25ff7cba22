"""Tests recorded runs, checks of snapshots, saved histories and the command line."""

import pytest
from click.testing import CliRunner

from proving.histories.__main__ import main
from proving.histories.bugs import BUGS, find_bug
from proving.histories.operations import (
    CONFIGURATION,
    BadHistory,
    Done,
    FetchConfiguration,
    History,
    Operation,
    Snapshot,
    load_history,
    save_history,
)
from proving.histories.run import check_history, run_seed
from proving.histories.snapshots import check_snapshots
from tests.history_rows import STORE_ZONES, adopt, seen


def snapshot(at, index, number, incarnation=1, is_fresh=True):
    """Return a snapshot of edge-1."""
    return Snapshot("edge-1", incarnation, at, index, number, is_fresh)


def test_a_process_never_goes_back_to_an_older_configuration_and_fresh_nodes_are_current():
    done = Operation("c", "n", CONFIGURATION, adopt(2, 1, 1), 0.0, 1.0, Done())
    valid = [snapshot(0, 3, 1), snapshot(2, 5, 2), snapshot(9, 0, 0, 2, False)]
    assert check_snapshots(History(1, [done], valid)) == []
    assert check_snapshots(History(1, [done], [snapshot(2, 5, 2), snapshot(3, 4, 1)]))
    assert check_snapshots(History(1, [done], [snapshot(4, 3, 1)]))
    assert check_snapshots(History(1, [done], [snapshot(4, 3, 1, is_fresh=False)])) == []


def test_a_saved_history_is_loaded_and_checked_unchanged(tmp_path):
    rows = [
        Operation("c", "n", CONFIGURATION, adopt(1, 0, 1), 0.0, 1.0, Done()),
        Operation("c", "n", CONFIGURATION, FetchConfiguration(), 2.0, 3.0, seen(0, 0)),
    ]
    history = History(5, rows, [snapshot(1, 1, 1)], tuple(STORE_ZONES))
    path = tmp_path / "history.json"
    save_history(history, path)
    assert load_history(path) == history
    findings, undecided, _ = check_history(load_history(path))
    assert [finding.target for finding in findings] == [CONFIGURATION] and undecided == []
    result = CliRunner().invoke(main, ["--replay", str(path)])
    assert result.exit_code == 1 and "not linearizable" in result.output


def test_invalid_arguments_and_files_are_reported(tmp_path):
    path = tmp_path / "none.json"
    for text in (None, "{}", "[", '{"seed": 1, "operations": [{"client": 1}]}'):
        if text is not None:
            path.write_text(text)
        with pytest.raises(BadHistory):
            load_history(path)
        result = CliRunner().invoke(main, ["--replay", str(path)])
        assert result.exit_code == 1 and "bad_history" in result.output
    for arguments in (
        ["--seeds", "0"],
        ["--jobs", "0"],
        ["--first", "-1"],
        ["--faults", "1000"],
        ["--seeds", "2", "--bugs"],
        ["--replay", "1", "--bugs"],
    ):
        assert CliRunner().invoke(main, arguments).exit_code == 2


def test_a_recorded_run_under_faults_is_linearizable_and_deterministic():
    result, again = run_seed(3), run_seed(3)
    assert result.findings == () and result.undecided == ()
    assert result.operations > 200
    assert again.history == result.history


@pytest.mark.parametrize("seed", [11, 12])
def test_more_recorded_runs_are_linearizable(seed):
    result = run_seed(seed)
    assert (result.findings, result.undecided) == ((), ())


def test_a_seeded_bug_is_found_in_its_first_run():
    row = find_bug(([bug.name for bug in BUGS].index("results move"), 1, 1))
    assert row.seed == 1 and row.found.startswith("lot/")


def test_the_guard_of_each_seeded_bug_exists():
    for bug in BUGS:
        with bug.patch():
            assert bug.guard
