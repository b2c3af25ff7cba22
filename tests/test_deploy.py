"""The deploy file: machines for stores and cores, packages of the build, start of each role."""

import math
import pathlib
import re
import shlex
import subprocess
import sys
import sysconfig
import tomllib

import pytest

from quillring.quorum.parts import can_survive_zone_loss

DEPLOY = pathlib.Path(__file__).parent.parent / "deploy/system.toml"
MAX_STORES = 10
SHELL_BUILTINS = {"[", "||"}
PACKAGE_BY_PROGRAM = {"python3": "python3", "pip": "python3-pip"}


def roles():
    """Return the roles in the deploy file."""
    return tomllib.loads(DEPLOY.read_text())["roles"]


def store_zones(counts):
    """Return the zone of each machine that runs a store, for the machine counts of the zones."""
    share = roles()["store"]["share"]
    return [zone for zone, count in enumerate(counts) for _ in range(math.ceil(share * count))]


@pytest.mark.parametrize(
    "counts, losses", [((1, 1, 1, 1), 1), ((4, 4, 3, 3), 2), ((3, 3, 3, 3, 2), 2), ((2, 2, 2), 2)]
)
def test_the_stores_survive_the_zone_losses_also_with_one_store_retired(counts, losses):
    zones = store_zones(counts)
    assert len(zones) <= MAX_STORES
    for retired_index in range(len(zones)):
        assert can_survive_zone_loss(
            zones[:retired_index] + zones[retired_index + 1 :], losses * 2 + 1
        )


def test_cores_share_the_machines_of_the_stores():
    """Cores must not need machines of their own."""
    core, store = roles()["core"], roles()["store"]
    assert (core["on"], core["share"]) == (store["on"], store["share"])


def test_a_machine_added_to_a_zone_with_one_machine_becomes_a_store():
    assert len(store_zones((2,))) == 2


def test_every_package_that_the_build_uses_is_listed_with_a_valid_name():
    deploy = tomllib.loads(DEPLOY.read_text())
    packages = deploy["packages"]
    assert packages == list(dict.fromkeys(packages))
    assert all(re.fullmatch("[a-z0-9][a-z0-9+.-]+", name) for name in packages)
    words = shlex.split(deploy["build"])
    test_end = words.index("]")
    assert words[0] in SHELL_BUILTINS and words[test_end + 1] in SHELL_BUILTINS
    program, dash_m, module = words[test_end + 2 : test_end + 5]
    assert dash_m == "-m"
    assert {PACKAGE_BY_PROGRAM[program], PACKAGE_BY_PROGRAM[module]} <= set(packages)
    programs = {role["run"].split()[0] for role in deploy["roles"].values()}
    assert {PACKAGE_BY_PROGRAM[name] for name in programs} <= set(packages)


def test_the_platform_page_explains_each_listed_package():
    page = (DEPLOY.parent.parent / "docs/platform.md").read_text()
    packages = tomllib.loads(DEPLOY.read_text())["packages"]
    assert [name for name in packages if f"| `{name}` |" not in page] == []


@pytest.mark.parametrize("role", sorted(roles()))
def test_each_role_starts_with_only_the_deployed_packages_and_settings(role):
    program, *arguments = shlex.split(roles()[role]["run"])
    assert program == "python3"
    variables = {"PYTHONPATH": sysconfig.get_path("purelib"), "QUILLRING_SETTINGS": "/no/such.yaml"}
    process = subprocess.run(
        [sys.executable, *arguments], cwd=DEPLOY.parent.parent, env=variables, capture_output=True
    )
    assert process.returncode == 2
    assert process.stderr.decode().startswith(f"{role}: settings file /no/such.yaml: ")
