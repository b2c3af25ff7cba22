"""The sequential specifications of zones, stores and lots."""

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
    ReadZone,
    RestoreStore,
    ResultsSeen,
    RetireStore,
    Unknown,
    ZoneSeen,
)
from tests.history_rows import DOMAINS, is_linearizable


def test_an_acknowledged_order_takes_effect_once():
    orders = (MarkZone(True), Done(), 0, 1), (MarkZone(False), Done(), 2, 3)
    emptied_again = (ReadZone(), ZoneSeen(True), 20, 21)
    assert not is_linearizable(ZoneModel(), *orders, emptied_again)
    assert is_linearizable(ZoneModel(), *orders, (MarkZone(True), Unknown(), 0), emptied_again)


def test_two_retirements_that_leave_too_few_stores_are_not_both_taken():
    model = StoresModel(DOMAINS, 3)
    first, second = RetireStore("store-1"), RetireStore("store-2")
    assert is_linearizable(model, (first, Done(), 0, 5), (second, Conflicting(), 0, 5))
    assert not is_linearizable(model, (first, Done(), 0, 5), (second, Done(), 0, 5))
    restored = (RestoreStore("store-1"), Done(), 6, 7)
    assert is_linearizable(model, (first, Done(), 0, 5), restored, (second, Done(), 8, 9))


def rows_of(*names):
    """Return finished rows of results."""
    return tuple((name, "finished", name) for name in names)


LOT = (AcceptLot("d", 3), Done(), 0, 1)


def read(begin, *names, start=0):
    """Return a read of results."""
    return (ReadResults(start), ResultsSeen(3, rows_of(*names)), begin, begin + 1)


def test_results_are_only_appended_and_a_read_never_goes_back():
    model = LotModel()
    assert is_linearizable(model, LOT, read(2, "x"), read(4, "x", "y"), read(6, "y", start=1))
    assert not is_linearizable(model, LOT, read(2, "x", "y"), read(4, "x"))
    assert not is_linearizable(model, LOT, read(2, "x", "y"), read(4, "y", "x"))
    assert not is_linearizable(model, LOT, read(2, "x", "x"))
    assert not is_linearizable(model, LOT, read(2, "x", "y"), read(4, start=1))
    assert is_linearizable(model, LOT, read(2, start=2), read(4, "x", "y", "z"))
    assert not is_linearizable(model, LOT, read(2, "x", "y", "z", "u"))


def test_an_end_is_final():
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
