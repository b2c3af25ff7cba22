"""Pieces of a state, how they are put together, and nodes of the version before that know none."""

from itertools import pairwise
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quillring.kernel.errors import Conflict, TimedOut
from quillring.quorum.leader.catch_up import FollowerCatchUp
from quillring.quorum.leader.quorum_call import QuorumCaller
from quillring.quorum.leader.state_machine import StateMachine
from quillring.quorum.snapshot_chunks import (
    CHUNK_BYTES,
    SNAPSHOT_START,
    BadChunk,
    ChunkOffset,
    StateBuilder,
    cut_chunk,
)
from quillring.quorum.values import GroupMember
from tests.fleet_stage import SelfFounded
from tests.test_membership_repair import is_whole, members, owners, zone_order

NEWS = SimpleNamespace(propagation=2.0, read_timeout=1.0)
ROSTER = SimpleNamespace(members={})
PEERS = {"nifty": SimpleNamespace(reaches=lambda name: False, roster=ROSTER)}
ME = SimpleNamespace(zone="north")
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
    builder, place, sizes = StateBuilder(), SNAPSHOT_START, []
    while place is not None:
        data, following = cut_chunk(state, place, limit)
        sizes.append(len(data))
        builder.add(data, following)
        place = following
    assert builder.whole() == state and max(sizes) <= limit
    assert list(builder.whole()) == list(state)


def test_a_state_whose_last_piece_is_missing_is_not_whole():
    state = {"raw": {"a": b"x" * 100}}
    builder, (data, following) = StateBuilder(), cut_chunk(state, SNAPSHOT_START, 50)
    builder.add(data, following)
    with pytest.raises(BadChunk):
        builder.whole()


class ForgetfulStore:
    """A store's side of an installation; it loses the newest piece once, after so many."""

    def __init__(self, loses_after):
        self.loses_after = loses_after
        self.former, self.builder, self.places = [], StateBuilder(), []

    def call(self, target, service, body, seconds):
        place = ChunkOffset(*body["place"])
        self.places.append(place)
        if place not in (self.builder.offset, SNAPSHOT_START):
            raise Conflict(place=list(self.builder.offset))
        self.former.append(self.builder.to_partial())
        self.builder.add(body["data"], body["following"])
        if len(self.former) == self.loses_after:
            self.builder = StateBuilder.from_partial(self.former[-1])
        return 0
        yield


@pytest.mark.parametrize("loses_after", [1, 2, 5, 7])
def test_an_installation_goes_on_where_the_store_says_that_it_stopped(loses_after):
    state = {"raw": {n: b"%d" % n * (CHUNK_BYTES // 2) for n in range(10, 20)}}
    whole, store = ForgetfulStore(None), ForgetfulStore(loses_after)
    for each in (whole, store):
        node = SimpleNamespace(me=ME, call=each.call, find=PEERS.get, bounds=NEWS)
        node.count = lambda *words: None
        catch_up = FollowerCatchUp(
            QuorumCaller(node, "part-0", []), StateMachine(9, state), lambda: True
        )
        finish(catch_up.send_missing(GroupMember("store-1", "a", "north"), 0))
        assert each.builder.whole() == state
    lost = whole.places[loses_after - 1]
    assert len(whole.places) > 7 and store.places.count(lost) == 2
    assert len(store.places) == len(whole.places) + 2
    assert store.places.count(SNAPSHOT_START) == (2 if lost == SNAPSHOT_START else 1)


def finish(coroutine):
    """Run a coroutine to its end."""
    for _ in coroutine:
        pass


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
    assert owner.is_leader and 3 <= len(times) <= 7
    assert pauses[-1] > 2 * pauses[0]
