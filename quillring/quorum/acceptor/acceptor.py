"""The Paxos acceptors of a store: one per part, which share one log on disk."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import Conflict, Fenced, NotFounded
from quillring.quorum.acceptor.log_records import (
    AcceptRecord,
    CommitRecord,
    FoundRecord,
    HintRecord,
    HintsDeliveredRecord,
    InstallChunkRecord,
    InstallRecord,
    PromiseRecord,
    read_log_record,
)
from quillring.quorum.acceptor.snapshot_rows import load_legacy_checkpoint, load_rows, to_rows
from quillring.quorum.acceptor.snapshot_transfer import SnapshotTransfer
from quillring.quorum.acceptor.state import AcceptorState
from quillring.quorum.commands import answer_query, initial_state
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
from quillring.quorum.parts import CONFIG_PART
from quillring.quorum.values import group_from_wire

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from typing import Any

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine, WireMap
    from quillring.quorum.acceptor.log_records import LogRecord, PartRecord
    from quillring.quorum.messages import LeaderRequest
    from quillring.store import CheckpointedLog

FOUNDING_SERVICES = ("found", "founding")
LEADER_SERVICES = ("prepare", "accept", "commit", "install", "confirm", "catch_up")
READ_SERVICES = ("image", "peek")


class Acceptors:
    """The acceptors of one store; promises and accepted entries are durable before the reply.

    Owns the acceptor state of each part, the founding record, the hints for other stores, and the
    log that makes them durable. `identity` and `log` are set by the code that opens the data
    folder, `node` by attach(). Each listener is called with a part and its acceptor state after
    every update by the part's leader.
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
        """Register the services on a node, and publish the state by gossip if the node has it.

        The node's member record must have the identity that was read from disk.
        """
        self.node = node
        for name in (*FOUNDING_SERVICES, *LEADER_SERVICES, *READ_SERVICES):
            node.handle(f"quorum.{name}", getattr(self, f"on_{name}"))
        self.snapshot_transfer.attach(node)
        gossip = node.find("gossip")
        if gossip is not None:
            self.listeners.append(self._publish)
            for part, acceptor in self.parts.items():
                self._publish(part, acceptor)
            gossip.subscribe("founding", self._on_gossiped_founding)

    def _publish(self, part: str, acceptor: AcceptorState) -> None:
        """Publish the committed group or configuration by gossip, so that no leader is asked."""
        if acceptor.state is None:
            return
        gossip = self.node.find("gossip")
        if part == CONFIG_PART:
            self.node.find("layout").update(acceptor.applied, acceptor.state)
        elif gossip.get(f"group/{part}") != acceptor.state["group"]:
            gossip.publish(f"group/{part}", [acceptor.applied], acceptor.state["group"])

    def _on_gossiped_founding(self, key: str, founding: WireMap) -> None:
        """Store a founding record received by gossip, unless this store already has one."""
        if self.founding is None:
            self.node.spawn(self.persist(FoundRecord(founding)))

    def rows(self) -> list[list[Any]]:
        """Return the complete state as immutable rows, for a checkpoint."""
        return to_rows(self)

    def load_rows(self, rows: Iterable[list[Any]]) -> None:
        """Replace the state by the rows of a checkpoint."""
        load_rows(self, rows)

    def load(self, snapshot: WireMap) -> None:
        """Replace the state by a checkpoint of the first format, which is a single value."""
        load_legacy_checkpoint(self, snapshot)

    def replay(self, fields: list[Any]) -> None:
        """Apply one log record, given in its form on disk; used in recovery."""
        self.apply(read_log_record(fields))

    def apply(self, record: LogRecord) -> None:
        """Apply a record to the state in memory, both in recovery and in operation."""
        if isinstance(record, FoundRecord):
            self._apply_founding(record.founding)
        elif isinstance(record, HintRecord):
            previous_hints = self.hints.get(record.target, ())
            self.hints = {**self.hints, record.target: [*previous_hints, record.request]}
        elif isinstance(record, HintsDeliveredRecord):
            self._drop_hints(record.target, record.delivered_count)
        else:
            self._apply_to_part(record)

    def _apply_founding(self, founding: WireMap) -> None:
        """Set the founding record, and the initial state of each part this store replicates."""
        self.founding = founding
        for part, group in founding["groups"].items():
            if any(member.identity == self.identity for member in group_from_wire(group)):
                acceptor = self.parts.setdefault(part, AcceptorState())
                if acceptor.state is None:
                    acceptor.state = initial_state(group)

    def _drop_hints(self, target: str, count: int) -> None:
        """Remove the oldest `count` hints for a store."""
        remaining = self.hints.get(target, [])[count:]
        others = {name: requests for name, requests in self.hints.items() if name != target}
        self.hints = {**others, target: remaining} if remaining else others

    def _apply_to_part(self, record: PartRecord) -> None:
        """Apply a record to its part's acceptor state; it also promises the record's ballot."""
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
            state = self.snapshot_transfer.add_chunk(record)
            if state is not None:
                acceptor.install(record.log_index, state)
        self.snapshot_transfer.drop_outdated(record.part, acceptor)

    def persist(self, *records: LogRecord) -> Coroutine:
        """Apply records in memory, and return once they are durable; raises DiskError.

        All records are written with one sync. After a DiskError the state in memory stays changed.
        """
        for record in records:
            self.apply(record)
        yield from self.log.commit([record.to_disk() for record in records])

    def check_ballot(self, request: LeaderRequest) -> AcceptorState:
        """Check a leader's request, and return the acceptor state of its part.

        Raises WrongIdentity if the request is for an earlier identity of this store, Fenced if a
        higher ballot is promised, and DiskError while writes to the disk fail.
        """
        self._check_identity(request.identity)
        if self.log.error is not None:
            raise self.log.error
        acceptor = self.parts.get(request.part) or AcceptorState()
        if request.ballot < acceptor.promised:
            raise Fenced(part=request.part, ballot=acceptor.promised.to_wire())
        return acceptor

    def _check_identity(self, identity: str) -> None:
        """Raise WrongIdentity unless a request is for this store's current identity."""
        if identity != self.identity:
            raise WrongIdentity(store=self.node.me.name, identity=self.identity)

    def on_found(self, body: WireMap, origin: str) -> Coroutine:
        """Store the founding record durably, unless one is stored; return the fleet's id.

        Raises WrongIdentity, or Conflict if this store has the founding record of another fleet.
        """
        request = FoundRequest.from_wire(body)
        if self.founding is None:
            self._check_identity(request.identity)
            yield from self.persist(FoundRecord(request.founding))
        elif self.founding["fleet"] != request.founding["fleet"]:
            raise Conflict(founding=self.founding)
        return (self.founding or request.founding)["fleet"]

    def on_founding(self, body: Any, origin: str) -> WireMap | None:
        """Return the founding record, or None if this store has none."""
        return self.founding

    def on_prepare(self, body: WireMap, origin: str) -> Coroutine:
        """Promise a ballot durably (phase 1b); return the Promise, with the accepted entries."""
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
        """Accept and apply the entries that this store missed; return the applied index."""
        request = CatchUpRequest.from_wire(body)
        self.check_ballot(request)
        part, ballot = request.part, request.ballot
        records = [AcceptRecord(part, ballot, index, batch) for index, batch in request.entries]
        yield from self.persist(*records, CommitRecord(part, ballot, request.committed))
        return self.notify_listeners(part)

    def on_accept(self, body: WireMap, origin: str) -> Coroutine:
        """Accept an entry durably (phase 2b), and apply the entries that the leader committed.

        Return the applied index.
        """
        request = AcceptRequest.from_wire(body)
        self.check_ballot(request)
        yield from self.persist(
            AcceptRecord(request.part, request.ballot, request.log_index, request.batch),
            CommitRecord(request.part, request.ballot, request.committed),
        )
        return self.notify_listeners(request.part)

    def on_commit(self, body: WireMap, origin: str) -> Coroutine:
        """Durably commit and apply entries accepted under the ballot; return the applied index.

        Writes nothing if the entries are already applied and durable.
        """
        request = CommitRequest.from_wire(body)
        acceptor = self.check_ballot(request)
        is_applied = acceptor.promised == request.ballot and acceptor.applied >= request.committed
        if is_applied and self.log.is_idle:
            return acceptor.applied
        yield from self.persist(CommitRecord(request.part, request.ballot, request.committed))
        return self.notify_listeners(request.part)

    def on_install(self, body: WireMap, origin: str) -> Coroutine:
        """Install a part's complete state, sent by the leader in place of missed entries.

        Return the applied index.
        """
        request = InstallRequest.from_wire(body)
        self.check_ballot(request)
        yield from self.persist(
            InstallRecord(request.part, request.ballot, request.log_index, request.state)
        )
        return self.notify_listeners(request.part)

    def on_confirm(self, body: WireMap, origin: str) -> bool:
        """Return True if the leader's ballot is the highest promised here, else raise Fenced.

        Writes nothing to disk.
        """
        request = ConfirmRequest.from_wire(body)
        acceptor = self.check_ballot(request)
        if acceptor.promised != request.ballot:
            raise Fenced(part=request.part, ballot=acceptor.promised.to_wire())
        return True

    def on_image(self, body: WireMap, origin: str) -> list[Any]:
        """Return the applied index and state of a part; raises NotFounded if it has no state."""
        request = ImageRequest.from_wire(body)
        acceptor = self.parts.get(request.part)
        if acceptor is None or acceptor.state is None:
            raise NotFounded(part=request.part, store=self.node.me.name)
        return ImageReply(acceptor.applied, acceptor.state).to_wire()

    def on_peek(self, body: WireMap, origin: str) -> Coroutine:
        """Answer a follower read: a query on the applied state and after each accepted entry.

        The reply is sent once those entries are durable. Raises NotFounded, WrongIdentity or
        DiskError.
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
        """Return [promised ballot, committed index, identity] of the config part.

        None if this store is not a member of that part, or while writes to its disk fail.
        """
        acceptor = self.parts.get(CONFIG_PART)
        if acceptor is None or self.log.error is not None:
            return None
        if not acceptor.has_member(self.identity):
            return None
        return [acceptor.promised.to_wire(), acceptor.committed, self.identity]

    def notify_listeners(self, part: str) -> int:
        """Call the listeners with a part's acceptor state; return the applied index."""
        for listener in self.listeners:
            listener(part, self.parts[part])
        return self.parts[part].applied
