"""The one founding record that the seeds agree on: single-decree Paxos with the seeds as acceptors.

At the first start all nodes are told the same three seeds (or fewer) and nothing else of each
other, so a majority of the seeds is the only thing that two sides of a cut cannot both have. A
founder proposes a record under a ballot, and takes over the record that any seed of its majority
has accepted. Source: Lamport, "Paxos made simple", section 2.2.

A seed's vote outlives its process in a witness, the store on the same machine, if the settings name
one. A seed without one holds its vote in memory; then it votes only in a life that is the first
start, since another life may have forgotten what it promised.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, NamedTuple

import cbor2

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import Conflict, Fenced, NoMajority, QuillringError, Refused

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.store import FolderDisk

FILES = ("founding.0", "founding.1")
NO_BALLOT = (0, "")


class Vote(NamedTuple):
    """What one seed promised and accepted; `number` counts its changes."""

    number: int = 0
    promised: tuple = NO_BALLOT
    accepted: tuple = NO_BALLOT
    founding: dict | None = None

    @classmethod
    def from_list(cls, fields: list) -> Vote:
        """Read a vote from a message or a file."""
        number, promised, accepted, founding = fields
        return cls(number, tuple(promised), tuple(accepted), founding)


class FoundingVoter:
    """A seed's side: promises and accepts, each kept before it is answered."""

    __slots__ = ("node", "witness", "is_first_start", "vote", "attempt")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.witness = None
        self.is_first_start = False
        self.vote = Vote()
        self.attempt = 0
        node.handle("founding.prepare", self.on_prepare)
        node.handle("founding.accept", self.on_accept)

    def on_prepare(self, body: dict, origin: str) -> Coroutine:
        """Coroutine: promise a ballot; return the ballot and the record accepted before, if any."""
        vote, ballot = (yield from self._recall()), tuple(body["ballot"])
        if ballot < vote.promised:
            raise Fenced(part="founding", ballot=list(vote.promised))
        yield from self._keep(vote, vote._replace(promised=ballot))
        return [list(vote.accepted), vote.founding]

    def on_accept(self, body: dict, origin: str) -> Coroutine:
        """Coroutine: accept a record unless a higher ballot was promised."""
        vote, ballot = (yield from self._recall()), tuple(body["ballot"])
        if ballot < vote.promised:
            raise Fenced(part="founding", ballot=list(vote.promised))
        yield from self._keep(
            vote, vote._replace(promised=ballot, accepted=ballot, founding=body["founding"])
        )
        return True

    def begin(self) -> Coroutine:
        """At the first start, have the witness know of it, so that later lives may vote."""
        if not self.is_first_start or self.witness is None:
            return
        while True:
            try:
                vote = yield from self._recall()
                if not vote.number:
                    yield from self._keep(vote, vote)
                return
            except QuillringError as error:
                self.node.log("debug", "founding: witness: %s", error)
            yield Sleep(self.node.bounds.heartbeat_interval / 4)

    def _recall(self) -> Coroutine:
        """Coroutine: return this seed's vote; Refused when a former life's may be lost."""
        vote = self.vote
        if self.witness is not None:
            kept = yield from self.node.call(self.witness, "founding.recall", None)
            vote = Vote() if kept is None else Vote.from_list(kept)
        if not vote.number and not self.is_first_start:
            raise Refused(reason="a former vote may be lost")
        return vote

    def _keep(self, former: Vote, vote: Vote) -> Coroutine:
        """Coroutine: keep a vote in place of the former one; Conflict when another came between."""
        vote = vote._replace(number=former.number + 1)
        if self.witness is not None:
            yield from self.node.call(self.witness, "founding.keep", list(vote))
        elif self.vote.number != former.number:
            raise Conflict(reason="the vote has changed")
        self.vote = vote


class Witness:
    """A store's side: it keeps the vote of the seed on its machine, in two files in turn."""

    __slots__ = ("node", "disk")

    def __init__(self, node: Node, disk: FolderDisk) -> None:
        self.node = node
        self.disk = disk
        node.handle("founding.recall", self.on_recall)
        node.handle("founding.keep", self.on_keep)

    def on_recall(self, body: Any, origin: str) -> list | None:
        """Return the newest vote that is kept, or None."""
        return max(filter(None, map(self._read, FILES)), default=None, key=lambda vote: vote[0])

    def on_keep(self, body: list, origin: str) -> bool:
        """Keep a vote durably if it is the next one; a torn file leaves the former vote."""
        kept = self.on_recall(None, origin)
        if body[0] != (kept[0] if kept else 0) + 1:
            raise Conflict(reason="the vote has changed")
        data = cbor2.dumps(body)
        self.disk.write(FILES[body[0] % 2], zlib.crc32(data).to_bytes(4, "big") + data)
        return True

    def _read(self, name: str):
        data = self.disk.read(name)
        if not data or len(data) < 4 or zlib.crc32(data[4:]) != int.from_bytes(data[:4], "big"):
            return None
        return cbor2.loads(data[4:])


def agree(node: Node, founding: dict) -> Coroutine:
    """Coroutine: have a majority of the seeds choose a founding record; return the one chosen.

    Raises Fenced or NoMajority; then nothing, this record or another one may come to be chosen.
    """
    elector = node.find("elector")
    elector.attempt += 1
    ballot = [elector.attempt, f"{node.me.name}#{node.me.incarnation}"]
    promises = yield from _ask_seeds(node, "founding.prepare", {"ballot": ballot})
    accepted, record = max(promises, key=lambda promise: tuple(promise[0]))
    if tuple(accepted) > NO_BALLOT:
        founding = record
    yield from _ask_seeds(node, "founding.accept", {"ballot": ballot, "founding": founding})
    return founding


def _ask_seeds(node: Node, service: str, body: dict) -> Coroutine:
    """Coroutine: ask all seeds; return the answers of a majority of them."""
    addresses, roster = set(node.find("nifty").seeds), node.find("nifty").roster
    names = {name for at in addresses for name in roster.addresses.get(tuple(at), ())[-1:]}
    need = len(addresses) // 2 + 1
    calls = [(name, service, body) for name in sorted(names)]
    replies = yield from node.gather(calls, need, node.bounds.propagation)
    answers = [r for r in replies.values() if not isinstance(r, QuillringError)]
    fences = [r.detail["ballot"] for r in replies.values() if isinstance(r, Fenced)]
    if fences:
        elector = node.find("elector")
        elector.attempt = max(elector.attempt, *(int(ballot[0]) for ballot in fences))
    if len(answers) < need:
        raise NoMajority(part="founding", heard=len(answers), needed=need)
    return answers
