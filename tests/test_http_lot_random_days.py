import pytest

from tests.http_lot_random_days import RandomFaultRun


@pytest.mark.parametrize("seed", [7, 23, 41])
def test_lots_keep_every_invariant_under_random_faults(seed):
    scenario = RandomFaultRun(seed, seconds=10, faults=4, lots=6)
    assert scenario.run_all() == [], (
        f"replay: RandomFaultRun({seed}, seconds=10, faults=4, lots=6).run_all()"
    )


@pytest.mark.parametrize("seed", [11, 29, 43])
def test_random_faults_neither_exceed_the_quota_nor_leak_reservations(seed):
    scenario = RandomFaultRun(seed, seconds=10, faults=5, lots=14, most_tokens=300)
    assert scenario.run_all() == [], (
        f"replay: RandomFaultRun({seed}, seconds=10, faults=5, lots=14, most_tokens=300).run_all()"
    )
    assert {429, 202} <= {
        status for statuses in scenario.submit_statuses.values() for status in statuses
    }
