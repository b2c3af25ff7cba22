"""Messages may be doubled, late and out of order: each is delivered once at most."""

from hypothesis import given, settings
from hypothesis import strategies as st

from quillring.nifty.seen import WINDOW, SeenWindow


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.lists(st.one_of(st.integers(1, 40), st.integers(1, WINDOW * 3)), max_size=200))
def test_no_sequence_is_delivered_twice_however_late_its_copy_comes(sequences):
    window = SeenWindow(1)
    delivered = [sequence for sequence in sequences if window.first_time(sequence)]
    assert len(delivered) == len(set(delivered))


def test_a_copy_that_outlasts_the_window_is_dropped_as_lost_and_never_delivered_again():
    window = SeenWindow(1)
    assert window.first_time(5)
    for sequence in range(6, WINDOW * 4, 2):
        assert window.first_time(sequence)
    assert not window.first_time(5)
    assert not window.first_time(7)
    assert not any(window.first_time(s) for s in range(6, WINDOW * 4, 2))
    assert len(window.recent) <= WINDOW * 2


def test_what_is_late_within_the_window_is_still_delivered_once():
    window = SeenWindow(1)
    assert window.first_time(WINDOW)
    assert window.first_time(1) and not window.first_time(1)
