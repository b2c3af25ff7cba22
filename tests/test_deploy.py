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
MOST_STORES = 10
BUILT_IN = {"[", "||"}
PACKAGE_OF = {"python3": "python3", "pip": "python3-pip"}


def roles():
    """Return the roles of the deploy file."""
    return tomllib.loads(DEPLOY.read_text())["roles"]


def machines(counts):
    """Return the domains of the store machines in use, one for each."""
    share = roles()["store"]["share"]
    return [zone for zone, count in enumerate(counts) for _ in range(math.ceil(share * count))]


@pytest.mark.parametrize(
    "counts, losses", [((1, 1, 1, 1), 1), ((4, 4, 3, 3), 2), ((3, 3, 3, 3, 2), 2), ((2, 2, 2), 2)]
)
def test_the_stores_in_use_bear_the_losses_also_with_one_retired(counts, losses):
    zones = machines(counts)
    assert len(zones) <= MOST_STORES
    for place in range(len(zones)):
        assert can_survive_zone_loss(zones[:place] + zones[place + 1 :], losses * 2 + 1)


def test_cores_run_beside_the_stores_so_that_they_cost_no_machine():
    core, store = roles()["core"], roles()["store"]
    assert (core["on"], core["share"]) == (store["on"], store["share"])


def test_a_machine_that_is_added_to_a_zone_of_one_takes_part():
    assert len(machines((2,))) == 2


def test_every_package_that_the_build_calls_is_listed_by_a_sound_name():
    deploy = tomllib.loads(DEPLOY.read_text())
    packages = deploy["packages"]
    assert packages == list(dict.fromkeys(packages))
    assert all(re.fullmatch("[a-z0-9][a-z0-9+.-]+", name) for name in packages)
    words = shlex.split(deploy["build"])
    test_end = words.index("]")
    assert words[0] in BUILT_IN and words[test_end + 1] in BUILT_IN
    program, dash_m, module = words[test_end + 2 : test_end + 5]
    assert dash_m == "-m"
    assert {PACKAGE_OF[program], PACKAGE_OF[module]} <= set(packages)
    programs = {role["run"].split()[0] for role in deploy["roles"].values()}
    assert {PACKAGE_OF[name] for name in programs} <= set(packages)


def test_each_listed_package_has_its_reason_on_the_page():
    page = (DEPLOY.parent.parent / "docs/platform.md").read_text()
    packages = tomllib.loads(DEPLOY.read_text())["packages"]
    assert [name for name in packages if f"| `{name}` |" not in page] == []


@pytest.mark.parametrize("role", sorted(roles()))
def test_each_role_starts_with_its_own_packages_and_nothing_of_the_machines(role):
    program, *arguments = shlex.split(roles()[role]["run"])
    assert program == "python3"
    variables = {"PYTHONPATH": sysconfig.get_path("purelib"), "QUILLRING_SETTINGS": "/no/such.yaml"}
    shown = subprocess.run(
        [sys.executable, *arguments], cwd=DEPLOY.parent.parent, env=variables, capture_output=True
    )
    assert shown.returncode == 2
    assert shown.stderr.decode().startswith(f"{role}: settings file /no/such.yaml: ")
