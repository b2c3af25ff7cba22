"""The state of one Paxos acceptor: its promise, the accepted entries and the applied state."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from quillring.kernel.records import NamedTuple
from quillring.quorum.commands import answer_query, apply_batch
from quillring.quorum.log_cache import LogCache
from quillring.quorum.messages import AcceptedProposal, Promise, QueryAnswer, UncommittedAnswer
from quillring.quorum.values import NO_BALLOT, GroupMember

if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import Any

    from quillring.kernel.types import WireMap
    from quillring.quorum.messages import Batch
    from quillring.quorum.snapshot_chunks import PartState
    from quillring.quorum.values import Ballot

LOG_CACHE_BYTES = 2 << 20


class AcceptedEntry(NamedTuple):
    """A log entry that was accepted under a ballot and is not applied yet."""

    ballot: Ballot
    batch: Batch


class AcceptorState:
    """The state of one part's acceptor on a store.

    - `promised`: the highest promised ballot;
    - `applied`: the index of the last entry applied to `state`;
    - `entries`: {index: entry} of the entries accepted beyond `applied`;
    - `committed`: the highest index that is known to be chosen;
    - `log_cache`: the most recently applied entries, for stores that missed a few.
    """

    __slots__ = ("promised", "applied", "state", "entries", "committed", "log_cache")

    def __init__(
        self,
        promised: Ballot = NO_BALLOT,
        applied: int = 0,
        state: PartState | None = None,
        entries: dict[int, AcceptedEntry] | None = None,
        committed: int = 0,
    ) -> None:
        self.promised = promised
        self.applied = applied
        self.state = state
        self.entries = entries or {}
        self.committed = committed
        self.log_cache = LogCache(LOG_CACHE_BYTES)

    def to_promise(self) -> Promise:
        """Return the state as a Promise, the form in which checkpoints contain it, too."""
        accepted = tuple(
            AcceptedProposal(index, entry.ballot, entry.batch)
            for index, entry in sorted(self.entries.items())
        )
        return Promise(self.promised, self.applied, self.state, accepted, self.committed)

    @classmethod
    def from_promise(cls, promise: Promise) -> AcceptorState:
        """Return the acceptor state that a Promise describes."""
        entries = {
            proposal.log_index: AcceptedEntry(proposal.ballot, proposal.batch or [])
            for proposal in promise.accepted
        }
        return cls(promise.promised, promise.applied, promise.state, entries, promise.committed)

    @classmethod
    def from_disk(cls, fields: Sequence[Any]) -> AcceptorState:
        """Read the state from its form in a checkpoint."""
        return cls.from_promise(Promise.from_wire(fields))

    def promise(self, ballot: Ballot) -> None:
        """Promise a ballot, unless a higher one is already promised."""
        if ballot > self.promised:
            self.promised = ballot

    def accept(self, ballot: Ballot, index: int, batch: Batch) -> None:
        """Accept an entry, unless an entry with that index is already applied."""
        if index > self.applied:
            self.entries[index] = AcceptedEntry(ballot, batch)

    def has_member(self, identity: str) -> bool:
        """Return whether the store with this identity is in the group of the applied state."""
        if self.state is None:
            return False
        return any(GroupMember.from_wire(m).identity == identity for m in self.state["group"])

    def apply_committed(self, ballot: Ballot, committed: int) -> None:
        """Apply the entries up to `committed` that were accepted under the ballot; stop at a gap.

        An entry accepted under another ballot is a gap, since it may not be the chosen one.
        """
        while self.applied < committed:
            entry = self.entries.get(self.applied + 1)
            if entry is None or entry.ballot != ballot or self.state is None:
                break
            self.state, _ = apply_batch(self.state, entry.batch)
            self.applied += 1
            self.log_cache.add(self.applied, entry.batch)
            del self.entries[self.applied]
        self.committed = max(self.committed, self.applied)

    def install(self, index: int, state: PartState) -> None:
        """Install a complete state in place of missed entries, unless it is not newer."""
        if index <= self.applied:
            return
        self.applied, self.state = index, state
        self.committed = max(self.committed, index)
        self.entries = {i: entry for i, entry in self.entries.items() if i > index}
        self.log_cache.clear()

    def uncommitted_lots(self) -> list[list[Any]]:
        """Return [[index, lot or None], ...], one per command in accepted, unapplied entries."""
        return [
            [index, command.get("lot")]
            for index, entry in self.entries.items()
            if index > self.applied
            for command in entry.batch
        ]

    def uncommitted_answers(self, query: WireMap) -> tuple[UncommittedAnswer, ...]:
        """Return the answers to a query on the state after each accepted, unapplied entry.

        The answers end before the first gap, and before an entry that changes the group, since the
        new group chooses the entries after it.
        """
        answers: list[UncommittedAnswer] = []
        if self.state is None:
            return ()
        state = self.state
        for index in count(self.applied + 1):
            entry = self.entries.get(index)
            if entry is None:
                break
            state, _ = apply_batch(state, entry.batch)
            if state["group"] != self.state["group"]:
                break
            answer = QueryAnswer(*answer_query(state, query))
            answers.append(UncommittedAnswer(index, entry.ballot, answer))
        return tuple(answers)
