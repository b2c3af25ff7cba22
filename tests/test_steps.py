"""Steps of sleep: periods stay what they are, short sleeps too, and nothing ends much too early."""

import random

import pytest

from quillring.kernel.bounds import Bounds
from quillring.kernel.timer_coalescing import MAX_EARLY_RATIO, TimerCoalescer
from quillring.verbs.process import STEPS_PER_GOSSIP_INTERVAL

BOUNDS = Bounds(propagation=2.5)
STEP = BOUNDS.gossip_interval / STEPS_PER_GOSSIP_INTERVAL
PERIODS = [
    BOUNDS.gossip_interval / 2,
    BOUNDS.gossip_interval,
    BOUNDS.gossip_interval * 2,
    BOUNDS.heartbeat_interval / 4,
    BOUNDS.heartbeat_interval / 2,
]


def wakes(period, count, chance, latest):
    """Return the moments at which a coroutine wakes that sleeps for a period again and again."""
    steps, now, moments = TimerCoalescer(7.25, STEP), 100.0 + chance.random(), []
    for _ in range(count):
        now += steps.aligned_seconds(now, period) + chance.uniform(0, latest)
        moments.append(now)
    return moments


@pytest.mark.parametrize("period", [*PERIODS, BOUNDS.heartbeat_interval])
def test_a_period_of_whole_steps_stays_that_period_though_each_wake_is_late(period):
    moments = wakes(period, 1000, random.Random(3), STEP * MAX_EARLY_RATIO * 0.9)
    mean = (moments[-1] - moments[0]) / (len(moments) - 1)
    assert mean == pytest.approx(period, rel=0.001)


def test_all_periods_wake_at_the_same_moments():
    steps = TimerCoalescer(7.25, STEP)
    for period in PERIODS:
        for moment in wakes(period, 50, random.Random(4), 0):
            place = (moment - steps.grid_origin) / STEP
            assert place == pytest.approx(round(place), abs=1e-6)


def test_no_sleep_ends_more_than_a_quarter_of_a_step_early_or_a_step_late():
    chance, steps = random.Random(5), TimerCoalescer(3.5, STEP)
    for _ in range(2000):
        now, seconds = chance.uniform(10, 1000), chance.uniform(STEP, 5)
        over = steps.aligned_seconds(now, seconds) - seconds
        assert -STEP * MAX_EARLY_RATIO - 1e-9 <= over <= STEP


@pytest.mark.parametrize("seconds", [0, 0.001, STEP * 0.99])
def test_a_sleep_shorter_than_a_step_stays_as_it_is(seconds):
    assert TimerCoalescer(0, STEP).aligned_seconds(12.3, seconds) == seconds


def test_a_step_is_a_small_share_of_the_heartbeat_period():
    assert 0.051 * BOUNDS.heartbeat_interval >= STEP
