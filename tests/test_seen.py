"""Messages may be doubled, late and out of order: each is delivered once at most."""

from hypothesis import given, settings
from hypothesis import strategies as st

from quillring.nifty.duplicate_filter import WINDOW_SEQUENCES, DuplicateFilter


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.lists(st.one_of(st.integers(1, 40), st.integers(1, WINDOW_SEQUENCES * 3)), max_size=200))
def test_no_sequence_is_delivered_twice_however_late_its_copy_comes(sequences):
    window = DuplicateFilter(1)
    delivered = [sequence for sequence in sequences if window.is_first_copy(sequence)]
    assert len(delivered) == len(set(delivered))


def test_a_copy_that_outlasts_the_window_is_dropped_as_lost_and_never_delivered_again():
    window = DuplicateFilter(1)
    assert window.is_first_copy(5)
    for sequence in range(6, WINDOW_SEQUENCES * 4, 2):
        assert window.is_first_copy(sequence)
    assert not window.is_first_copy(5)
    assert not window.is_first_copy(7)
    assert not any(window.is_first_copy(s) for s in range(6, WINDOW_SEQUENCES * 4, 2))
    assert len(window.received) <= WINDOW_SEQUENCES * 2


def test_what_is_late_within_the_window_is_still_delivered_once():
    window = DuplicateFilter(1)
    assert window.is_first_copy(WINDOW_SEQUENCES)
    assert window.is_first_copy(1) and not window.is_first_copy(1)
