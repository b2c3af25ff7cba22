"""The stream journal: each piece is replicated to a backup before it is sent to the client."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.edge.journal_messages import (
    AppendRequest,
    ClaimReply,
    FindReply,
    StreamQuery,
    Term,
    append_body,
)
from quillring.edge.journaled_stream import JournaledStream
from quillring.edge.stream_takeover import take_over_stream
from quillring.kernel.effects import Sleep
from quillring.kernel.errors import Fenced, NotFound, QuillringError, Refused
from quillring.nifty.graph import rendezvous_score

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

MAX_STREAMS = 20_000
MAX_BYTES = 256 << 20
HANDOVER_AGE_FACTOR = 5
"""Streams used within this multiple of `bounds.recovery` are handed over before a planned stop."""
HANDOVER_BATCH_SIZE = 50
HANDOVER_ATTEMPTS = 2
STORAGE_ROLES = ("edge", "core")


class Journal:
    """Owns the streams that this node runs or backs up; refuses new ones when it is full.

    `size` is the sum of the approximate sizes of the streams, in bytes.
    """

    __slots__ = ("node", "streams", "size")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.streams: dict[str, JournaledStream] = {}
        self.size = 0
        node.handle("journal.append", self.on_append)
        node.handle("journal.find", self.on_find)
        node.handle("journal.claim", self.on_claim)

    def run(self, retention_seconds: float) -> Coroutine:
        """Periodically drop streams unused for `retention_seconds`, except those running here."""
        while True:
            yield Sleep(self.node.bounds.propagation)
            oldest_used_at = self.node.now() - retention_seconds
            self.streams = {
                name: stream
                for name, stream in self.streams.items()
                if stream.is_running or stream.last_used_at > oldest_used_at
            }
            self.size = sum(stream.size for stream in self.streams.values())

    def _make_room(self) -> None:
        """If full, drop the least recently used quarter of ended streams.

        A stream that has not ended is never dropped for lack of space. Raises Refused if the
        journal is still full.
        """
        if not self._is_full():
            return
        ended_streams = sorted(
            (s for s in self.streams.values() if s.has_ended and not s.is_running),
            key=lambda stream: stream.last_used_at,
        )
        for stream in ended_streams[: max(1, len(ended_streams) // 4)]:
            self.forget(stream)
            self.node.count("streams_dropped")
        if self._is_full():
            self.node.count("journal_refusals")
            raise Refused(reason="the journal is full")

    def _is_full(self) -> bool:
        """Return whether the number of streams or their total size has reached its limit."""
        return len(self.streams) >= MAX_STREAMS or self.size >= MAX_BYTES

    def add(self, stream: JournaledStream) -> None:
        """Add a stream, replacing any earlier copy."""
        previous = self.streams.get(stream.name)
        self.size += stream.size - (previous.size if previous is not None else 0)
        self.streams[stream.name] = stream

    def _replace_from(self, stream: JournaledStream, start: int, pieces: Sequence[str]) -> None:
        """Replace a stream's pieces from index `start` on, and update the total size."""
        previous_size = stream.size
        stream.replace_from(start, pieces)
        self.size += stream.size - previous_size

    def open(self, name: str, request: dict[str, Any], client_name: str) -> JournaledStream:
        """Create a stream to run on this node; raise Refused if the journal is full."""
        self._make_room()
        term = Term(1, self.node.me.name)
        stream = JournaledStream(name, request, client_name, self.node.now(), term)
        self.add(stream)
        return stream

    def forget(self, stream: JournaledStream) -> None:
        """Drop this node's copy of a stream that has ended or that no client can resume."""
        if self.streams.get(stream.name) is stream:
            del self.streams[stream.name]
            self.size -= stream.size

    def backup_candidates(self, name: str, excluded_names: Collection[str] = ()) -> list[str]:
        """Return the reachable nodes in other zones that may back up a stream, edges first.

        Nodes that are being drained, or whose zone is, come last.
        """
        is_leaving = self.node.find("ownership").is_leaving
        me, nifty = self.node.me, self.node.find("nifty")
        members = [
            member
            for member in nifty.roster.members.values()
            if member.role in STORAGE_ROLES
            and member.zone != me.zone
            and nifty.reaches(member.name)
            and member.name not in excluded_names
        ]
        members.sort(
            reverse=True,
            key=lambda m: (
                not is_leaving(m.name),
                m.role == "edge",
                rendezvous_score(name, m.name),
            ),
        )
        return [member.name for member in members]

    def _drop_leaving_backup(self, stream: JournaledStream) -> None:
        """Unset a backup that is being drained if another node can replace it."""
        is_leaving = self.node.find("ownership").is_leaving
        if stream.backup is not None and is_leaving(stream.backup):
            candidates = self.backup_candidates(stream.name)
            if candidates and not is_leaving(candidates[0]):
                stream.backup = None

    def hand_over(self) -> Coroutine:
        """Start copying every recently used stream to another node, before a planned stop."""
        oldest_used_at = self.node.now() - self.node.bounds.recovery * HANDOVER_AGE_FACTOR
        streams = [s for s in self.streams.values() if s.last_used_at > oldest_used_at]
        for start in range(0, len(streams), HANDOVER_BATCH_SIZE):
            for stream in streams[start : start + HANDOVER_BATCH_SIZE]:
                self.node.spawn(self._hand_over_stream(stream))
            yield Sleep(self.node.bounds.gossip_interval)
        self.node.count("streams_handed", len(streams))

    def _hand_over_stream(self, stream: JournaledStream) -> Coroutine:
        """Copy a stream to a node other than its backup, in up to HANDOVER_ATTEMPTS attempts."""
        candidates = self.backup_candidates(stream.name, {stream.backup} if stream.backup else ())
        for name in candidates[:HANDOVER_ATTEMPTS]:
            try:
                body = append_body(stream, 0)
                yield from self.node.call(name, "journal.append", body)
                return
            except QuillringError as error:
                self.node.log("warning", "handover of stream %s failed: %s", stream.name, error)

    def possible_holders(self) -> list[str]:
        """Return the names of all members that may store streams, reachable or not."""
        members = self.node.find("nifty").roster.members.values()
        return [member.name for member in members if member.role in STORAGE_ROLES]

    def append(
        self, stream: JournaledStream, new_pieces: Sequence[str], has_ended: bool = False
    ) -> Coroutine:
        """Append pieces here and at the backup; return once the backup has acknowledged them.

        If the backup fails, the complete stream is copied to another node.

        Raises
        ------
        Fenced
            The stream was taken over under a later term.
        Refused
            No reachable node in another zone can be the backup.
        """
        self._check_term(stream)
        start = len(stream.pieces)
        self._replace_from(stream, start, new_pieces)
        stream.has_ended = has_ended or stream.has_ended
        stream.last_used_at = self.node.now()
        self._drop_leaving_backup(stream)
        excluded_names: set[str] = set()
        while True:
            if stream.backup is None:
                candidates = self.backup_candidates(stream.name, excluded_names)
                if not candidates:
                    raise Refused(reason="no second holder in another domain")
                stream.backup, start = candidates[0], 0
            try:
                body = append_body(stream, start)
                yield from self.node.call(stream.backup, "journal.append", body)
                return
            except Fenced:
                self.streams.pop(stream.name, None)
                raise
            except QuillringError as error:
                self.node.count("holder_changes")
                self.node.log("warning", "stream backup on %s failed: %s", stream.backup, error)
                excluded_names.add(stream.backup)
                stream.backup = None

    def _check_term(self, stream: JournaledStream) -> None:
        """Raise Fenced if this copy of the stream was replaced or dropped."""
        if self.streams.get(stream.name) is not stream:
            raise Fenced(stream=stream.name)

    def on_append(self, body: dict[str, Any], origin: str) -> int:
        """Store pieces as the backup; return the number of pieces stored."""
        return self.hold(AppendRequest.from_wire(body))

    def hold(self, request: AppendRequest) -> int:
        """Store pieces as the backup and return the number of pieces stored.

        Raises Fenced if a later term is known, NotFound if pieces before `start` are missing.
        """
        known = self.streams.get(request.stream_name)
        if known is not None and known.term > request.term:
            raise Fenced(stream=request.stream_name)
        if known is None:
            self._make_room()
            stream = JournaledStream(
                request.stream_name,
                request.request,
                request.client_name,
                self.node.now(),
                request.term,
            )
        elif known.term < request.term:
            stream = known.copy_with_term(self.node.now(), request.term)
            stream.has_ended = False
        else:
            stream = known
        if request.start > len(stream.pieces):
            raise NotFound(stream=request.stream_name, held=len(stream.pieces))
        if stream is not known:
            self.add(stream)
        if request.start + len(request.pieces) >= len(stream.pieces):
            self._replace_from(stream, request.start, request.pieces)
        stream.has_ended = request.has_ended or stream.has_ended
        stream.last_used_at = self.node.now()
        return len(stream.pieces)

    def _find(self, query: StreamQuery) -> JournaledStream:
        """Return the stored stream; raise NotFound if it is missing or another client's."""
        stream = self.streams.get(query.stream_name)
        if stream is None or stream.client_name != query.client_name:
            raise NotFound(field="stream")
        return stream

    def on_find(self, body: dict[str, Any], origin: str) -> list[Any]:
        """Return the term, piece count and route of a stream stored here for this client."""
        stream = self._find(StreamQuery.from_wire(body))
        return FindReply(stream.term, len(stream.pieces), stream.request["entry"]).to_wire()

    def on_claim(self, body: dict[str, Any], origin: str) -> list[Any]:
        """Fence earlier terms of a stream and return this node's copy, with its previous term."""
        query = StreamQuery.from_wire(body)
        stream = self._find(query)
        if query.term is None or stream.term >= query.term:
            raise Fenced(stream=stream.name)
        self.add(stream.copy_with_term(self.node.now(), query.term))
        pieces = list(stream.pieces)
        return ClaimReply(stream.request, pieces, stream.has_ended, stream.term).to_wire()

    def take_over(
        self, name: str, client_name: str, served_term: Term, check: Callable[[FindReply], None]
    ) -> Coroutine:
        """Find a stream on the reachable nodes and take it over (see `take_over_stream`)."""
        return take_over_stream(self, name, client_name, served_term, check)
