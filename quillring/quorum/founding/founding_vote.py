"""Agreement of the seeds on one founding record: single-decree Paxos, the seeds as acceptors.

At the first start, the only information that all nodes share is the list of seeds (at most three)
in their settings. A decision therefore takes a majority of the seeds, which at most one side of a
partition has. A founder proposes a record under a ballot; if a seed of its majority has accepted a
record before, the founder adopts the one with the highest ballot.
Source: Lamport, "Paxos made simple", section 2.2.

If the settings name a witness, which is the store on the seed's machine, the seed's vote is stored
there and survives a restart of the seed. Without a witness the vote is in memory only, and the seed
votes only in the incarnation of its first start: a later one does not know what it promised.
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

VOTE_FILES = ("founding.0", "founding.1")
CHECKSUM_BYTES = 4


class FoundingVoter:
    """The acceptor of a seed: stores each promise and each accepted record before it replies.

    `witness` is the name of the store that stores the vote, or None if it is in memory only.
    `ballot_number` is the highest ballot number that this node used as a proposer, or that a seed
    had promised when it rejected this node's ballot.
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
        """Promise a ballot; return the ballot and the record accepted earlier, if any.

        Raises Fenced when a higher ballot was promised, Refused when an earlier vote may be lost,
        Conflict when the vote was changed concurrently.
        """
        request = VotePrepareRequest.from_wire(body)
        vote = yield from self._recall()
        _check_ballot(vote, request.ballot)
        yield from self._keep(vote, vote._replace(promised=request.ballot))
        return VotePromise(vote.accepted, vote.founding).to_wire()

    def on_accept(self, body: WireMap, origin: str) -> Coroutine:
        """Accept a record; raises the same errors as `on_prepare`."""
        request = VoteAcceptRequest.from_wire(body)
        vote = yield from self._recall()
        ballot = request.ballot
        _check_ballot(vote, ballot)
        yield from self._keep(
            vote, vote._replace(promised=ballot, accepted=ballot, founding=request.founding)
        )
        return True

    def register_first_start(self) -> Coroutine:
        """At the first start, store an empty vote at the witness, so that this seed may vote later.

        After a restart, a seed votes only if its witness has a vote. Retries every quarter of a
        heartbeat interval until the vote is stored.
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
                self.node.log(
                    "debug", "registering the first start at the witness failed: %s", error
                )
            yield Sleep(self.node.bounds.heartbeat_interval / 4)

    def _recall(self) -> Coroutine:
        """Return this seed's vote; raises Refused when an earlier incarnation's may be lost."""
        vote = self.vote
        if self.witness is not None:
            stored = yield from self.node.call(self.witness, "founding.recall", None)
            vote = Vote() if stored is None else Vote.from_wire(stored)
        if not vote.number and not self.is_first_start:
            raise Refused(reason="a former vote may be lost")
        return vote

    def _keep(self, previous: Vote, vote: Vote) -> Coroutine:
        """Replace the vote (compare-and-set); raises Conflict if it is no longer `previous`."""
        vote = vote._replace(number=previous.number + 1)
        if self.witness is not None:
            yield from self.node.call(self.witness, "founding.keep", vote.to_wire())
        elif self.vote.number != previous.number:
            raise Conflict(reason="the vote has changed")
        self.vote = vote

    def next_ballot(self) -> Ballot:
        """Return a ballot of this node above all that it used or that rejected its ballots."""
        self.ballot_number += 1
        return Ballot(self.ballot_number, f"{self.node.me.name}#{self.node.me.incarnation}")

    def observe_ballots(self, ballots: list[Ballot]) -> None:
        """Raise the ballot number to that of the ballots that fenced this node's ballot."""
        self.ballot_number = max(self.ballot_number, *(int(ballot.number) for ballot in ballots))


def _check_ballot(vote: Vote, ballot: Ballot) -> None:
    """Raise Fenced when the vote promises a higher ballot."""
    if ballot < vote.promised:
        raise Fenced(part="founding", ballot=vote.promised.to_wire())


