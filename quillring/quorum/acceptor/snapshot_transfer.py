"""The store's side of moving a part's state and entries in bounded pieces."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import Conflict, NotFounded
from quillring.quorum.snapshot_chunks import (
    CHUNK_BYTES,
    SNAPSHOT_START,
    ChunkOffset,
    StateBuilder,
    cut_chunk,
)

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.quorum.acceptor.acceptor import Acceptors
    from quillring.quorum.acceptor.state import AcceptorState
    from quillring.quorum.values import Ballot


class IncomingSnapshot:
    """A state that an owner sends piece by piece; `index` is what it will have applied."""

    __slots__ = ("ballot", "index", "builder")

    def __init__(self, ballot: Ballot, index: int, builder: StateBuilder) -> None:
        self.ballot = ballot
        self.index = index
        self.builder = builder


class SnapshotTransfer:
    """Gives out pieces of applied states, and puts together those that owners install."""

    __slots__ = ("acceptors", "arriving")

    def __init__(self, acceptors: Acceptors) -> None:
        self.acceptors = acceptors
        self.arriving = {}

    def attach(self, node: Node) -> None:
        """Answer the calls of owners."""
        node.handle("quorum.piece", self.on_piece)
        node.handle("quorum.entries", self.on_entries)
        node.handle("quorum.accepted", self.on_accepted)
        node.handle("quorum.install_piece", self.on_install_piece)

    def to_map(self) -> dict[str, list]:
        """Return what has come so far of each part, for a slot."""
        return {
            part: [list(a.ballot), a.index, a.builder.to_list()]
            for part, a in self.arriving.items()
        }

    def load(self, arriving: dict[str, list]) -> None:
        """Take what a slot holds."""
        self.arriving = {
            part: IncomingSnapshot(tuple(ballot), index, StateBuilder.from_list(fields))
            for part, (ballot, index, fields) in arriving.items()
        }

    def take(
        self,
        part: str,
        ballot: Ballot,
        index: int,
        place: list,
        data: bytes,
        following: list | None,
    ) -> dict | None:
        """Take a piece; return the whole state behind the last one, else None.

        A piece that does not begin where the one before ended changes nothing.
        """
        place = ChunkOffset(*place)
        if place == SNAPSHOT_START:
            self.arriving[part] = IncomingSnapshot(ballot, index, StateBuilder())
        arriving = self._expected(part, ballot, index)
        if arriving is None or arriving.builder.place != place:
            return None
        arriving.builder.add(data, following)
        if following is not None:
            return None
        return self.arriving.pop(part).builder.whole()

    def forget(self, part: str, record: AcceptorState) -> None:
        """Drop what a newer ballot, or what was applied meanwhile, made useless."""
        arriving = self.arriving.get(part)
        if arriving is not None and (
            arriving.ballot < record.promised or arriving.index <= record.applied
        ):
            del self.arriving[part]

    def _expected(self, part: str, ballot: Ballot, index: int):
        arriving = self.arriving.get(part)
        is_same = arriving is not None and (arriving.ballot, arriving.index) == (ballot, index)
        return arriving if is_same else None

    def on_piece(self, body: dict, origin: str) -> list:
        """Give a piece of the state applied at an index, as [data, place behind it or None]."""
        record = self._record(body["part"])
        if record.applied != body["index"]:
            raise Conflict(part=body["part"], applied=record.applied)
        data, following = cut_chunk(record.state, ChunkOffset(*body["place"]))
        return [data, None if following is None else list(following)]

    def on_entries(self, body: dict, origin: str) -> list | None:
        """Give applied entries after an index, as many as a piece may hold; None if gone."""
        return self._record(body["part"]).log_cache.since(body["after"], CHUNK_BYTES)

    def on_accepted(self, body: dict, origin: str) -> list:
        """Give the entry accepted at an index, as [ballot, batch]."""
        record = self.acceptors.parts.get(body["part"])
        if record is None or body["index"] not in record.entries:
            raise NotFounded(part=body["part"], store=self.acceptors.node.me.name)
        entry = record.entries[body["index"]]
        return [list(entry.ballot), entry.batch]

    def _record(self, part: str):
        record = self.acceptors.parts.get(part)
        if record is None or record.state is None:
            raise NotFounded(part=part, store=self.acceptors.node.me.name)
        return record

    def on_install_piece(self, body: dict, origin: str) -> Coroutine:
        """Coroutine: keep a piece of an owner's state, durably; the last one puts it in place.

        A piece that is not the next one is answered with a conflict that names the place wanted.
        """
        _, ballot = self.acceptors.check(body)
        part, index, place = body["part"], body["index"], ChunkOffset(*body["place"])
        arriving = self._expected(part, ballot, index)
        wanted_place = SNAPSHOT_START if arriving is None else arriving.builder.place
        if place not in (wanted_place, SNAPSHOT_START):
            raise Conflict(part=part, place=list(wanted_place))
        fields = [index, list(place), body["data"], body["following"]]
        yield from self.acceptors.keep(["piece", part, list(ballot), *fields])
        return self.acceptors.tell(part)
