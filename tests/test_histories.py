"""Tests the linearizability checker: accepted and rejected histories, and search effort."""

import random

from hypothesis import given
from hypothesis import strategies as st

from proving.histories.checker import check_operations
from proving.histories.models import ConfigurationModel, ZoneModel
from proving.histories.operations import (
    Conflicting,
    Done,
    FetchConfiguration,
    Invalid,
    MarkZone,
    NotTaken,
    Unknown,
)
from tests.history_rows import (
    HYPOTHESIS_SETTINGS,
    adopt,
    is_linearizable,
    operation,
    overlapping,
    seen,
)


def sequential_register(rng, count):
    """Return the rows (order, answer) of a random sequential history of the configuration."""
    number, value, adopted, rows = 0, 0, {}, []
    for turn in range(count):
        kind = rng.choice(["read", "adopt", "adopt", "repeat", "lose", "invalid"])
        if kind == "repeat" and adopted:
            rows.append((rng.choice(list(adopted.values())), Done()))
        elif kind == "adopt":
            number, value = number + 1, turn + 1
            adopted[number] = adopt(number, number - 1, value)
            rows.append((adopted[number], Done()))
        elif kind == "lose" and number:
            rows.append((adopt(number + 1, number - 1, -turn - 1), Conflicting(number)))
        elif kind == "invalid":
            rows.append((adopt(number + 1, number, -turn - 1, is_valid=False), Invalid()))
        else:
            rows.append((FetchConfiguration(), seen(number, value)))
    return rows


@HYPOTHESIS_SETTINGS
@given(st.integers(0, 1 << 30), st.integers(1, 60), st.floats(0, 6))
def test_concurrent_operations_with_a_valid_sequential_order_are_accepted(seed, count, width):
    rng = random.Random(seed)
    operations = overlapping(sequential_register(rng, count), rng, width)
    assert check_operations(ConfigurationModel(), operations).is_linearizable


@HYPOTHESIS_SETTINGS
@given(st.integers(0, 1 << 30), st.integers(5, 60), st.floats(0, 6))
def test_a_read_of_a_configuration_that_never_existed_is_rejected(seed, count, width):
    rng = random.Random(seed)
    rows = [*sequential_register(rng, count), (FetchConfiguration(), seen(0, 0))]
    reads = [n for n, (order, _) in enumerate(rows) if isinstance(order, FetchConfiguration)]
    position = rng.choice(reads)
    rows[position] = (FetchConfiguration(), seen(7, -7))
    verdict = check_operations(ConfigurationModel(), overlapping(rows, rng, width))
    assert verdict.is_linearizable is False and verdict.blocked


@HYPOTHESIS_SETTINGS
@given(st.integers(0, 1 << 30), st.integers(5, 40))
def test_without_overlap_a_read_of_an_older_configuration_is_rejected(seed, count):
    rng = random.Random(seed)
    rows = [(adopt(1, 0, 1), Done()), (adopt(2, 1, 2), Done())]
    rows.extend((FetchConfiguration(), seen(2, 2)) for _ in range(count))
    rows.insert(rng.randrange(2, len(rows) + 1), (FetchConfiguration(), seen(1, 1)))
    assert (
        check_operations(ConfigurationModel(), overlapping(rows, rng, 0)).is_linearizable is False
    )


@HYPOTHESIS_SETTINGS
@given(st.integers(0, 1 << 30), st.integers(1, 40), st.floats(0, 5))
def test_a_linearizable_history_stays_linearizable_when_answers_are_lost(seed, count, width):
    rng = random.Random(seed)
    operations = [
        operation(o.order, Unknown(), o.begin) if rng.random() < 0.3 else o
        for o in overlapping(sequential_register(rng, count), rng, width)
    ]
    assert check_operations(ConfigurationModel(), operations).is_linearizable


def test_two_configurations_under_one_number_are_never_both_adopted():
    first, second = adopt(1, 0, 1), adopt(1, 0, 2)
    assert is_linearizable(
        ConfigurationModel(), (first, Done(), 0, 5), (second, Conflicting(1), 0, 5)
    )
    assert not is_linearizable(ConfigurationModel(), (first, Done(), 0, 5), (second, Done(), 0, 5))


def test_a_repeated_adoption_is_acknowledged_and_never_refused():
    order, newer = adopt(1, 0, 1), adopt(2, 1, 2)
    adoptions = (order, Done(), 0, 1), (newer, Done(), 2, 3)
    assert is_linearizable(ConfigurationModel(), *adoptions, (order, Done(), 4, 5))
    assert not is_linearizable(ConfigurationModel(), *adoptions, (order, Conflicting(2), 4, 5))
    assert not is_linearizable(ConfigurationModel(), *adoptions, (order, Invalid(), 4, 5))


def test_a_refused_order_never_takes_effect():
    order = adopt(1, 0, 1)
    read = (FetchConfiguration(), seen(1, 1), 2, 3)
    assert is_linearizable(ConfigurationModel(), (order, Unknown(), 0), read)
    for answer in (NotTaken(), Conflicting(0), Invalid()):
        assert not is_linearizable(ConfigurationModel(), (order, answer, 0, 1), read)


def test_an_order_with_unknown_outcome_takes_effect_late_or_never_but_not_before_its_begin():
    order, read_after = adopt(1, 0, 1), (FetchConfiguration(), seen(1, 1), 90, 91)
    read_before = (FetchConfiguration(), seen(0, 0), 80, 81)
    assert is_linearizable(ConfigurationModel(), (order, Unknown(), 0), read_before)
    assert is_linearizable(ConfigurationModel(), (order, Unknown(), 0), read_before, read_after)
    assert not is_linearizable(ConfigurationModel(), (order, Unknown(), 92), read_after)
    read_reverted = (FetchConfiguration(), seen(0, 0), 95, 96)
    assert not is_linearizable(
        ConfigurationModel(), (order, Unknown(), 0), read_after, read_reverted
    )


def test_histories_of_hundreds_of_operations_with_lost_answers_need_few_configurations():
    for seed in range(10):
        rng = random.Random(seed)
        operations = [
            operation(o.order, Unknown(), o.begin) if rng.random() < 0.15 else o
            for o in overlapping(sequential_register(rng, 400), rng, 4)
        ]
        verdict = check_operations(ConfigurationModel(), operations, 50_000)
        assert verdict.is_linearizable


def test_many_orders_with_unknown_outcome_about_one_zone_do_not_exceed_the_search_limit():
    rng, rows = random.Random(3), []
    for turn in range(300):
        is_lost = rng.random() < 0.4
        order = MarkZone(rng.random() < 0.5)
        rows.append((order, Unknown(), turn) if is_lost else (order, Done(), turn, turn + 3))
    verdict = check_operations(ZoneModel(), [operation(*row) for row in rows], 50_000)
    assert verdict.is_linearizable


def test_a_search_that_exceeds_its_limit_returns_an_undecided_verdict():
    rows = [operation(adopt(1, 0, n), Done(), 0, 100) for n in range(12)]
    assert check_operations(ConfigurationModel(), rows, 3).is_linearizable is None
