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
from typing import TYPE_CHECKING

import cbor2

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import Conflict, Fenced, NoMajority, QuillringError, Refused
from quillring.quorum.founding.messages import (
    Vote,
    VoteAcceptRequest,
    VotePrepareRequest,
    VotePromise,
)
from quillring.quorum.values import NO_BALLOT, Ballot

if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import Any

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine, WireMap
    from quillring.store.disk import Disk

FILES = ("founding.0", "founding.1")
CHECKSUM_BYTES = 4


class FoundingVoter:
    """A seed's side: promises and accepts, each kept before it is answered.

    `witness` is the name of the store that keeps the vote, None where it is held in memory.
    `ballot_number` is the highest one that this node used or heard of.
    """

    __slots__ = ("node", "witness", "is_first_start", "vote", "ballot_number")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.witness: str | None = None
        self.is_first_start = False
        self.vote = Vote()
        self.ballot_number = 0
        node.handle("founding.prepare", self.on_prepare)
        node.handle("founding.accept", self.on_accept)

    def on_prepare(self, body: WireMap, origin: str) -> Coroutine:
        """Promise a ballot; return the ballot and the record accepted before, if any."""
        request = VotePrepareRequest.from_wire(body)
        vote = yield from self._recall()
        _check_ballot(vote, request.ballot)
        yield from self._keep(vote, vote._replace(promised=request.ballot))
        return VotePromise(vote.accepted, vote.founding).to_wire()

    def on_accept(self, body: WireMap, origin: str) -> Coroutine:
        """Accept a record unless a higher ballot was promised."""
        request = VoteAcceptRequest.from_wire(body)
        vote = yield from self._recall()
        ballot = request.ballot
        _check_ballot(vote, ballot)
        yield from self._keep(
            vote, vote._replace(promised=ballot, accepted=ballot, founding=request.founding)
        )
        return True

    def register_first_start(self) -> Coroutine:
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
        """Return this seed's vote; Refused when a former life's may be lost."""
        vote = self.vote
        if self.witness is not None:
            kept = yield from self.node.call(self.witness, "founding.recall", None)
            vote = Vote() if kept is None else Vote.from_wire(kept)
        if not vote.number and not self.is_first_start:
            raise Refused(reason="a former vote may be lost")
        return vote

    def _keep(self, former: Vote, vote: Vote) -> Coroutine:
        """Keep a vote in place of the former one; Conflict when another came between."""
        vote = vote._replace(number=former.number + 1)
        if self.witness is not None:
            yield from self.node.call(self.witness, "founding.keep", vote.to_wire())
        elif self.vote.number != former.number:
            raise Conflict(reason="the vote has changed")
        self.vote = vote

    def next_ballot(self) -> Ballot:
        """Return a ballot of this node that is higher than all it used or heard of."""
        self.ballot_number += 1
        return Ballot(self.ballot_number, f"{self.node.me.name}#{self.node.me.incarnation}")

    def note_ballots(self, ballots: list[Ballot]) -> None:
        """Take note of ballots that other founders use."""
        self.ballot_number = max(self.ballot_number, *(int(ballot.number) for ballot in ballots))


def _check_ballot(vote: Vote, ballot: Ballot) -> None:
    """Raise Fenced when a higher ballot was promised."""
    if ballot < vote.promised:
        raise Fenced(part="founding", ballot=vote.promised.to_wire())


class Witness:
    """A store's side: it keeps the vote of the seed on its machine, in two alternating files.

    A file is the CRC-32 of the vote in four bytes, then the vote in CBOR.
    """

    __slots__ = ("node", "disk")

    def __init__(self, node: Node, disk: Disk) -> None:
        self.node = node
        self.disk = disk
        node.handle("founding.recall", self.on_recall)
        node.handle("founding.keep", self.on_keep)

    def on_recall(self, body: Any, origin: str) -> list[Any] | None:
        """Return the newest vote that is kept, or None."""
        vote = self._newest()
        return None if vote is None else vote.to_wire()

    def on_keep(self, body: Sequence[Any], origin: str) -> bool:
        """Keep a vote durably if it is the next one; a torn file leaves the former vote."""
        vote, kept = Vote.from_wire(body), self._newest()
        if vote.number != (0 if kept is None else kept.number) + 1:
            raise Conflict(reason="the vote has changed")
        data = cbor2.dumps(vote.to_wire())
        checksum = zlib.crc32(data).to_bytes(CHECKSUM_BYTES, "big")
        self.disk.write(FILES[vote.number % 2], checksum + data)
        return True

    def _newest(self) -> Vote | None:
        votes = [vote for vote in map(self._read, FILES) if vote is not None]
        return max(votes, key=lambda vote: vote.number, default=None)

    def _read(self, name: str) -> Vote | None:
        """Return the vote in a file, or None when it is missing or torn."""
        data = self.disk.read(name)
        if not data or len(data) < CHECKSUM_BYTES:
            return None
        checksum, body = data[:CHECKSUM_BYTES], data[CHECKSUM_BYTES:]
        if zlib.crc32(body) != int.from_bytes(checksum, "big"):
            return None
        return Vote.from_wire(cbor2.loads(body))


def agree_on_founding(node: Node, founding: WireMap) -> Coroutine:
    """Have a majority of the seeds choose a founding record; return the one chosen.

    Raises Fenced or NoMajority; then nothing, this record or another one may come to be chosen.
    """
    ballot = node.find("elector").next_ballot()
    request = VotePrepareRequest(ballot)
    answers = yield from _ask_seeds(node, "founding.prepare", request.to_wire())
    promises = [VotePromise.from_wire(answer) for answer in answers]
    highest = max(promises, key=lambda promise: promise.accepted)
    if highest.accepted > NO_BALLOT and highest.founding is not None:
        founding = highest.founding
    yield from _ask_seeds(node, "founding.accept", VoteAcceptRequest(ballot, founding).to_wire())
    return founding


def _ask_seeds(node: Node, service: str, body: WireMap) -> Coroutine:
    """Ask all seeds; return the answers of a majority of them."""
    addresses, roster = set(node.find("nifty").seeds), node.find("nifty").roster
    names = {name for at in addresses for name in roster.addresses.get(tuple(at), ())[-1:]}
    need = len(addresses) // 2 + 1
    calls = [(name, service, body) for name in sorted(names)]
    replies = yield from node.gather(calls, need, node.bounds.propagation)
    answers = [r for r in replies.values() if not isinstance(r, QuillringError)]
    fences = [r for r in replies.values() if isinstance(r, Fenced)]
    if fences:
        ballots = [Ballot.from_wire(fence.detail["ballot"]) for fence in fences]
        node.find("elector").note_ballots(ballots)
    if len(answers) < need:
        raise NoMajority(part="founding", heard=len(answers), needed=need)
    return answers
