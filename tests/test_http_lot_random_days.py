import pytest

from tests.http_lot_random_days import HttpLotDay


@pytest.mark.parametrize("seed", [7, 23, 41])
def test_a_day_of_faults_keeps_every_rule_of_lots(seed):
    day = HttpLotDay(seed, seconds=10, faults=4, lots=6)
    assert day.play() == [], f"replay: HttpLotDay({seed}, seconds=10, faults=4, lots=6).play()"


@pytest.mark.parametrize("seed", [11, 29, 43])
def test_a_day_of_faults_keeps_the_quota_over_the_parts_and_leaks_nothing(seed):
    day = HttpLotDay(seed, seconds=10, faults=5, lots=14, most_tokens=300)
    assert day.play() == [], (
        f"replay: HttpLotDay({seed}, seconds=10, faults=5, lots=14, most_tokens=300).play()"
    )
    assert {429, 202} <= {status for statuses in day.tries.values() for status in statuses}
