"""Estimates of the load balancer: prompt costs, replica queues and cached prefixes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quillring.forward.prefix_directory import MAX_PARTS_PER_REPLICA, PrefixDirectory
from quillring.forward.request import PromptPart
from quillring.forward.work_queue import (
    MAX_SECONDS_PER_PROMPT,
    MAX_SLOWDOWN,
    MIN_SLOWDOWN,
    PromptCost,
    ServiceSpeed,
    WorkQueue,
)

TOKENS = st.integers(1, 200_000)
SECONDS = st.floats(1e-6, 1e6)


def test_unfinished_work_drains_with_time_and_is_corrected_at_a_first_token():
    work = WorkQueue()
    work.add(0.2, now=10.0)
    total_added_at_first_request = work.total_added_seconds
    work.add(0.3, now=10.0)
    assert work.wait_seconds(10.0) == pytest.approx(0.5)
    assert work.wait_seconds(10.4) == pytest.approx(0.1)
    work.correct_at_first_token(total_added_at_first_request, now=10.5)
    assert work.wait_seconds(10.5) == pytest.approx(0.3)
    work.cancel(0.3, now=10.5)
    assert work.wait_seconds(10.5) == 0
    work.cancel(5.0, now=10.6)
    work.add(0.1, now=10.6)
    assert work.wait_seconds(10.6) == pytest.approx(0.1)


@pytest.mark.parametrize(("linear", "quadratic"), [(6e-6, 9e-11), (2e-5, 0.0), (1e-6, 1e-9)])
def test_prompt_cost_fit_recovers_linear_and_quadratic_coefficients(linear, quadratic):
    cost = PromptCost()
    for number in range(300):
        tokens = 2_000 + 37_000 * (number * 7 % 11) // 11
        cost.record(tokens, linear * tokens + quadratic * tokens**2)
    for tokens in (3_000, 12_000, 40_000):
        assert cost.seconds(tokens) == pytest.approx(
            linear * tokens + quadratic * tokens**2, rel=0.05
        )


@given(st.lists(st.tuples(TOKENS, SECONDS), max_size=60), TOKENS, TOKENS)
def test_costs_are_finite_positive_and_monotonic_for_any_samples(samples, tokens, more):
    speed = ServiceSpeed()
    for token_count, seconds in samples:
        speed.prompt_cost.record(token_count, seconds)
        speed.record_request(seconds)
    assert 0 < speed.prompt_cost.seconds(tokens) <= MAX_SECONDS_PER_PROMPT
    assert speed.prompt_cost.seconds(tokens) <= speed.prompt_cost.seconds(tokens + more)
    assert 0 <= speed.request_seconds <= MAX_SECONDS_PER_PROMPT


@given(st.lists(st.floats(1e-9, 1e12), min_size=1))
def test_slowdown_of_a_replica_stays_within_its_bounds(ratios):
    work = WorkQueue()
    for ratio in ratios:
        work.record_slowdown(ratio)
    assert MIN_SLOWDOWN <= work.slowdown <= MAX_SLOWDOWN


def test_prompt_part_counts_as_cached_only_if_all_parts_before_it_are_cached():
    directory = PrefixDirectory()
    first, second = PromptPart("a", 3000), PromptPart("b", 5000)
    directory.record("r0", (first,), 10_000)
    directory.record("r1", (second,), 10_000)
    assert directory.cached_tokens("r0", (first, second)) == 3000
    assert directory.cached_tokens("r1", (first, second)) == 0
    assert directory.cached_tokens("r2", (first,)) == 0
    directory.retain_only({"r1"})
    assert directory.cached_tokens("r0", (first,)) == 0
    assert directory.cached_tokens("r1", (second,)) == 5000


def test_least_recently_used_prefix_is_evicted_first():
    directory = PrefixDirectory()
    parts = [PromptPart(f"p{number}", 4000) for number in range(3)]
    directory.record("r", parts[:2], 10_000)
    directory.record("r", parts[:1], 10_000)
    directory.record("r", parts[2:], 10_000)
    assert [directory.cached_tokens("r", (part,)) for part in parts] == [4000, 0, 4000]


@given(st.lists(st.tuples(st.integers(0, 40), st.integers(0, 9000)), max_size=200))
def test_directory_token_count_is_consistent_and_within_capacity(uses):
    directory = PrefixDirectory()
    for number, token_count in uses:
        directory.record("r", (PromptPart(str(number), token_count),), 20_000)
    if uses:
        cache = directory.cache_by_replica["r"]
        assert cache.total_tokens == sum(cache.tokens_by_part.values()) <= 20_000


def test_number_of_prefixes_per_replica_is_bounded():
    directory = PrefixDirectory()
    for number in range(MAX_PARTS_PER_REPLICA * 2):
        directory.record("r", (PromptPart(str(number), 0),), None)
    assert len(directory.cache_by_replica["r"].tokens_by_part) == MAX_PARTS_PER_REPLICA
