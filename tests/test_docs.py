"""The pages and example files agree with the code."""

import json
import pathlib
import re

import pytest

from proving.model.bugs import BUGS
from proving.points.catalog import POINTS
from proving.tools.deployments import DEPLOYMENTS, configuration_of, replicas_of, settings_of
from proving.tools.reference import reference
from quillring.kernel.routes import ROUTES
from quillring.kernel.settings import find_faults
from quillring.rollout.schema import find_faults as configuration_faults
from quillring.verbs.program import main


def test_the_settings_reference_is_up_to_date():
    assert pathlib.Path("docs/settings.md").read_text() == reference()


def test_every_scenario_point_is_listed_in_the_table():
    table = pathlib.Path("docs/never.md").read_text()
    assert [s.__name__ for _, s, _ in POINTS if f"`{s.__name__}`" not in table] == []


def test_every_route_is_listed_in_the_http_page():
    page = re.sub(r"[A-Z]{3,}", "X", pathlib.Path("docs/http.md").read_text())
    paths = {re.sub(r"{\w+}", "X", path) for _, path in ROUTES.entries if path[:6] != "/test/"}
    assert main is not None and [path for path in sorted(paths) if path not in page] == []


def test_the_example_files_are_valid_and_up_to_date():
    for name, deployment in DEPLOYMENTS.items():
        folder = pathlib.Path("examples") / name
        assert json.loads((folder / "layout.json").read_text()) == configuration_of(deployment)
        assert json.loads((folder / "replicas.json").read_text()) == list(replicas_of(deployment))
        assert configuration_faults(configuration_of(deployment)) == []
        for fields in settings_of(deployment):
            path = folder / "settings" / f"{fields['name']}.json"
            assert json.loads(path.read_text()) == fields
            assert find_faults(fields) == []


def test_each_page_is_listed_once_in_the_index():
    index = pathlib.Path("README.md").read_text()
    listed = re.findall(r"^- \[(docs/[\w.-]+)\]", index, re.MULTILINE)
    assert sorted(listed) == sorted(map(str, pathlib.Path("docs").glob("*.md")))


def test_the_tests_bugs_and_scenarios_named_by_the_control_page_exist():
    page = pathlib.Path("docs/control.md").read_text()
    files = set(re.findall(r"`(test_\w+\.py)`", page))
    assert len(files) > 25
    assert [name for name in sorted(files) if not (pathlib.Path("tests") / name).exists()] == []
    bugs = set(re.findall(r"`([a-z]+(?:-[a-z]+)+)`", page))
    assert bugs <= set(BUGS) and len(bugs) > 6
    rows = [row.rsplit("|", 2)[1] for row in page.splitlines() if row.startswith("| ")]
    named = {name for cell in rows for name in re.findall(r"`([a-z]+(?:_[a-z]+)+)`", cell)}
    points = {scenario.__name__ for _, scenario, _ in POINTS}
    assert len(named & points) > 10 and {n for n in named - points if n != "stale_order"} == set()


PACKAGES = sorted(path.parent.name for path in pathlib.Path("quillring").glob("*/__init__.py"))
MODULE_PATH = re.compile(rf"(?:quillring/)?((?:{'|'.join(PACKAGES)})/[\w/]+\.py)\b")


@pytest.mark.parametrize("page", sorted(pathlib.Path("docs").glob("*.md")), ids=lambda p: p.stem)
def test_the_modules_that_a_page_names_exist(page):
    named = set(MODULE_PATH.findall(page.read_text()))
    assert {path for path in named if not pathlib.Path("quillring", path).exists()} == set()
