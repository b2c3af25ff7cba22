"""Catch-up of one follower, by log entries if they are still cached, otherwise by a snapshot.

The leader sends entries that it or another store has in its log cache. It sends the complete state
only if some entries are no longer cached, or if they take more bytes than the state. Both are sent
in chunks of bounded size, one at a time, so that message size does not grow with a part's state.
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

MAX_SNAPSHOT_RESUMPTIONS = 8
MAX_CATCH_UP_ROUNDS = 3


class FollowerCatchUp:
    """Sends a lagging follower the missing entries or a snapshot, under the ballot of one term."""

    __slots__ = ("caller", "machine", "is_leader")

    def __init__(
        self, caller: QuorumCaller, machine: StateMachine, is_leader: Callable[[], bool]
    ) -> None:
        self.caller = caller
        self.machine = machine
        self.is_leader = is_leader

    def send_missing(self, member: GroupMember, applied: int) -> Coroutine:
        """Send a store every entry after its index `applied`, or a snapshot in their place.

        Raises the error of a failed call.
        """
        if (yield from self._send_entries(member, applied)):
            self.caller.node.count("catch_ups")
            return
        self.caller.node.count("installs")
        yield from self._send_snapshot(member)

    def bring_up_to_date(self, member: GroupMember) -> Coroutine:
        """Bring a store that is not a member yet up to date; return whether that succeeded.

        Up to MAX_CATCH_UP_ROUNDS rounds are run, since the leader may commit more entries during
        each. The store writes the state durably under the leader's ballot, which also promises
        that ballot.
        """
        caller = self.caller
        for _ in range(MAX_CATCH_UP_ROUNDS):
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
                caller.node.log(
                    "warning", "catch-up of store %s, which is to join part %s, failed: %s", *fields
                )
                return False
        return False

    def _send_entries(self, member: GroupMember, applied: int) -> Coroutine:
        """Send the entries that a store lacks; return False when it needs a snapshot instead.

        It needs one when an entry is no longer cached, when the entries take more bytes than the
        state, or when the store did not apply the entries that it was sent.
        """
        caller, machine = self.caller, self.machine
        if machine.log_cache.entries_after(applied) is None:
            yield from self._fetch_earlier_entries(member, applied)
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

    def _fetch_earlier_entries(self, member: GroupMember, applied: int) -> Coroutine:
        """Extend the log cache backwards with entries from the first other store that has them."""
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
        """Send the state chunk by chunk.

        A store that lost a chunk replies Conflict with the offset it needs, and sending resumes
        there; raises Conflict after MAX_SNAPSHOT_RESUMPTIONS resumptions. A store of an earlier
        version, which has no service for chunks, is sent the state in one message.
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
                if resumptions > MAX_SNAPSHOT_RESUMPTIONS:
                    raise
                offset = ChunkOffset.from_wire(error.detail["place"])
                continue
            except UnknownService:
                install_call = caller.call_to(member, InstallRequest, log_index=index, state=state)
                yield from caller.node.call(*install_call, seconds)
                return
            caller.node.count("pieces_sent")
            offset = next_offset


def is_state_smaller(state: PartState, entries_bytes: int) -> bool:
    """Return whether the encoded state takes at most as many bytes as the entries.

    The state is encoded only as far as `entries_bytes`. For entries of at most a quarter of
    CHUNK_BYTES the result is False and nothing is encoded.
    """
    if entries_bytes <= CHUNK_BYTES // 4:
        return False
    for fields in state_rows(state):
        entries_bytes -= len(cbor2.dumps(fields))
        if entries_bytes < 0:
            return False
    return True
