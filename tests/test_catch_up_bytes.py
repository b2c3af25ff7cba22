"""The bytes sent to a store that catches up are bounded by the state, not by missed changes."""

import pytest

from proving.sim.many_changes import ManyChanges, frozen_store, restarted_store
from quillring.quorum.leader.catch_up import is_state_smaller
from quillring.quorum.snapshot_chunks import CHUNK_BYTES


@pytest.mark.parametrize("case", [frozen_store, restarted_store], ids=lambda case: case.__name__)
def test_store_that_missed_hundreds_of_changes_receives_the_state_instead_of_each_change(case):
    fleet = ManyChanges(1, 2, 20, stores=3)
    fleet.change(1)
    accepted_count, (seconds, sent_bytes) = case(fleet, 240)
    assert accepted_count == 240 and seconds is not None and seconds < 4
    assert sent_bytes < CHUNK_BYTES // 4


def test_state_is_sent_only_if_it_is_smaller_than_the_entries():
    state = {"group": [], "lots": {f"lot-{n}": b"x" * 1000 for n in range(300)}}
    assert not is_state_smaller(state, 200_000)
    assert is_state_smaller(state, 400_000)
    assert not is_state_smaller({"group": []}, 1000)
