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


def call(*words):
    return CliRunner().invoke(main, [str(word) for word in words])


def test_days_are_written_and_the_same_seed_gives_the_same_day(site_path, tmp_path):
    texts = []
    for folder in ("one", "two"):
        result = call(site_path, "--first", 3, "--count", 2, "--output", tmp_path / folder)
        assert result.exit_code == 0, result.output
        paths = [line for line in result.output.split() if line]
        assert len(paths) == 2
        texts.append([open(path).read() for path in paths])
    assert texts[0] == texts[1] and texts[0][0] != texts[0][1]


@pytest.mark.parametrize("seed", range(200))
def test_every_entry_lies_inside_the_day_and_in_order(seed):
    site = tomllib.loads(SITE)
    day = draw_day(random.Random(seed), site, "d", seed)
    for section in ("plan", "faults"):
        times = [entry["at"] for entry in day[section]]
        assert times == sorted(times)
        assert times and all(0 < at < site["length_s"] for at in times)
    assert all("at" not in closing for closing in [day.get("closing", {})])


@pytest.mark.parametrize(
    "content, said",
    [("", "no name"), ("name = [", "Invalid"), ('name = "x"\nlength_s = 3.0', "no traffic, day")],
)
def test_a_file_that_is_no_site_is_told_and_nothing_written(tmp_path, content, said):
    path = tmp_path / "bad.toml"
    path.write_text(content)
    result = call(path, "--output", tmp_path / "out")
    assert result.exit_code == 2 and said.lower() in result.output.lower()
    assert not (tmp_path / "out").exists()


def test_a_count_out_of_range_is_told(site_path, tmp_path):
    assert call(site_path, "--count", 0, "--output", tmp_path / "out").exit_code == 2
