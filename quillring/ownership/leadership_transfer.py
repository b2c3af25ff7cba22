"""Leadership transfer: the successor fetches the part's state before the leader steps down."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.errors import Conflict, NotLeader, QuillringError, UnknownService
from quillring.kernel.records import NamedTuple
from quillring.ownership.messages import (
    LEADERSHIP_OFFER,
    PREPARE_TRANSFER,
    STATE_CHUNK,
    LeadershipOffer,
    PrepareTransferRequest,
    StateChunkReply,
    StateChunkRequest,
)
from quillring.quorum.leader.part_leader import PartLeader
from quillring.quorum.snapshot_chunks import SNAPSHOT_START, ChunkOffset, StateBuilder, cut_chunk

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine, WireMap
    from quillring.ownership.ownership import Ownership


class OfferedState(NamedTuple):
    """The immutable state of a part under transfer, and the index of its last applied entry."""

    log_index: int
    state: Any


class LeadershipTransfer:
    """Both sides of a planned leadership transfer, which shortens the time without a leader.

    `offered` has the state that the successor may fetch, by part, while a transfer is in progress.
    """

    __slots__ = ("node", "ownership", "offered")

    def __init__(self, node: Node, ownership: Ownership) -> None:
        self.node = node
        self.ownership = ownership
        self.offered: dict[str, OfferedState] = {}

    def register_services(self) -> None:
        """Register the handlers of the transfer's services; for cores only."""
        self.node.handle(PREPARE_TRANSFER, self.on_prepare)
        self.node.handle(STATE_CHUNK, self.on_state_chunk)

    def begin(self, part: str, leader: PartLeader, successor: str) -> None:
        """Begin the transfer of a part to another core, unless one is already in progress."""
        if part not in self.offered:
            self.offered[part] = OfferedState(leader.index, leader.state)
            self.node.spawn(self._transfer(part, leader, successor))

    def _transfer(self, part: str, leader: PartLeader, successor: str) -> Coroutine:
        """Have the successor fetch the state, then step down and notify it.

        If the successor fails to fetch the state, this core steps down nevertheless. It does not
        step down if the successor is no longer the first candidate.
        """
        request = PrepareTransferRequest(part, self.offered[part].log_index)
        seconds = self.node.bounds.propagation * 2
        try:
            yield from self.node.call(successor, PREPARE_TRANSFER, request.to_wire(), seconds)
        except UnknownService:
            self.node.count("handovers_without_state")
        except QuillringError as error:
            self.node.log(
                "warning",
                "leadership transfer of part %s: core %s did not fetch the state: %s",
                part,
                successor,
                error,
            )
        finally:
            del self.offered[part]
        if leader.is_leader and self.ownership.candidates(part)[:1] == [successor]:
            leader.step_down(NotLeader(part=part))
            self.node.send_oneway(successor, LEADERSHIP_OFFER, LeadershipOffer(part).to_wire())

    def on_state_chunk(self, body: WireMap, origin: str) -> list[Any]:
        """Return a chunk of the offered state; raises Conflict if none is offered at that index."""
        request = StateChunkRequest.from_wire(body)
        offered = self.offered.get(request.part)
        if offered is None or offered.log_index != request.log_index:
            known_index = None if offered is None else offered.log_index
            raise Conflict(part=request.part, index=known_index)
        data, next_offset = cut_chunk(offered.state, request.offset)
        return StateChunkReply(data, next_offset).to_wire()

    def on_prepare(self, body: WireMap, origin: str) -> Coroutine:
        """Fetch the state of a part from its leader, as its successor; return True."""
        request = PrepareTransferRequest.from_wire(body)
        part, index = request.part, request.log_index
        leaders = self.ownership.leaders
        previous = leaders.get(part)
        if previous is not None and (previous.is_leader or previous.index >= index):
            return True
        state = yield from self._fetch_state(origin, part, index)
        is_unchanged = leaders.get(part) is previous
        if is_unchanged and part not in self.ownership.elections.parts_in_election:
            successor = PartLeader(self.node, part, self.ownership.group(part), previous)
            successor.machine.install(index, state)
            leaders[part] = successor
        return True

    def _fetch_state(self, source: str, part: str, index: int) -> Coroutine:
        """Fetch the state of a part at an index from its leader, in chunks.

        Raises Conflict when the leader no longer offers that state, BadChunk when the chunks do not
        form a complete state.
        """
        builder, seconds = StateBuilder(), self.node.bounds.read_timeout
        offset: ChunkOffset | None = SNAPSHOT_START
        while offset is not None:
            body = StateChunkRequest(part, index, offset).to_wire()
            reply = yield from self.node.call(source, STATE_CHUNK, body, seconds)
            chunk = StateChunkReply.from_wire(reply)
            builder.add(chunk.data, chunk.next_offset)
            offset = chunk.next_offset
        return builder.build()
