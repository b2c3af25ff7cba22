"""Drawn days of faults: equal for equal seeds, sorted, and only from a valid site file."""

import random
import tomllib

import pytest
from click.testing import CliRunner

from proving.drawn.draw import draw_day
from proving.drawn_days import main

SITE = """
name = "example"
length_s = 30.0
traffic = [{ zone = "a", per_s = 10.0, mix = { ask = 1.0 } }]
[[day]]
name = "quiet-1"
one = 1.0
zero = 0.5
wall = 2.0
"""


@pytest.fixture
def site_path(tmp_path):
    path = tmp_path / "site.toml"
    path.write_text(SITE)
    return path


def run_command(*arguments):
    return CliRunner().invoke(main, [str(argument) for argument in arguments])


def test_days_are_written_and_equal_seeds_give_equal_days(site_path, tmp_path):
    texts = []
    for folder in ("one", "two"):
        result = run_command(site_path, "--first", 3, "--count", 2, "--output", tmp_path / folder)
        assert result.exit_code == 0, result.output
        paths = [line for line in result.output.split() if line]
        assert len(paths) == 2
        texts.append([open(path).read() for path in paths])
    assert texts[0] == texts[1] and texts[0][0] != texts[0][1]


@pytest.mark.parametrize("seed", range(200))
def test_all_entries_are_within_the_day_and_sorted_by_time(seed):
    site = tomllib.loads(SITE)
    day = draw_day(random.Random(seed), site, "d", seed)
    for section in ("plan", "faults"):
        times = [entry["at"] for entry in day[section]]
        assert times == sorted(times)
        assert times and all(0 < at < site["length_s"] for at in times)
    assert all("at" not in closing for closing in [day.get("closing", {})])


@pytest.mark.parametrize(
    "content, message",
    [("", "no name"), ("name = [", "Invalid"), ('name = "x"\nlength_s = 3.0', "no traffic, day")],
)
def test_an_invalid_site_file_is_reported_and_no_day_is_written(tmp_path, content, message):
    path = tmp_path / "bad.toml"
    path.write_text(content)
    result = run_command(path, "--output", tmp_path / "out")
    assert result.exit_code == 2 and message.lower() in result.output.lower()
    assert not (tmp_path / "out").exists()


def test_a_count_out_of_range_is_a_usage_error(site_path, tmp_path):
    assert run_command(site_path, "--count", 0, "--output", tmp_path / "out").exit_code == 2
