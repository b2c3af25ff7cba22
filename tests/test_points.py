"""Each scenario of the catalog finds no violation, and finds one without its guards."""

import pytest

from proving.points.catalog import POINTS
from proving.points.scenario_fleet import run_without_guards

GUARDED = [(promise, scenario, guards) for promise, scenario, guards in POINTS if guards]


@pytest.mark.parametrize("promise, scenario, guards", POINTS, ids=[p[1].__name__ for p in POINTS])
def test_the_scenario_finds_no_violation(promise, scenario, guards):
    violations, figures = scenario(1)
    assert violations == [], (promise, figures)


@pytest.mark.parametrize("promise, scenario, guards", GUARDED, ids=[p[1].__name__ for p in GUARDED])
def test_the_scenario_finds_a_violation_without_its_guards(promise, scenario, guards):
    violations, figures = run_without_guards(guards, lambda: scenario(1))
    assert violations, (promise, figures)
