"""The duplicate filter: duplicated, late and reordered messages are delivered at most once."""

from hypothesis import given, settings
from hypothesis import strategies as st

from quillring.nifty.duplicate_filter import WINDOW_SEQUENCES, DuplicateFilter


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.lists(st.one_of(st.integers(1, 40), st.integers(1, WINDOW_SEQUENCES * 3)), max_size=200))
def test_no_sequence_is_delivered_twice_however_late_the_duplicate(sequences):
    duplicate_filter = DuplicateFilter(1)
    delivered = [sequence for sequence in sequences if duplicate_filter.is_first_copy(sequence)]
    assert len(delivered) == len(set(delivered))


def test_sequences_below_the_window_are_dropped_and_the_filter_stays_bounded():
    duplicate_filter = DuplicateFilter(1)
    assert duplicate_filter.is_first_copy(5)
    for sequence in range(6, WINDOW_SEQUENCES * 4, 2):
        assert duplicate_filter.is_first_copy(sequence)
    assert not duplicate_filter.is_first_copy(5)
    assert not duplicate_filter.is_first_copy(7)
    assert not any(duplicate_filter.is_first_copy(s) for s in range(6, WINDOW_SEQUENCES * 4, 2))
    assert len(duplicate_filter.received) <= WINDOW_SEQUENCES * 2


def test_late_first_copy_within_the_window_is_delivered_once():
    duplicate_filter = DuplicateFilter(1)
    assert duplicate_filter.is_first_copy(WINDOW_SEQUENCES)
    assert duplicate_filter.is_first_copy(1) and not duplicate_filter.is_first_copy(1)
