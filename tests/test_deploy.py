import math
import pathlib
import tomllib

import pytest

from quillring.quorum.parts import is_enough

DEPLOY = pathlib.Path(__file__).parent.parent / "deploy/system.toml"
MOST_STORES = 10


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
    domains = machines(counts)
    assert len(domains) <= MOST_STORES
    for place in range(len(domains)):
        assert is_enough(domains[:place] + domains[place + 1 :], losses * 2 + 1)


def test_cores_run_beside_the_stores_so_that_they_cost_no_machine():
    core, store = roles()["core"], roles()["store"]
    assert (core["on"], core["share"]) == (store["on"], store["share"])


def test_a_machine_that_is_added_to_a_zone_of_one_takes_part():
    assert len(machines((2,))) == 2
