"""The acceptors on a store machine: promises, accepted entries, applied state, per part."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import Conflict, Fenced, NotFounded
from quillring.quorum.acceptor.log_records import (
    AcceptRecord,
    CommitRecord,
    FoundRecord,
    HintRecord,
    HintsHandedRecord,
    InstallChunkRecord,
    InstallRecord,
    PromiseRecord,
    read_log_record,
)
from quillring.quorum.acceptor.snapshot_rows import load_rows, load_single_value, to_rows
from quillring.quorum.acceptor.snapshot_transfer import SnapshotTransfer
from quillring.quorum.acceptor.state import AcceptorState
from quillring.quorum.commands import answer_query, first_state
from quillring.quorum.identity import WrongIdentity
from quillring.quorum.messages import (
    BRIEF_WITHOUT_BATCHES,
    AcceptRequest,
    CatchUpRequest,
    CommitRequest,
    ConfirmRequest,
    FollowerReadReply,
    FollowerReadRequest,
    FoundRequest,
    ImageReply,
    ImageRequest,
    InstallRequest,
    PrepareRequest,
    QueryAnswer,
)
from quillring.quorum.parts import CONFIG
from quillring.quorum.values import group_from_wire

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from typing import Any

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine, WireMap
    from quillring.quorum.acceptor.log_records import LogRecord, PartRecord
    from quillring.quorum.messages import LeaderRequest
    from quillring.store import CheckpointedLog

FOUNDING_CALLS = ("found", "founding")
LEADERS_CALLS = ("prepare", "accept", "commit", "install", "confirm", "catch_up")
READERS_CALLS = ("image", "peek")


class Acceptors:
    """The store's side of every part; all that it answers is durable first.

    `identity` and `log` are set by whoever opens the data folder, `node` by attach().
    """

    __slots__ = (
        "node",
        "identity",
        "parts",
        "founding",
        "log",
        "hints",
        "listeners",
        "snapshot_transfer",
    )

    node: Node
    log: CheckpointedLog

    def __init__(self) -> None:
        self.identity = ""
        self.parts: dict[str, AcceptorState] = {}
        self.founding: WireMap | None = None
        self.hints: dict[str, list[WireMap]] = {}
        self.listeners: list[Callable[[str, AcceptorState], None]] = []
        self.snapshot_transfer = SnapshotTransfer(self)

    def attach(self, node: Node) -> None:
        """Join the node, whose member record carries the identity found on disk."""
        self.node = node
        for name in (*FOUNDING_CALLS, *LEADERS_CALLS, *READERS_CALLS):
            node.handle(f"quorum.{name}", getattr(self, f"on_{name}"))
        self.snapshot_transfer.attach(node)
        gossip = node.find("gossip")
        if gossip is not None:
            self.listeners.append(self._publish)
            for part, acceptor in self.parts.items():
                self._publish(part, acceptor)
            gossip.subscribe("founding", self._on_founding_news)

    def _publish(self, part: str, acceptor: AcceptorState) -> None:
        """Tell all nodes what is committed here, so that it needs no leader to be known."""
        if acceptor.state is None:
            return
        gossip = self.node.find("gossip")
        if part == CONFIG:
            self.node.find("layout").update(acceptor.applied, acceptor.state)
        elif gossip.get(f"group/{part}") != acceptor.state["group"]:
            gossip.publish(f"group/{part}", [acceptor.applied], acceptor.state["group"])

    def _on_founding_news(self, key: str, founding: WireMap) -> None:
        if self.founding is None:
            self.node.spawn(self.persist(FoundRecord(founding)))

    def rows(self) -> list[list[Any]]:
        """Return all state for a snapshot."""
        return to_rows(self)

    def load_rows(self, rows: Iterable[list[Any]]) -> None:
        """Take the state of a snapshot."""
        load_rows(self, rows)

    def load(self, snapshot: WireMap) -> None:
        """Take the state of a snapshot of the first form, which is one value."""
        load_single_value(self, snapshot)

    def replay(self, fields: list[Any]) -> None:
        """Take one record of the log, as it stands on disk."""
        self.apply(read_log_record(fields))

    def apply(self, record: LogRecord) -> None:
        """Change the memory by a record; recovery and the running store do the same here."""
        if isinstance(record, FoundRecord):
            self._apply_founding(record.founding)
        elif isinstance(record, HintRecord):
            kept = self.hints.get(record.target, ())
            self.hints = {**self.hints, record.target: [*kept, record.request]}
        elif isinstance(record, HintsHandedRecord):
            self._drop_hints(record.target, record.handed_count)
        else:
            self._apply_to_part(record)

    def _apply_founding(self, founding: WireMap) -> None:
        self.founding = founding
        for part, group in founding["groups"].items():
            if any(member.identity == self.identity for member in group_from_wire(group)):
                acceptor = self.parts.setdefault(part, AcceptorState())
                if acceptor.state is None:
                    acceptor.state = first_state(group)

    def _drop_hints(self, target: str, count: int) -> None:
        left_hints = self.hints.get(target, [])[count:]
        others = {name: kept for name, kept in self.hints.items() if name != target}
        self.hints = {**others, target: left_hints} if left_hints else others

    def _apply_to_part(self, record: PartRecord) -> None:
        acceptor = self.parts.get(record.part)
        if acceptor is None:
            acceptor = self.parts[record.part] = AcceptorState()
        acceptor.promise(record.ballot)
        if isinstance(record, AcceptRecord):
            acceptor.accept(record.ballot, record.log_index, record.batch)
        elif isinstance(record, CommitRecord):
            acceptor.apply_committed(record.ballot, record.committed)
        elif isinstance(record, InstallRecord):
            acceptor.install(record.log_index, record.state)
        elif isinstance(record, InstallChunkRecord):
            state = self.snapshot_transfer.take_chunk(record)
            if state is not None:
                acceptor.install(record.log_index, state)
        self.snapshot_transfer.drop_outdated(record.part, acceptor)

    def persist(self, *records: LogRecord) -> Coroutine:
        """Change the memory, and return once the records are durable; DiskError if they can't be.

        The records reach the disk under one sync.
        """
        for record in records:
            self.apply(record)
        yield from self.log.commit([record.to_disk() for record in records])

    def check_ballot(self, request: LeaderRequest) -> AcceptorState:
        """Return what is held of the part of a request that this store may follow.

        Raises WrongIdentity for a former self, Fenced when a higher ballot was promised, and the
        DiskError of a disk that takes nothing.
        """
        self._check_identity(request.identity)
        if self.log.error is not None:
            raise self.log.error
        acceptor = self.parts.get(request.part) or AcceptorState()
        if request.ballot < acceptor.promised:
            raise Fenced(part=request.part, ballot=acceptor.promised.to_wire())
        return acceptor

    def _check_identity(self, identity: str) -> None:
        if identity != self.identity:
            raise WrongIdentity(store=self.node.me.name, identity=self.identity)

    def on_found(self, body: WireMap, origin: str) -> Coroutine:
        """Take the founding record; another founding is answered with a conflict."""
        request = FoundRequest.from_wire(body)
        if self.founding is None:
            self._check_identity(request.identity)
            yield from self.persist(FoundRecord(request.founding))
        elif self.founding["fleet"] != request.founding["fleet"]:
            raise Conflict(founding=self.founding)
        return (self.founding or request.founding)["fleet"]

    def on_founding(self, body: Any, origin: str) -> WireMap | None:
        """Tell which founding this store holds, or None."""
        return self.founding

    def on_prepare(self, body: WireMap, origin: str) -> Coroutine:
        """Promise a ballot and tell what was accepted."""
        request = PrepareRequest.from_wire(body)
        self.check_ballot(request)
        yield from self.persist(PromiseRecord(request.part, request.ballot))
        acceptor = self.parts[request.part]
        if acceptor.promised != request.ballot:
            raise Fenced(part=request.part, ballot=acceptor.promised.to_wire())
        promise = acceptor.to_promise()
        if request.brief:
            promise = promise.brief(has_batches=request.brief != BRIEF_WITHOUT_BATCHES)
        return promise.to_wire()

    def on_catch_up(self, body: WireMap, origin: str) -> Coroutine:
        """Accept all the entries that this store missed, and apply them."""
        request = CatchUpRequest.from_wire(body)
        self.check_ballot(request)
        part, ballot = request.part, request.ballot
        records = [AcceptRecord(part, ballot, index, batch) for index, batch in request.entries]
        yield from self.persist(*records, CommitRecord(part, ballot, request.committed))
        return self.notify_listeners(part)

    def on_accept(self, body: WireMap, origin: str) -> Coroutine:
        """Accept an entry of the ballot, and apply what its leader says is committed."""
        request = AcceptRequest.from_wire(body)
        self.check_ballot(request)
        yield from self.persist(
            AcceptRecord(request.part, request.ballot, request.log_index, request.batch),
            CommitRecord(request.part, request.ballot, request.committed),
        )
        return self.notify_listeners(request.part)

    def on_commit(self, body: WireMap, origin: str) -> Coroutine:
        """Mark entries of the ballot as committed, durably."""
        request = CommitRequest.from_wire(body)
        acceptor = self.check_ballot(request)
        is_known = acceptor.promised == request.ballot and acceptor.applied >= request.committed
        if is_known and self.log.is_idle:
            return acceptor.applied
        yield from self.persist(CommitRecord(request.part, request.ballot, request.committed))
        return self.notify_listeners(request.part)

    def on_install(self, body: WireMap, origin: str) -> Coroutine:
        """Take the leader's whole state of a part in place of missed entries."""
        request = InstallRequest.from_wire(body)
        self.check_ballot(request)
        yield from self.persist(
            InstallRecord(request.part, request.ballot, request.log_index, request.state)
        )
        return self.notify_listeners(request.part)

    def on_confirm(self, body: WireMap, origin: str) -> bool:
        """Tell a leader that no higher ballot was promised here; writes nothing."""
        request = ConfirmRequest.from_wire(body)
        acceptor = self.check_ballot(request)
        if acceptor.promised != request.ballot:
            raise Fenced(part=request.part, ballot=acceptor.promised.to_wire())
        return True

    def on_image(self, body: WireMap, origin: str) -> list[Any]:
        """Give the applied state of a part to any reader."""
        request = ImageRequest.from_wire(body)
        acceptor = self.parts.get(request.part)
        if acceptor is None or acceptor.state is None:
            raise NotFounded(part=request.part, store=self.node.me.name)
        return ImageReply(acceptor.applied, acceptor.state).to_wire()

    def on_peek(self, body: WireMap, origin: str) -> Coroutine:
        """Answer a query from the applied state, with what may be chosen beyond it.

        What was accepted is told of only once it is durable.
        """
        request = FollowerReadRequest.from_wire(body)
        acceptor = self.parts.get(request.part)
        if acceptor is None or acceptor.state is None:
            raise NotFounded(part=request.part, store=self.node.me.name)
        self._check_identity(request.identity)
        reply = FollowerReadReply(
            acceptor.applied,
            acceptor.state["group"],
            acceptor.uncommitted_lots(),
            QueryAnswer(*answer_query(acceptor.state, request.query)),
        )
        if not request.wants_uncommitted:
            return reply.to_wire()
        reply = reply._replace(uncommitted=acceptor.uncommitted_answers(request.query))
        is_durable = self.log.is_idle and self.log.error is None
        if reply.uncommitted and not is_durable:
            yield from self.log.commit([])
        return reply.to_wire()

    def stamp(self) -> list[Any] | None:
        """Return the config part's ballot and committed index, None if no member can give it."""
        acceptor = self.parts.get(CONFIG)
        if acceptor is None or self.log.error is not None:
            return None
        if not acceptor.has_member(self.identity):
            return None
        return [acceptor.promised.to_wire(), acceptor.committed, self.identity]

    def notify_listeners(self, part: str) -> int:
        """Tell the listeners what is committed in a part; return the index applied."""
        for listener in self.listeners:
            listener(part, self.parts[part])
        return self.parts[part].applied
