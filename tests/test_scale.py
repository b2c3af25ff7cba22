"""Messages and route computations of a fleet stay bounded as it grows."""

import pytest

from proving.scale.fleet import HollowFleet
from proving.scale.runs import SCENARIOS, run_size

SMALL, LARGE = 10, 30
HEARTBEAT_PERIODS = 8
pytestmark = pytest.mark.xdist_group("scale")


@pytest.fixture(scope="module")
def runs():
    """Return the rows of measured work of a small and a large fleet, by fleet size."""
    return {size: run_size(size)["rows"] for size in (SMALL, LARGE)}


def test_an_idle_node_sends_a_short_heartbeat_per_member_and_period_and_computes_no_routes(runs):
    for size, rows in runs.items():
        work = rows["steady"]
        assert work["makings"] == 0
        assert work["beats_sent"] <= (size - 1) * HEARTBEAT_PERIODS
        assert work["beat_bytes"] <= work["beats_sent"] * 56
        assert work["frames"] <= HEARTBEAT_PERIODS * 5


def test_a_start_and_churn_compute_routes_a_bounded_number_of_times_at_any_size(runs):
    for rows in runs.values():
        assert rows["start"]["settled_s"] is not None
        assert rows["start"]["makings"] <= 4 * HEARTBEAT_PERIODS / 2
        for scenario in ("core_lost", "rack_lost", "bridge_cut", "healed"):
            assert 1 <= rows[scenario]["makings"] <= 4 * 3


def test_traffic_of_a_start_and_of_churn_grows_at_most_quadratically(runs):
    growth = (LARGE / SMALL) ** 2
    for scenario in ("start", *(s.__name__ for s in SCENARIOS)):
        small, large = runs[SMALL][scenario], runs[LARGE][scenario]
        for figure in ("beat_bytes", "frame_bytes", "beats_sent", "frames"):
            assert large[figure] <= small[figure] * growth


def test_a_new_layout_reaches_every_node(runs):
    assert [rows["layout_changed"]["stale"] for rows in runs.values()] == [0, 0]


def test_a_fleet_that_knows_its_members_connects_within_three_heartbeat_intervals():
    fleet = HollowFleet(LARGE, seed=3)
    fleet.start_all(is_warm=True)
    fleet.env.run(until=fleet.bounds.heartbeat_interval * 3)
    assert fleet.missing_links() == 0 and fleet.faults == []


def test_runs_with_the_same_seed_give_the_same_counts():
    rows = [run_size(8, seed=5, only=("core_lost",))["rows"] for _ in range(2)]
    for scenario in ("start", "core_lost"):
        first, second = ({**row[scenario], "cpu_ms": 0} for row in rows)
        assert first == second
