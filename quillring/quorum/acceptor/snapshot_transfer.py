"""The acceptor's side of transfers of a part's state and entries, in bounded chunks."""

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
    """A state that a leader sends chunk by chunk; `index` is the last entry applied to it."""

    __slots__ = ("ballot", "index", "builder")

    def __init__(self, ballot: Ballot, index: int, builder: StateBuilder) -> None:
        self.ballot = ballot
        self.index = index
        self.builder = builder


class SnapshotTransfer:
    """Sends chunks of applied states, and assembles the states that leaders install.

    Owns `incoming`: {part: the snapshot being received}.
    """

    __slots__ = ("acceptors", "incoming")

    def __init__(self, acceptors: Acceptors) -> None:
        self.acceptors = acceptors
        self.incoming: dict[str, IncomingSnapshot] = {}

    def attach(self, node: Node) -> None:
        """Register the services for leaders on a node."""
        node.handle("quorum.piece", self.on_piece)
        node.handle("quorum.entries", self.on_entries)
        node.handle("quorum.accepted", self.on_accepted)
        node.handle("quorum.install_piece", self.on_install_piece)

    def take_chunk(self, record: InstallChunkRecord) -> PartState | None:
        """Add a chunk; return the complete state after the last one, else None.

        A chunk that does not begin where the last one ended is ignored. Raises BadChunk when the
        chunk does not end at its `next_offset`.
        """
        if record.offset == SNAPSHOT_START:
            self.incoming[record.part] = IncomingSnapshot(
                record.ballot, record.log_index, StateBuilder()
            )
        builder = self._builder_of(record.part, record.ballot, record.log_index)
        if builder is None or builder.offset != record.offset:
            return None
        builder.add(record.data, record.next_offset)
        if record.next_offset is not None:
            return None
        del self.incoming[record.part]
        return builder.whole()

    def drop_outdated(self, part: str, acceptor: AcceptorState) -> None:
        """Drop a snapshot of a lower ballot than promised, or no newer than the applied index."""
        incoming = self.incoming.get(part)
        if incoming is not None and (
            incoming.ballot < acceptor.promised or incoming.index <= acceptor.applied
        ):
            del self.incoming[part]

    def _builder_of(self, part: str, ballot: Ballot, index: int) -> StateBuilder | None:
        """Return the builder of this state under this ballot, or None if there is none."""
        incoming = self.incoming.get(part)
        if incoming is None or incoming.ballot != ballot or incoming.index != index:
            return None
        return incoming.builder

    def on_piece(self, body: WireMap, origin: str) -> list[Any]:
        """Return a chunk of the state at an index.

        Raises Conflict when another index is applied, NotFounded when there is no state.
        """
        request = StateChunkRequest.from_wire(body)
        acceptor, state = self._founded(request.part)
        if acceptor.applied != request.log_index:
            raise Conflict(part=request.part, applied=acceptor.applied)
        return cut_chunk(state, request.offset).to_wire()

    def on_entries(self, body: WireMap, origin: str) -> list[Any] | None:
        """Return applied entries after an index, CHUNK_BYTES at most but one at least.

        None if some of them are no longer cached. Raises NotFounded when there is no state.
        """
        request = EntriesRequest.from_wire(body)
        acceptor, _ = self._founded(request.part)
        return acceptor.log_cache.entries_after(request.after, CHUNK_BYTES)

    def on_accepted(self, body: WireMap, origin: str) -> list[Any]:
        """Return the entry accepted at an index, with its ballot; raises NotFounded without one."""
        request = AcceptedEntryRequest.from_wire(body)
        acceptor = self.acceptors.parts.get(request.part)
        if acceptor is None or request.log_index not in acceptor.entries:
            raise NotFounded(part=request.part, store=self.acceptors.node.me.name)
        entry = acceptor.entries[request.log_index]
        return AcceptedEntryReply(entry.ballot, entry.batch).to_wire()

    def _founded(self, part: str) -> tuple[AcceptorState, PartState]:
        """Return the acceptor state of a part and its applied state; raises NotFounded."""
        acceptor = self.acceptors.parts.get(part)
        if acceptor is None or acceptor.state is None:
            raise NotFounded(part=part, store=self.acceptors.node.me.name)
        return acceptor, acceptor.state

    def on_install_piece(self, body: WireMap, origin: str) -> Coroutine:
        """Store a chunk of a leader's state, durably; the last one installs the state.

        Return the applied index. Raises Conflict, with the offset wanted, for any chunk but the
        next one or the first.
        """
        request = InstallChunkRequest.from_wire(body)
        self.acceptors.check_ballot(request)
        builder = self._builder_of(request.part, request.ballot, request.log_index)
        wanted_offset = SNAPSHOT_START if builder is None else builder.offset
        if request.offset not in (wanted_offset, SNAPSHOT_START):
            raise Conflict(part=request.part, place=wanted_offset.to_wire())
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
