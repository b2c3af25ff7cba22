"""Catch-up of one follower: by log entries where they are cached, else by a snapshot.

Entries are sent if the leader or another store has them in its log cache; the complete state only
if they are gone or larger than the state. Both go in chunks of bounded size, one at a time, so that
no message grows with a part's state.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import cbor2

from quillring.kernel.errors import Conflict, QuillringError, UnknownService
from quillring.quorum.leader.state_fetch import fetch_entries, nearest_first
from quillring.quorum.messages import (
    CatchUpRequest,
    CommitRequest,
    InstallChunkRequest,
    InstallRequest,
)
from quillring.quorum.snapshot_chunks import (
    CHUNK_BYTES,
    SNAPSHOT_START,
    ChunkOffset,
    cut_chunk,
    state_rows,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from quillring.kernel.types import Coroutine
    from quillring.quorum.leader.quorum_call import QuorumCaller
    from quillring.quorum.leader.state_machine import StateMachine
    from quillring.quorum.snapshot_chunks import PartState
    from quillring.quorum.values import GroupMember

MOST_RESUMPTIONS = 8
MOST_ROUNDS = 3


class FollowerCatchUp:
    """Sends followers the entries or the snapshot that they miss, under the ballot of one term."""

    __slots__ = ("caller", "machine", "is_leader")

    def __init__(
        self, caller: QuorumCaller, machine: StateMachine, is_leader: Callable[[], bool]
    ) -> None:
        self.caller = caller
        self.machine = machine
        self.is_leader = is_leader

    def send_missing(self, member: GroupMember, applied: int) -> Coroutine:
        """Send a store all that it misses after an index; raises the error of a failed call."""
        if (yield from self._send_entries(member, applied)):
            self.caller.node.count("catch_ups")
            return
        self.caller.node.count("installs")
        yield from self._send_snapshot(member)

    def bring_up_to_date(self, member: GroupMember) -> Coroutine:
        """Bring a store that does not vote yet up to date; return whether it is.

        There are MOST_ROUNDS attempts, as the leader may commit more entries meanwhile. The store
        writes the state durably under the leader's ballot, so it also promises that ballot.
        """
        caller = self.caller
        for _ in range(MOST_ROUNDS):
            index = self.machine.last_applied
            commit = caller.call_to(member, CommitRequest, committed=index)
            replies = yield from caller.node.gather([commit], 1, caller.node.bounds.propagation)
            applied = replies[member.name]
            if isinstance(applied, QuillringError) or not self.is_leader():
                return False
            if applied >= index and index:
                return True
            try:
                yield from self.send_missing(member, applied)
            except QuillringError as error:
                fields = (member.name, caller.part, error)
                caller.node.log("warning", "catch-up of %s, to join %s: %s", *fields)
                return False
        return False

    def _send_entries(self, member: GroupMember, applied: int) -> Coroutine:
        """Send the entries a store misses; return False when a snapshot is needed instead.

        That is so when entries are gone, are larger than the state, or are not applied there.
        """
        caller, machine = self.caller, self.machine
        if machine.log_cache.entries_after(applied) is None:
            yield from self._learn_entries(member, applied)
        if is_state_smaller(machine.known_state(), machine.log_cache.bytes_after(applied)):
            return False
        while applied < machine.last_applied:
            entries = machine.log_cache.entries_after(applied, CHUNK_BYTES)
            if not entries:
                return False
            last_index, _ = entries[-1]
            call = caller.call_to(member, CatchUpRequest, entries=entries, committed=last_index)
            now_applied = yield from caller.node.call(*call, caller.node.bounds.propagation)
            if now_applied <= applied:
                return False
            applied = now_applied
        return True

    def _learn_entries(self, member: GroupMember, applied: int) -> Coroutine:
        """Fetch the entries before the leader's own log cache from one other store, if any has."""
        caller, machine = self.caller, self.machine
        first_index = machine.log_cache.first_index or machine.last_applied + 1
        reaches = caller.node.find("nifty").reaches
        others = [m.name for m in caller.group if m.name != member.name and reaches(m.name)]
        for store in nearest_first(caller.node, others):
            try:
                entries = yield from fetch_entries(
                    caller.node, caller.part, store, applied, first_index - 1
                )
            except QuillringError:
                continue
            if entries:
                machine.log_cache.prepend(entries)
                return

    def _send_snapshot(self, member: GroupMember) -> Coroutine:
        """Send the state chunk by chunk; a store that lost some of it replies the offset it needs.

        Raises Conflict after MOST_RESUMPTIONS such replies.
        """
        caller, index, state = self.caller, self.machine.last_applied, self.machine.known_state()
        seconds, resumptions = caller.node.bounds.propagation, 0
        offset: ChunkOffset | None = SNAPSHOT_START
        while offset is not None and self.is_leader():
            data, next_offset = cut_chunk(state, offset)
            call = caller.call_to(
                member,
                InstallChunkRequest,
                log_index=index,
                offset=offset,
                data=data,
                next_offset=next_offset,
            )
            try:
                yield from caller.node.call(*call, seconds)
            except Conflict as error:
                resumptions += 1
                if resumptions > MOST_RESUMPTIONS:
                    raise
                offset = ChunkOffset.from_wire(error.detail["place"])
                continue
            except UnknownService:
                whole = caller.call_to(member, InstallRequest, log_index=index, state=state)
                yield from caller.node.call(*whole, seconds)
                return
            caller.node.count("pieces_sent")
            offset = next_offset


def is_state_smaller(state: PartState, entries_bytes: int) -> bool:
    """Return whether a state's encoding takes no more bytes than the entries do.

    Encoding stops beyond `entries_bytes`. False, without encoding, for entries of at most a quarter
    of CHUNK_BYTES.
    """
    if entries_bytes <= CHUNK_BYTES // 4:
        return False
    for fields in state_rows(state):
        entries_bytes -= len(cbor2.dumps(fields))
        if entries_bytes < 0:
            return False
    return True
