"""The one founding record that the seeds agree on: single-decree Paxos with the seeds as acceptors.

At the first start the settings of all nodes name the same three seeds (or fewer), and nothing else
is known in common, so a majority of the seeds is what two sides of a partition cannot both have. A
founder proposes a record under a ballot, and adopts the record that a seed of its majority accepted
under the highest ballot. Source: Lamport, "Paxos made simple", section 2.2.

A seed's vote outlives its process in a witness, the store on the same machine, if the settings name
one. A seed without one has its vote in memory only; then it votes only in the incarnation of its
first start, since a later one may have forgotten what it promised.
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
    """A seed's acceptor: promises and accepts, each stored before the reply.

    `witness` is the name of the store that keeps the vote, None where it is in memory only.
    `ballot_number` is the highest number that this node used, or was refused by, as a proposer.
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
        """Promise a ballot; return the ballot and the record accepted before, if any.

        Raises Fenced when a higher ballot was promised, Refused when a vote may be lost, Conflict
        when the vote changed concurrently.
        """
        request = VotePrepareRequest.from_wire(body)
        vote = yield from self._recall()
        _check_ballot(vote, request.ballot)
        yield from self._keep(vote, vote._replace(promised=request.ballot))
        return VotePromise(vote.accepted, vote.founding).to_wire()

    def on_accept(self, body: WireMap, origin: str) -> Coroutine:
        """Accept a record; raises Fenced when a higher ballot was promised."""
        request = VoteAcceptRequest.from_wire(body)
        vote = yield from self._recall()
        ballot = request.ballot
        _check_ballot(vote, ballot)
        yield from self._keep(
            vote, vote._replace(promised=ballot, accepted=ballot, founding=request.founding)
        )
        return True

    def register_first_start(self) -> Coroutine:
        """At the first start, store an empty vote at the witness, so that later starts may vote.

        Retries every quarter of a heartbeat interval until it succeeds.
        """
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
        """Return this seed's vote; raises Refused when an earlier incarnation's may be lost."""
        vote = self.vote
        if self.witness is not None:
            kept = yield from self.node.call(self.witness, "founding.recall", None)
            vote = Vote() if kept is None else Vote.from_wire(kept)
        if not vote.number and not self.is_first_start:
            raise Refused(reason="a former vote may be lost")
        return vote

    def _keep(self, former: Vote, vote: Vote) -> Coroutine:
        """Replace the previous vote (compare and set); raises Conflict if it changed meanwhile."""
        vote = vote._replace(number=former.number + 1)
        if self.witness is not None:
            yield from self.node.call(self.witness, "founding.keep", vote.to_wire())
        elif self.vote.number != former.number:
            raise Conflict(reason="the vote has changed")
        self.vote = vote

    def next_ballot(self) -> Ballot:
        """Return a ballot of this node above all that it used or was refused by."""
        self.ballot_number += 1
        return Ballot(self.ballot_number, f"{self.node.me.name}#{self.node.me.incarnation}")

    def note_ballots(self, ballots: list[Ballot]) -> None:
        """Raise the ballot number to those that refused this node's ballot."""
        self.ballot_number = max(self.ballot_number, *(int(ballot.number) for ballot in ballots))


def _check_ballot(vote: Vote, ballot: Ballot) -> None:
    """Raise Fenced when a higher ballot was promised."""
    if ballot < vote.promised:
        raise Fenced(part="founding", ballot=vote.promised.to_wire())


class Witness:
    """A store that keeps the vote of the seed on its machine durably, in two alternating files.

    A file is the CRC-32 of the encoded vote in four bytes, big-endian, then the vote in CBOR.
    """

    __slots__ = ("node", "disk")

    def __init__(self, node: Node, disk: Disk) -> None:
        self.node = node
        self.disk = disk
        node.handle("founding.recall", self.on_recall)
        node.handle("founding.keep", self.on_keep)

    def on_recall(self, body: Any, origin: str) -> list[Any] | None:
        """Return the newest vote on disk, or None."""
        vote = self._newest()
        return None if vote is None else vote.to_wire()

    def on_keep(self, body: Sequence[Any], origin: str) -> bool:
        """Write a vote durably if its number is the next one; raises Conflict if it is not.

        A torn write leaves the previous vote, which is in the other file.
        """
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

    Raises NoMajority when too few seeds accept in `bounds.propagation` seconds; this record,
    another one or none may then be chosen.
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
    """Ask all seeds; return the replies of a majority of them at least, or raise NoMajority."""
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
