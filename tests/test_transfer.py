"""Pieces of a state, how they are put together, and nodes of the version before that know none."""

from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quillring.kernel.errors import TimedOut
from quillring.quorum.transfer import START, BadPiece, StateBuilder, cut_piece
from tests.fleet_stage import SelfFounded
from tests.test_repair import is_whole, members, owners, zone_order

VALUES = st.one_of(st.integers(), st.binary(max_size=300), st.text(max_size=20), st.none())
KEYS = st.one_of(st.text(max_size=8), st.integers())
STATES = st.dictionaries(
    st.text(max_size=8),
    st.one_of(VALUES, st.lists(VALUES, max_size=4), st.dictionaries(KEYS, VALUES, max_size=6)),
    max_size=6,
)


@settings(derandomize=True, max_examples=200, deadline=None, database=None)
@given(state=STATES, limit=st.integers(min_value=1, max_value=400))
def test_pieces_of_any_size_make_up_the_state_in_its_order(state, limit):
    builder, place, sizes = StateBuilder(), START, []
    while place is not None:
        data, following = cut_piece(state, place, limit)
        sizes.append(len(data))
        builder.add(data, following)
        place = following
    assert builder.whole() == state and max(sizes) <= limit
    assert list(builder.whole()) == list(state)


def test_a_state_whose_last_piece_is_missing_is_not_whole():
    builder, (data, following) = StateBuilder(), cut_piece({"raw": {"a": b"x" * 100}}, START, 50)
    builder.add(data, following)
    with pytest.raises(BadPiece):
        builder.whole()


def forget_pieces(node):
    """Make a node answer as one of the version before."""
    for name in (
        "quorum.piece",
        "quorum.entries",
        "quorum.install_piece",
        "quorum.accepted",
        "part.ready",
        "part.piece",
        "part.takeovers",
    ):
        node.handlers.pop(name, None)


@pytest.mark.parametrize("seed", [1, 2])
def test_stores_of_the_version_before_are_asked_for_and_sent_the_whole(seed):
    stage = SelfFounded(seed)
    stage.submit("core-1", zone_order("halls"))
    for node in stage.sim.up_nodes("store"):
        forget_pieces(node)
    former = stage.owner("config")
    stage.sim.kill(former)
    assert stage.wait_for(lambda: stage.owner("config") not in (None, former), 6) is not None
    assert "halls" in owners(stage)["config"].state["layout"]["domains"]
    emptied = members(stage)[0]
    stage.sim.lose_disk(emptied)
    forget_pieces(stage.start(emptied))
    assert stage.wait_for(lambda: is_whole(stage), 8) is not None


def test_a_member_that_does_not_answer_is_mended_after_growing_pauses_only():
    stage = SelfFounded(3)
    owner, store = owners(stage)["config"], members(stage)[0]
    times = []

    def unanswered(body, origin):
        times.append(stage.env.now)
        raise TimedOut(target=store)

    for name in ("quorum.catch_up", "quorum.install_piece", "quorum.install"):
        stage.sim.nodes[store].handlers[name] = unanswered
    stage.sim.nodes[store].handlers["quorum.accept"] = lambda body, origin: 0
    stage.submit("core-1", zone_order("halls"))
    stage.run(8)
    pauses = [later - earlier for earlier, later in pairwise(times)]
    assert owner.is_owner and 3 <= len(times) <= 7
    assert pauses[-1] > 2 * pauses[0]
