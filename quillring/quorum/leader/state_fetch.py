"""Fetches the newest applied state for a new leader: missing entries if cached, else a snapshot.

Only missing data is fetched. A snapshot is fetched in chunks of bounded size, one at a time, so
that message size does not grow with a part's state.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import Conflict, NoMajority, QuillringError, UnknownService
from quillring.quorum.leader.election_progress import STATE
from quillring.quorum.messages import EntriesRequest, ImageReply, ImageRequest, StateChunkRequest
from quillring.quorum.snapshot_chunks import SNAPSHOT_START, Chunk, ChunkOffset, StateBuilder

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.quorum.leader.election_progress import ElectionProgress
    from quillring.quorum.leader.state_machine import StateMachine
    from quillring.quorum.messages import Promise, WireEntry


class StateFetcher:
    """Brings a new leader's state machine to the newest state that a majority's promises report."""

    __slots__ = ("node", "part", "machine", "progress")

    def __init__(
        self, node: Node, part: str, machine: StateMachine, progress: ElectionProgress
    ) -> None:
        self.node = node
        self.part = part
        self.machine = machine
        self.progress = progress

    def adopt_newest(self, promises: dict[str, Promise]) -> Coroutine:
        """Bring the state machine to the newest applied index among the promises of a majority.

        The state of this core's last term is reused, since the state after an index is the same at
        every node; only later entries are fetched. If these are no longer cached, a snapshot is
        fetched from one of the stores with the newest state, those in this core's zone first.
        Raises NoMajority if none of them provides it.
        """
        known = {store: p for store, p in promises.items() if p.state is not None}
        newest = max(promise.applied for promise in known.values())
        machine = self.machine
        if machine.state is not None and machine.last_applied >= newest:
            return
        newest_stores = [store for store, promise in known.items() if promise.applied == newest]
        sent_states = [
            known[store].state for store in newest_stores if known[store].state is not True
        ]
        if sent_states:
            machine.install(newest, sent_states[0])
            return
        for store in nearest_first(self.node, newest_stores):
            self.progress.enter(STATE, [store])
            try:
                if machine.state is not None and (yield from self._adopt_entries(store, newest)):
                    return
                machine.install(newest, (yield from self._fetch_snapshot(store, newest)))
                machine.log_cache.clear()
                return
            except QuillringError as error:
                self.node.log(
                    "warning",
                    "fetching the state of part %s from store %s failed: %s",
                    self.part,
                    store,
                    error,
                )
        raise NoMajority(part=self.part, reason="no store gave the state")

    def _adopt_entries(self, store: str, last: int) -> Coroutine:
        """Apply a store's cached entries up to `last`; return False if some are not cached."""
        machine = self.machine
        entries = yield from fetch_entries(self.node, self.part, store, machine.last_applied, last)
        for index, batch in entries or ():
            machine.apply(index, batch)
        return machine.last_applied >= last

    def _fetch_snapshot(self, store: str, index: int) -> Coroutine:
        """Return a store's state after an index, fetched chunk by chunk.

        Raises Conflict if the store applies further entries during the fetch, and BadChunk if
        the chunks don't form a state.
        """
        builder, seconds = StateBuilder(), self.node.bounds.propagation / 2
        offset: ChunkOffset | None = SNAPSHOT_START
        while offset is not None:
            body = StateChunkRequest(self.part, index, offset).to_wire()
            try:
                reply = yield from self.node.call(store, "quorum.piece", body, seconds)
            except UnknownService:
                return (yield from self._fetch_complete_state(store, index, seconds))
            chunk = Chunk.from_wire(reply)
            self.node.count("pieces_fetched")
            self.progress.fetched_bytes += len(chunk.data)
            builder.add(chunk.data, chunk.next_offset)
            offset = chunk.next_offset
        return builder.build()

    def _fetch_complete_state(self, store: str, index: int, seconds: float) -> Coroutine:
        """Return the state from a store of an earlier version, which sends it in one message.

        Raises Conflict if the store's applied index is not `index`.
        """
        body = ImageRequest(self.part).to_wire()
        fields = yield from self.node.call(store, "quorum.image", body, seconds)
        image = ImageReply.from_wire(fields)
        if image.applied != index:
            raise Conflict(part=self.part, applied=image.applied)
        return image.state


def nearest_first(node: Node, stores: list[str]) -> list[str]:
    """Return store names sorted: the stores in the node's own zone first, then by name."""
    members, own_zone = node.find("nifty").roster.members, node.me.zone

    def distance(store: str) -> tuple[bool, str]:
        is_elsewhere = store not in members or members[store].zone != own_zone
        return is_elsewhere, store

    return sorted(stores, key=distance)


def fetch_entries(node: Node, part: str, store: str, after: int, last: int) -> Coroutine:
    """Return a store's entries after the index `after` up to `last`, as [[index, batch], ...].

    None if the store no longer caches some of them, or if its version lacks the service.
    """
    entries: list[WireEntry] = []
    while after < last:
        body = EntriesRequest(part, after).to_wire()
        try:
            rows = yield from node.call(store, "quorum.entries", body, node.bounds.read_timeout)
        except UnknownService:
            return None
        if not rows:
            return None
        for log_index, batch in rows:
            if log_index <= last:
                entries.append([log_index, batch])
            after = log_index
    return entries
