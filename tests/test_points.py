import pytest

from proving.points.catalog import POINTS
from proving.points.scenario_fleet import without

GUARDED = [(text, scenario, guards) for text, scenario, guards in POINTS if guards]


@pytest.mark.parametrize("text, scenario, guards", POINTS, ids=[p[1].__name__ for p in POINTS])
def test_the_point_holds(text, scenario, guards):
    violations, figures = scenario(1)
    assert violations == [], (text, figures)


@pytest.mark.parametrize("text, scenario, guards", GUARDED, ids=[p[1].__name__ for p in GUARDED])
def test_the_scenario_fails_without_its_guard(text, scenario, guards):
    violations, figures = without(guards, lambda: scenario(1))
    assert violations, (text, figures)
