"""Transfers of a state in chunks, and in one message with stores of the previous version."""

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
from tests.fleet_stage import SelfFoundingFleet
from tests.test_membership_repair import all_parts_replicated, members, owners, zone_order_command

BOUNDS = SimpleNamespace(propagation=2.0, read_timeout=1.0)
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
@given(state=STATES, max_bytes=st.integers(min_value=1, max_value=400))
def test_chunks_of_any_size_rebuild_the_state_in_its_order(state, max_bytes):
    builder, offset, sizes = StateBuilder(), SNAPSHOT_START, []
    while offset is not None:
        data, next_offset = cut_chunk(state, offset, max_bytes)
        sizes.append(len(data))
        builder.add(data, next_offset)
        offset = next_offset
    assert builder.build() == state and max(sizes) <= max_bytes
    assert list(builder.build()) == list(state)


def test_state_without_its_last_chunk_is_rejected():
    state = {"raw": {"a": b"x" * 100}}
    builder, (data, next_offset) = StateBuilder(), cut_chunk(state, SNAPSHOT_START, 50)
    builder.add(data, next_offset)
    with pytest.raises(BadChunk):
        builder.build()


class ForgetfulStore:
    """A store that receives a snapshot; it loses chunk number `loses_after` once, on arrival."""

    def __init__(self, loses_after):
        self.loses_after = loses_after
        self.partials, self.builder, self.offsets = [], StateBuilder(), []

    def call(self, target, service, body, seconds):
        offset = ChunkOffset(*body["place"])
        self.offsets.append(offset)
        if offset not in (self.builder.offset, SNAPSHOT_START):
            raise Conflict(place=list(self.builder.offset))
        self.partials.append(self.builder.to_partial())
        self.builder.add(body["data"], body["following"])
        if len(self.partials) == self.loses_after:
            self.builder = StateBuilder.from_partial(self.partials[-1])
        return 0
        yield


@pytest.mark.parametrize("loses_after", [1, 2, 5, 7])
def test_snapshot_transfer_resumes_at_the_offset_that_the_store_requests(loses_after):
    state = {"raw": {n: b"%d" % n * (CHUNK_BYTES // 2) for n in range(10, 20)}}
    reliable, store = ForgetfulStore(None), ForgetfulStore(loses_after)
    for receiver in (reliable, store):
        node = SimpleNamespace(me=ME, call=receiver.call, find=PEERS.get, bounds=BOUNDS)
        node.count = lambda *words: None
        catch_up = FollowerCatchUp(
            QuorumCaller(node, "part-0", []), StateMachine(9, state), lambda: True
        )
        finish(catch_up.send_missing(GroupMember("store-1", "a", "north"), 0))
        assert receiver.builder.build() == state
    lost_offset = reliable.offsets[loses_after - 1]
    assert len(reliable.offsets) > 7 and store.offsets.count(lost_offset) == 2
    assert len(store.offsets) == len(reliable.offsets) + 2
    assert store.offsets.count(SNAPSHOT_START) == (2 if lost_offset == SNAPSHOT_START else 1)


def finish(coroutine):
    """Run a coroutine to its end, resuming every wait at once."""
    for _ in coroutine:
        pass


def remove_chunk_services(node):
    """Remove the services from a node that the previous version lacks."""
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
def test_state_is_fetched_from_and_sent_to_stores_of_the_previous_version_in_one_message(seed):
    stage = SelfFoundingFleet(seed)
    stage.submit("core-1", zone_order_command("halls"))
    for node in stage.sim.up_nodes("store"):
        remove_chunk_services(node)
    previous_owner = stage.owner("config")
    stage.sim.kill(previous_owner)
    assert (
        stage.wait_for(lambda: stage.owner("config") not in (None, previous_owner), 6) is not None
    )
    assert "halls" in owners(stage)["config"].state["layout"]["domains"]
    emptied_store = members(stage)[0]
    stage.sim.lose_disk(emptied_store)
    remove_chunk_services(stage.start(emptied_store))
    assert stage.wait_for(lambda: all_parts_replicated(stage), 8) is not None


def test_catch_up_of_an_unresponsive_member_is_retried_with_growing_backoff():
    stage = SelfFoundingFleet(3)
    leader, store = owners(stage)["config"], members(stage)[0]
    call_times = []

    def time_out(body, origin):
        call_times.append(stage.env.now)
        raise TimedOut(target=store)

    for name in ("quorum.catch_up", "quorum.install_piece", "quorum.install"):
        stage.sim.nodes[store].handlers[name] = time_out
    stage.sim.nodes[store].handlers["quorum.accept"] = lambda body, origin: 0
    stage.submit("core-1", zone_order_command("halls"))
    stage.run(8)
    delays = [later - earlier for earlier, later in pairwise(call_times)]
    assert leader.is_leader and 3 <= len(call_times) <= 7
    assert delays[-1] > 2 * delays[0]
