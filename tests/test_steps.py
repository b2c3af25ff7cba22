"""Timer coalescing: sleeps end on a common grid of steps and periods keep their mean length."""

import random

import pytest

from quillring.kernel.bounds import Bounds
from quillring.kernel.timer_coalescing import MAX_EARLY_RATIO, TimerCoalescer
from quillring.verbs.process import STEPS_PER_GOSSIP_INTERVAL

TIME_BOUNDS = Bounds(propagation=2.5)
STEP_SECONDS = TIME_BOUNDS.gossip_interval / STEPS_PER_GOSSIP_INTERVAL
PERIODS = [
    TIME_BOUNDS.gossip_interval / 2,
    TIME_BOUNDS.gossip_interval,
    TIME_BOUNDS.gossip_interval * 2,
    TIME_BOUNDS.heartbeat_interval / 4,
    TIME_BOUNDS.heartbeat_interval / 2,
]


def wake_times(period, count, rng, max_delay_seconds):
    """Return the wake times of a coroutine that repeatedly sleeps for `period` seconds.

    Each wake is delayed by up to `max_delay_seconds`.
    """
    coalescer, now, wake_moments = TimerCoalescer(7.25, STEP_SECONDS), 100.0 + rng.random(), []
    for _ in range(count):
        now += coalescer.aligned_seconds(now, period) + rng.uniform(0, max_delay_seconds)
        wake_moments.append(now)
    return wake_moments


@pytest.mark.parametrize("period", [*PERIODS, TIME_BOUNDS.heartbeat_interval])
def test_a_period_of_complete_steps_keeps_its_mean_length_although_each_wake_is_late(period):
    wake_moments = wake_times(period, 1000, random.Random(3), STEP_SECONDS * MAX_EARLY_RATIO * 0.9)
    mean = (wake_moments[-1] - wake_moments[0]) / (len(wake_moments) - 1)
    assert mean == pytest.approx(period, rel=0.001)


def test_wakes_of_all_periods_are_aligned_to_the_same_grid():
    coalescer = TimerCoalescer(7.25, STEP_SECONDS)
    for period in PERIODS:
        for moment in wake_times(period, 50, random.Random(4), 0):
            step_number = (moment - coalescer.grid_origin) / STEP_SECONDS
            assert step_number == pytest.approx(round(step_number), abs=1e-6)


def test_a_sleep_ends_at_most_a_quarter_of_a_step_early_and_one_step_late():
    rng, coalescer = random.Random(5), TimerCoalescer(3.5, STEP_SECONDS)
    for _ in range(2000):
        now, seconds = rng.uniform(10, 1000), rng.uniform(STEP_SECONDS, 5)
        extra_seconds = coalescer.aligned_seconds(now, seconds) - seconds
        assert -STEP_SECONDS * MAX_EARLY_RATIO - 1e-9 <= extra_seconds <= STEP_SECONDS


@pytest.mark.parametrize("seconds", [0, 0.001, STEP_SECONDS * 0.99])
def test_a_sleep_shorter_than_a_step_is_unchanged(seconds):
    assert TimerCoalescer(0, STEP_SECONDS).aligned_seconds(12.3, seconds) == seconds


def test_a_step_is_a_small_share_of_the_heartbeat_period():
    assert 0.051 * TIME_BOUNDS.heartbeat_interval >= STEP_SECONDS
