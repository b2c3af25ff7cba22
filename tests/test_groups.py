"""Pytest-xdist runs all tests of one group on the same worker."""

import os
import subprocess
import sys

GROUPED_TESTS = """
import os
import pathlib

import pytest

pytestmark = pytest.mark.xdist_group("one fleet")


@pytest.mark.parametrize("number", range(4))
def test_runs(number):
    worker = os.environ["PYTEST_XDIST_WORKER"]
    pathlib.Path(f"{__file__}.{number}.ran").write_text(worker)
"""
PYTEST_ARGUMENTS = (
    "-m",
    "pytest",
    "-n",
    "3",
    "--dist",
    "loadgroup",
    "-p",
    "no:cacheprovider",
    "--rootdir",
)


def test_all_tests_of_an_xdist_group_run_on_one_worker(tmp_path):
    for name in ("test_first.py", "test_second.py"):
        (tmp_path / name).write_text(GROUPED_TESTS)
    outer_environment = {
        name: value for name, value in os.environ.items() if not name.startswith("PYTEST_")
    }
    run = subprocess.run(
        [sys.executable, *PYTEST_ARGUMENTS, str(tmp_path), str(tmp_path)],
        cwd=tmp_path,
        env=outer_environment,
        capture_output=True,
        text=True,
    )
    assert run.returncode == 0, run.stdout + run.stderr
    workers = [path.read_text() for path in tmp_path.glob("*.ran")]
    assert len(workers) == 8 and len(set(workers)) == 1, workers