class Witness:
    """Durable storage, at a store, of the vote of the seed on the same machine.

    Writes alternate between two files, each of which has the CRC-32 of the encoded vote in four
    bytes, big-endian, followed by the vote in CBOR.
    """

    __slots__ = ("node", "disk")

    def __init__(self, node: Node, disk: Disk) -> None:
        self.node = node
        self.disk = disk
        node.handle("founding.recall", self.on_recall)
        node.handle("founding.keep", self.on_keep)

    def on_recall(self, body: Any, origin: str) -> list[Any] | None:
        """Return the newest vote on disk, or None."""
        vote = self._newest_vote()
        return None if vote is None else vote.to_wire()

    def on_keep(self, body: Sequence[Any], origin: str) -> bool:
        """Write a vote durably; raises Conflict unless its number follows that of the stored vote.

        After a torn write the previous vote is still in the other file.
        """
        vote, stored = Vote.from_wire(body), self._newest_vote()
        if vote.number != (0 if stored is None else stored.number) + 1:
            raise Conflict(reason="the vote has changed")
        data = cbor2.dumps(vote.to_wire())
        checksum = zlib.crc32(data).to_bytes(CHECKSUM_BYTES, "big")
        self.disk.write(VOTE_FILES[vote.number % 2], checksum + data)
        return True

    def _newest_vote(self) -> Vote | None:
        """Return the readable vote with the highest number, or None."""
        votes = [vote for vote in map(self._read, VOTE_FILES) if vote is not None]
        return max(votes, key=lambda vote: vote.number, default=None)

    def _read(self, name: str) -> Vote | None:
        """Return the vote in a file, or None when the file is missing or incomplete."""
        data = self.disk.read(name)
        if not data or len(data) < CHECKSUM_BYTES:
            return None
        checksum, body = data[:CHECKSUM_BYTES], data[CHECKSUM_BYTES:]
        if zlib.crc32(body) != int.from_bytes(checksum, "big"):
            return None
        return Vote.from_wire(cbor2.loads(body))


def agree_on_founding(node: Node, founding: WireMap) -> Coroutine:
    """Propose a founding record to the seeds; return the record that a majority accepted.

    Raises NoMajority when too few seeds accept within `bounds.propagation` seconds. In that case
    this record, another one or none may have been chosen.
    """
    ballot = node.find("elector").next_ballot()
    request = VotePrepareRequest(ballot)
    answers = yield from _call_seeds(node, "founding.prepare", request.to_wire())
    promises = [VotePromise.from_wire(answer) for answer in answers]
    highest = max(promises, key=lambda promise: promise.accepted)
    if highest.accepted > NO_BALLOT and highest.founding is not None:
        founding = highest.founding
    yield from _call_seeds(node, "founding.accept", VoteAcceptRequest(ballot, founding).to_wire())
    return founding


def _call_seeds(node: Node, service: str, body: WireMap) -> Coroutine:
    """Call all seeds; return the replies of at least a majority, or raise NoMajority."""
    addresses, roster = set(node.find("nifty").seeds), node.find("nifty").roster
    names = {
        name for address in addresses for name in roster.addresses.get(tuple(address), ())[-1:]
    }
    needed = len(addresses) // 2 + 1
    calls = [(name, service, body) for name in sorted(names)]
    replies = yield from node.gather(calls, needed, node.bounds.propagation)
    answers = [r for r in replies.values() if not isinstance(r, QuillringError)]
    rejections = [r for r in replies.values() if isinstance(r, Fenced)]
    if rejections:
        ballots = [Ballot.from_wire(rejection.detail["ballot"]) for rejection in rejections]
        node.find("elector").observe_ballots(ballots)
    if len(answers) < needed:
        raise NoMajority(part="founding", heard=len(answers), needed=needed)
    return answers
