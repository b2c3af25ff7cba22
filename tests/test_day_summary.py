import json

import pytest
from click.testing import CliRunner

from proving.tools import day
from proving.tools.callers import Record


class EmptyFleet:
    """A local fleet that starts no processes and has no replicas."""

    def __init__(self, example, run_folder):
        self.run_folder, self.replicas = run_folder, {}

    def start_all(self):
        pass

    found = stop_all = start_all


@pytest.fixture
def run_day(monkeypatch, tmp_path):
    """Return a function that runs the command with fake traffic and the given violations."""

    def run(violations, *options):
        def traffic(fleet, mix, seconds, seed, record, scale):
            for kind, outcome in (("short", "complete"), ("short", "complete"), ("lot", "ended")):
                record.note(kind, outcome)
            record.first_piece_seconds.append(0.0125)
            for text in violations:
                record.violate(text)

        monkeypatch.setattr(
            day, "LocalFleet", lambda *arguments: EmptyFleet(arguments[0], tmp_path)
        )
        monkeypatch.setattr(day, "run_traffic", traffic)
        return CliRunner().invoke(day.main, ["ferrowa", "--calm", *options])

    return run


def test_the_last_line_of_the_output_is_the_verdict(run_day):
    result = run_day([])
    lines = result.output.splitlines()
    assert result.exit_code == 0 and lines[-1] == "OK: no violation in 3 calls"
    assert ["short", "complete", "2"] in [line.split() for line in lines]
    assert len(lines) < 25


def test_a_day_with_violations_lists_them_and_exits_with_1(run_day):
    result = run_day(["piece 3 after 1", "a lot was lost"])
    lines = result.output.splitlines()
    assert result.exit_code == 1 and lines[-1] == "FAILED: 2 violations in 3 calls"
    assert lines[-3:-1] == ["violation: piece 3 after 1", "violation: a lot was lost"]


@pytest.mark.parametrize("violations", [[], ["a lot was lost"]])
def test_json_output_is_the_full_report_that_is_written_to_the_file(run_day, tmp_path, violations):
    result = run_day(violations, "--json")
    report = json.loads(result.output)
    assert result.exit_code == len(violations)
    assert report == {**report, "violations": violations, "steps": [], "replicas": {}}
    assert set(report) == {*Record().to_json(), "steps", "replicas"}
    assert (tmp_path / "report.json").read_text() == result.output.rstrip("\n")


def test_the_summary_lists_the_faults_with_their_times():
    record = Record()
    steps = [[6.0, "kill core-2"], [12.1, "heal the cut"]]
    lines = day.summary({**record.to_json(), "steps": steps, "replicas": {}}).splitlines()
    assert "faults: kill core-2 at 6.0 s; heal the cut at 12.1 s" in lines
    assert "first piece, median: -" in lines and lines[-1] == "OK: no violation in 0 calls"
