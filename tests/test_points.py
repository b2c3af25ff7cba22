import pytest

from proving.points.catalog import POINTS
from proving.points.scenario_fleet import run_without_guards

GUARDED = [(text, scenario, guards) for text, scenario, guards in POINTS if guards]


@pytest.mark.parametrize("text, scenario, guards", POINTS, ids=[p[1].__name__ for p in POINTS])
def test_the_scenario_finds_no_violation(text, scenario, guards):
    violations, figures = scenario(1)
    assert violations == [], (text, figures)


@pytest.mark.parametrize("text, scenario, guards", GUARDED, ids=[p[1].__name__ for p in GUARDED])
def test_the_scenario_finds_a_violation_without_its_guards(text, scenario, guards):
    violations, figures = run_without_guards(guards, lambda: scenario(1))
    assert violations, (text, figures)
