"""Tests the sequential specifications of zones, stores and lots."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from proving.histories.checker import check_operations
from proving.histories.models import LotModel, StoresModel, ZoneModel
from proving.histories.operations import (
    AcceptLot,
    Conflicting,
    Done,
    EndLot,
    ItemRan,
    MarkZone,
    Missing,
    NotTaken,
    ReadResults,
    ReadStores,
    ReadZone,
    RestoreStore,
    ResultsSeen,
    RetireStore,
    StoresSeen,
    Unknown,
    ZoneSeen,
)
from tests.history_rows import (
    HYPOTHESIS_SETTINGS,
    STORE_ZONES,
    is_linearizable,
    operation,
    overlapping,
)


def test_an_acknowledged_order_takes_effect_once():
    orders = (MarkZone(True), Done(), 0, 1), (MarkZone(False), Done(), 2, 3)
    drained_again = (ReadZone(), ZoneSeen(True), 20, 21)
    assert not is_linearizable(ZoneModel(), *orders, drained_again)
    assert is_linearizable(ZoneModel(), *orders, (MarkZone(True), Unknown(), 0), drained_again)


def test_two_retirements_that_leave_too_few_stores_do_not_both_succeed():
    model = StoresModel(STORE_ZONES, 3)
    first, second = RetireStore("store-1"), RetireStore("store-2")
    assert is_linearizable(model, (first, Done(), 0, 5), (second, Conflicting(), 0, 5))
    assert not is_linearizable(model, (first, Done(), 0, 5), (second, Done(), 0, 5))
    restored = (RestoreStore("store-1"), Done(), 6, 7)
    assert is_linearizable(model, (first, Done(), 0, 5), restored, (second, Done(), 8, 9))


def rows_of(*names):
    """Return the rows of finished results for items with these names."""
    return tuple((name, "finished", name) for name in names)


LOT = (AcceptLot("d", 3), Done(), 0, 1)


def read(begin, *names, start=0):
    """Return the row of a read that returns results for items with these names."""
    return (ReadResults(start), ResultsSeen(3, rows_of(*names)), begin, begin + 1)


def test_results_are_only_appended_and_later_reads_keep_earlier_results():
    model = LotModel()
    assert is_linearizable(model, LOT, read(2, "x"), read(4, "x", "y"), read(6, "y", start=1))
    assert not is_linearizable(model, LOT, read(2, "x", "y"), read(4, "x"))
    assert not is_linearizable(model, LOT, read(2, "x", "y"), read(4, "y", "x"))
    assert not is_linearizable(model, LOT, read(2, "x", "x"))
    assert not is_linearizable(model, LOT, read(2, "x", "y"), read(4, start=1))
    assert is_linearizable(model, LOT, read(2, start=2), read(4, "x", "y", "z"))
    assert not is_linearizable(model, LOT, read(2, "x", "y", "z", "u"))


def test_no_results_are_listed_after_the_end_of_a_lot():
    end = (EndLot(), Done(), 4, 5)
    assert is_linearizable(LotModel(), LOT, read(2, "x"), end, read(6, "x", "y"), read(8, "x", "y"))
    assert not is_linearizable(LotModel(), LOT, end, read(6, "x"), read(8, "x", "y"))
    assert not is_linearizable(LotModel(), LOT, end, read(6, start=1), read(8, "x", "y"))


def test_a_lot_is_accepted_once_and_a_refused_one_never_runs():
    other = AcceptLot("e", 3)
    assert is_linearizable(LotModel(), LOT, (LOT[0], Done(), 2, 3), (other, Conflicting(), 2, 3))
    assert not is_linearizable(LotModel(), LOT, (other, Done(), 2, 3))
    ran, refused = (ItemRan(), Done(), 4, 4), (LOT[0], NotTaken(), 0, 1)
    assert is_linearizable(LotModel(), (LOT[0], Unknown(), 0), ran)
    assert not is_linearizable(LotModel(), refused, ran)
    assert not is_linearizable(LotModel(), LOT, (ReadResults(0), Missing(), 2, 3))


def sequential_zone(rng, count):
    """Return the rows (order, answer) of a random sequential history of one zone."""
    is_emptied, rows = False, []
    for _ in range(count):
        if rng.random() < 0.5:
            rows.append((ReadZone(), ZoneSeen(is_emptied)))
        else:
            is_emptied = rng.random() < 0.5
            rows.append((MarkZone(is_emptied), Done()))
    return rows


def sequential_stores(rng, count):
    """Return the rows (order, answer) of a random sequential history of the stores."""
    retired, rows = set(), []
    for _ in range(count):
        store = rng.choice(STORE_ZONES)[0]
        kind = rng.choice(["retire", "restore", "read"])
        if kind == "read":
            rows.append((ReadStores(), StoresSeen(tuple(sorted(retired)))))
        elif kind == "restore":
            retired.discard(store)
            rows.append((RestoreStore(store), Done()))
        elif retired <= {store}:
            retired.add(store)
            rows.append((RetireStore(store), Done()))
        else:
            rows.append((RetireStore(store), Conflicting()))
    return rows


def sequential_lot(rng, count):
    """Return the rows (order, answer) of a random sequential history of one lot."""
    total, listed, is_ended = rng.randrange(1, 9), [], False
    rows = [(AcceptLot("d", total), Done())]
    for _ in range(count):
        kind = rng.choice(["read", "read", "accept", "end"] if len(rows) > 6 else ["read"])
        if not is_ended and len(listed) < total and rng.random() < 0.5:
            listed.append((f"i{len(listed)}", "finished", "t"))
        start = rng.randrange(total + 1)
        answer = ResultsSeen(total, tuple(listed[start:]))
        is_ended = is_ended or kind == "end"
        rows.append(
            {
                "read": (ReadResults(start), answer),
                "accept": (AcceptLot("d", total), Done()),
                "end": (EndLot(), Done()),
            }[kind]
        )
    return rows


MODELS = {
    "zone": (ZoneModel(), sequential_zone),
    "stores": (StoresModel(STORE_ZONES, 3), sequential_stores),
    "lot": (LotModel(), sequential_lot),
}


@settings(HYPOTHESIS_SETTINGS, max_examples=300)
@given(
    st.sampled_from(sorted(MODELS)), st.integers(0, 1 << 30), st.integers(1, 40), st.floats(0, 5)
)
def test_sequential_histories_of_each_object_are_accepted(name, seed, count, width):
    """A repeated order about a zone has an effect again after one that asks for the opposite.

    The search must not place it early just because it has no effect in the present state.
    """
    model, make = MODELS[name]
    rng = random.Random(seed)
    operations = [
        operation(o.order, Unknown(), o.begin) if rng.random() < 0.15 else o
        for o in overlapping(make(rng, count), rng, width)
    ]
    assert check_operations(model, operations).is_linearizable


def test_an_order_without_effect_at_its_begin_may_take_effect_after_an_opposite_order():
    assert is_linearizable(
        ZoneModel(),
        (MarkZone(True), Done(), 0.0, 3.0),
        (MarkZone(False), Done(), 1.0, 5.0),
        (ReadZone(), ZoneSeen(False), 4.0, 5.0),
    )


@HYPOTHESIS_SETTINGS
@given(st.integers(0, 1 << 30), st.integers(4, 30))
def test_without_overlap_a_read_that_contradicts_the_last_order_about_a_zone_is_rejected(
    seed, count
):
    rng = random.Random(seed)
    rows = [*sequential_zone(rng, count), (ReadZone(), ZoneSeen(False))]
    rows[-1] = (ReadZone(), ZoneSeen(is_drained_at_end(rows) is False))
    assert check_operations(ZoneModel(), overlapping(rows, rng, 0)).is_linearizable is False


def is_drained_at_end(rows):
    """Return whether the last order about the zone drains it; False if there is no order."""
    return next((o.is_emptied for o, _ in reversed(rows) if isinstance(o, MarkZone)), False)
