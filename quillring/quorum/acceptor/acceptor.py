"""The acceptors on a store machine: promises, accepted entries, applied state, per part."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import Conflict, Fenced, NotFounded
from quillring.quorum.acceptor.snapshot_rows import load_rows, load_whole, to_rows
from quillring.quorum.acceptor.snapshot_transfer import SnapshotTransfer
from quillring.quorum.acceptor.state import AcceptorState
from quillring.quorum.commands import answer_query, first_state
from quillring.quorum.identity import WrongIdentity
from quillring.quorum.messages import BRIEF_WITHOUT_BATCHES
from quillring.quorum.parts import CONFIG

if TYPE_CHECKING:
    from collections.abc import Iterable
    from typing import Any

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.quorum.values import Ballot

FOUNDING_CALLS = ("found", "founding")
OWNERS_CALLS = ("prepare", "accept", "commit", "install", "confirm", "catch_up")
READERS_CALLS = ("image", "peek")


class Acceptors:
    """The store's side of every part; all that it answers is durable first."""

    __slots__ = (
        "node",
        "identity",
        "parts",
        "founding",
        "slots",
        "hints",
        "listeners",
        "transfers",
    )

    def __init__(self) -> None:
        self.node = None
        self.identity = None
        self.parts = {}
        self.founding = None
        self.slots = None
        self.hints = {}
        self.listeners = []
        self.transfers = SnapshotTransfer(self)

    def attach(self, node: Node) -> None:
        """Join the node, whose member record carries the identity found on disk."""
        self.node = node
        for name in (*FOUNDING_CALLS, *OWNERS_CALLS, *READERS_CALLS):
            node.handle(f"quorum.{name}", getattr(self, f"on_{name}"))
        self.transfers.attach(node)
        gossip = node.find("gossip")
        if gossip is not None:
            self.listeners.append(self._publish)
            for part, record in self.parts.items():
                self._publish(part, record)
            gossip.subscribe("founding", self._on_founding_news)

    def _publish(self, part: str, record: AcceptorState):
        """Tell all nodes what is committed here, so that it needs no owner to be known."""
        if record.state is None:
            return
        gossip = self.node.find("gossip")
        if part == CONFIG:
            self.node.find("layout").update(record.applied, record.state)
        elif gossip.get(f"group/{part}") != record.state["group"]:
            gossip.publish(f"group/{part}", [record.applied], record.state["group"])

    def _on_founding_news(self, key: str, founding: dict):
        if self.founding is None:
            self.node.spawn(self.keep(["found", founding]))

    def rows(self) -> list[list]:
        """Return all state for a slot."""
        return to_rows(self)

    def load_rows(self, rows: Iterable[list]) -> None:
        """Take the state of a slot."""
        load_rows(self, rows)

    def load(self, snapshot: dict) -> None:
        """Take the state of a slot of the version before, which is one value."""
        load_whole(self, snapshot)

    def replay(self, record: list) -> None:
        """Take one log record; the running store changes its memory by the same function."""
        verb, part, *rest = record
        if verb == "found":
            self.founding = part
            for name, group in part["groups"].items():
                if any(store[1] == self.identity for store in group):
                    part_record = self.parts.setdefault(name, AcceptorState())
                    if part_record.state is None:
                        part_record.state = first_state(group)
            return
        if verb == "hint":
            self.hints = {**self.hints, part: [*self.hints.get(part, ()), rest[0]]}
            return
        if verb == "handed":
            left_hints = self.hints.get(part, [])[rest[0] :]
            others = {name: kept for name, kept in self.hints.items() if name != part}
            self.hints = {**others, part: left_hints} if left_hints else others
            return
        part_record = self.parts.setdefault(part, AcceptorState())
        ballot = tuple(rest[0])
        part_record.replay(verb, ballot, rest[1:])
        if verb == "piece":
            state = self.transfers.take(part, ballot, *rest[1:])
            if state is not None:
                part_record.install(rest[1], state)
        self.transfers.forget(part, part_record)

    def keep(self, record: list) -> Coroutine:
        """Coroutine: change the memory, and return once the record is durable."""
        self.replay(record)
        yield from self.slots.commit([record])

    def check(self, body: dict) -> tuple[AcceptorState, Ballot]:
        """Return (record of the part, ballot) of a call that this store may follow, or raise."""
        if body["identity"] != self.identity:
            raise WrongIdentity(store=self.node.me.name, identity=self.identity)
        if self.slots.error is not None:
            raise self.slots.error
        part_record = self.parts.get(body["part"]) or AcceptorState()
        ballot = tuple(body["ballot"])
        if ballot < part_record.promised:
            raise Fenced(part=body["part"], ballot=list(part_record.promised))
        return part_record, ballot

    def on_found(self, body: dict, origin: str) -> Coroutine:
        """Take the founding record; another founding is answered with a conflict."""
        if self.founding is None:
            if body["identity"] != self.identity:
                raise WrongIdentity(store=self.node.me.name, identity=self.identity)
            yield from self.keep(["found", body["founding"]])
        elif self.founding["fleet"] != body["founding"]["fleet"]:
            raise Conflict(founding=self.founding)
        return self.founding["fleet"]

    def on_founding(self, body: Any, origin: str) -> dict | None:
        """Tell which founding this store holds, or None."""
        return self.founding

    def on_prepare(self, body: dict, origin: str) -> Coroutine:
        """Promise a ballot and tell what was accepted."""
        _, ballot = self.check(body)
        yield from self.keep(["promise", body["part"], list(ballot)])
        part_record = self.parts[body["part"]]
        if part_record.promised != ballot:
            raise Fenced(part=body["part"], ballot=list(part_record.promised))
        promise = part_record.to_promise()
        if body.get("brief"):
            promise = promise.brief(has_batches=body["brief"] != BRIEF_WITHOUT_BATCHES)
        return promise.to_list()

    def on_catch_up(self, body: dict, origin: str) -> Coroutine:
        """Accept all the entries that this store missed, and apply them."""
        self.check(body)
        part, ballot = body["part"], list(body["ballot"])
        records = [["accept", part, ballot, index, batch] for index, batch in body["entries"]]
        records.append(["commit", part, ballot, body["committed"]])
        for record in records:
            self.replay(record)
        yield from self.slots.commit(records)
        return self.tell(part)

    def on_accept(self, body: dict, origin: str) -> Coroutine:
        """Accept an entry of the ballot, and apply what its owner says is committed."""
        _, ballot = self.check(body)
        record = ["accept", body["part"], list(ballot), body["index"], body["batch"]]
        commit_record = ["commit", body["part"], list(ballot), body["committed"]]
        self.replay(record)
        self.replay(commit_record)
        yield from self.slots.commit([record, commit_record])
        return self.tell(body["part"])

    def on_commit(self, body: dict, origin: str) -> Coroutine:
        """Mark entries of the ballot as committed, durably."""
        part_record, ballot = self.check(body)
        is_known = part_record.promised == ballot and part_record.applied >= body["committed"]
        if is_known and self.slots.is_idle:
            return part_record.applied
        yield from self.keep(["commit", body["part"], list(body["ballot"]), body["committed"]])
        return self.tell(body["part"])

    def on_install(self, body: dict, origin: str) -> Coroutine:
        """Take the owner's whole state of a part in place of missed entries."""
        self.check(body)
        fields = [list(body["ballot"]), body["index"], body["state"]]
        yield from self.keep(["install", body["part"], *fields])
        return self.tell(body["part"])

    def on_confirm(self, body: dict, origin: str) -> bool:
        """Tell an owner that no higher ballot was promised here; writes nothing."""
        part_record, ballot = self.check(body)
        if part_record.promised != ballot:
            raise Fenced(part=body["part"], ballot=list(part_record.promised))
        return True

    def on_image(self, body: dict, origin: str) -> list:
        """Give the applied state of a part to any reader."""
        part_record = self.parts.get(body["part"])
        if part_record is None or part_record.state is None:
            raise NotFounded(part=body["part"], store=self.node.me.name)
        return [part_record.applied, part_record.state]

    def on_peek(self, body: dict, origin: str) -> Coroutine:
        """Coroutine: answer a query from the applied state, with what may be chosen beyond it."""
        part_record = self.parts.get(body["part"])
        if part_record is None or part_record.state is None:
            raise NotFounded(part=body["part"], store=self.node.me.name)
        if body["identity"] != self.identity:
            raise WrongIdentity(store=self.node.me.name, identity=self.identity)
        known = [
            part_record.applied,
            part_record.state["group"],
            part_record.lots_beyond(),
            *answer_query(part_record.state, body["query"]),
        ]
        if body.get("beyond"):
            known.append(part_record.answers_beyond(body["query"]))
            if known[-1] and not (self.slots.is_idle and self.slots.error is None):
                yield from self.slots.commit([])
        return known

    def stamp(self) -> list | None:
        """Return the config part's ballot and committed index, None if no member can give it."""
        config_record = self.parts.get(CONFIG)
        is_silent = config_record is None or self.slots.error is not None
        if is_silent or not config_record.has_member(self.identity):
            return None
        return [list(config_record.promised), config_record.committed, self.identity]

    def tell(self, part: str) -> int:
        """Tell the listeners what is committed in a part; return the index applied."""
        for listener in self.listeners:
            listener(part, self.parts[part])
        return self.parts[part].applied
