"""Transfers of a part's state and entries in chunks of bounded size, acceptor side."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.errors import Conflict, NotFounded
from quillring.quorum.acceptor.log_records import InstallChunkRecord
from quillring.quorum.messages import (
    AcceptedEntryReply,
    AcceptedEntryRequest,
    EntriesRequest,
    InstallChunkRequest,
    StateChunkRequest,
)
from quillring.quorum.snapshot_chunks import CHUNK_BYTES, SNAPSHOT_START, StateBuilder, cut_chunk

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine, WireMap
    from quillring.quorum.acceptor.acceptor import Acceptors
    from quillring.quorum.acceptor.state import AcceptorState
    from quillring.quorum.snapshot_chunks import PartState
    from quillring.quorum.values import Ballot


class IncomingSnapshot:
    """A partly received snapshot from a leader; `index` is the last entry applied to the state."""

    __slots__ = ("ballot", "index", "builder")

    def __init__(self, ballot: Ballot, index: int, builder: StateBuilder) -> None:
        self.ballot = ballot
        self.index = index
        self.builder = builder


class SnapshotTransfer:
    """Sends chunks of applied states, and assembles the snapshots that leaders install.

    Owns `incoming`: {part: the partly received snapshot}.
    """

    __slots__ = ("acceptors", "incoming")

    def __init__(self, acceptors: Acceptors) -> None:
        self.acceptors = acceptors
        self.incoming: dict[str, IncomingSnapshot] = {}

    def attach(self, node: Node) -> None:
        """Register the services that leaders call on a node."""
        node.handle("quorum.piece", self.on_piece)
        node.handle("quorum.entries", self.on_entries)
        node.handle("quorum.accepted", self.on_accepted)
        node.handle("quorum.install_piece", self.on_install_piece)

    def add_chunk(self, record: InstallChunkRecord) -> PartState | None:
        """Add a chunk; return the complete state if it was the last chunk, else None.

        A first chunk replaces any snapshot that was being received. A chunk that does not begin
        where the previous one ended is ignored. Raises BadChunk if the chunk does not end at its
        `next_offset`.
        """
        if record.offset == SNAPSHOT_START:
            self.incoming[record.part] = IncomingSnapshot(
                record.ballot, record.log_index, StateBuilder()
            )
        builder = self._find_builder(record.part, record.ballot, record.log_index)
        if builder is None or builder.offset != record.offset:
            return None
        builder.add(record.data, record.next_offset)
        if record.next_offset is not None:
            return None
        del self.incoming[record.part]
        return builder.build()

    def drop_outdated(self, part: str, acceptor: AcceptorState) -> None:
        """Drop a snapshot under a ballot below the promised one, or not above the applied index."""
        incoming = self.incoming.get(part)
        if incoming is not None and (
            incoming.ballot < acceptor.promised or incoming.index <= acceptor.applied
        ):
            del self.incoming[part]

    def _find_builder(self, part: str, ballot: Ballot, index: int) -> StateBuilder | None:
        """Return the builder of the snapshot with this ballot and index, or None."""
        incoming = self.incoming.get(part)
        if incoming is None or incoming.ballot != ballot or incoming.index != index:
            return None
        return incoming.builder

    def on_piece(self, body: WireMap, origin: str) -> list[Any]:
        """Return a chunk of the state after the requested index.

        Raises Conflict if the applied index differs, and NotFounded if the part has no state.
        """
        request = StateChunkRequest.from_wire(body)
        acceptor, state = self._acceptor_with_state(request.part)
        if acceptor.applied != request.log_index:
            raise Conflict(part=request.part, applied=acceptor.applied)
        return cut_chunk(state, request.offset).to_wire()

    def on_entries(self, body: WireMap, origin: str) -> list[Any] | None:
        """Return applied entries after an index: at least one, and up to CHUNK_BYTES in total.

        None if some of them are no longer cached. Raises NotFounded if the part has no state.
        """
        request = EntriesRequest.from_wire(body)
        acceptor, _ = self._acceptor_with_state(request.part)
        return acceptor.log_cache.entries_after(request.after, CHUNK_BYTES)

    def on_accepted(self, body: WireMap, origin: str) -> list[Any]:
        """Return the entry accepted at an index, with its ballot; raises NotFounded if none is."""
        request = AcceptedEntryRequest.from_wire(body)
        acceptor = self.acceptors.parts.get(request.part)
        if acceptor is None or request.log_index not in acceptor.entries:
            raise NotFounded(part=request.part, store=self.acceptors.node.me.name)
        entry = acceptor.entries[request.log_index]
        return AcceptedEntryReply(entry.ballot, entry.batch).to_wire()

    def _acceptor_with_state(self, part: str) -> tuple[AcceptorState, PartState]:
        """Return a part's acceptor state and applied state; raises NotFounded without one."""
        acceptor = self.acceptors.parts.get(part)
        if acceptor is None or acceptor.state is None:
            raise NotFounded(part=part, store=self.acceptors.node.me.name)
        return acceptor, acceptor.state

    def on_install_piece(self, body: WireMap, origin: str) -> Coroutine:
        """Store a chunk of a leader's snapshot durably; the last chunk installs the state.

        Return the applied index. Raises Conflict, with the expected offset, for a chunk that is
        neither the next one nor the first one.
        """
        request = InstallChunkRequest.from_wire(body)
        self.acceptors.check_ballot(request)
        builder = self._find_builder(request.part, request.ballot, request.log_index)
        expected_offset = SNAPSHOT_START if builder is None else builder.offset
        if request.offset not in (expected_offset, SNAPSHOT_START):
            raise Conflict(part=request.part, place=expected_offset.to_wire())
        yield from self.acceptors.persist(
            InstallChunkRecord(
                request.part,
                request.ballot,
                request.log_index,
                request.offset,
                request.data,
                request.next_offset,
            )
        )
        return self.acceptors.notify_listeners(request.part)
