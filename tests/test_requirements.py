"""The requirements of the deployment."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_the_deployed_requirements_equal_the_project_dependencies():
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    deployed = (ROOT / "requirements.txt").read_text().split()
    assert sorted(project["dependencies"]) == sorted(deployed)
