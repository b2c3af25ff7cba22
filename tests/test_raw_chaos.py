import pytest

from tests.raw_chaos import RawDay


@pytest.mark.parametrize("seed", [7, 23, 41])
def test_a_day_of_faults_keeps_every_rule_of_lots(seed):
    day = RawDay(seed, seconds=10, faults=4, lots=6)
    assert day.play() == [], f"replay: RawDay({seed}, seconds=10, faults=4, lots=6).play()"
