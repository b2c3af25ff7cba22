"""What one acceptor holds of a part."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING, NamedTuple

from quillring.quorum.commands import answer_query, apply_batch
from quillring.quorum.log_cache import LogCache
from quillring.quorum.messages import AcceptedProposal, Promise

if TYPE_CHECKING:
    from quillring.quorum.values import Ballot

RECENT_WEIGHT = 2 << 20


class AcceptedEntry(NamedTuple):
    """A log entry that was accepted under a ballot and is not applied yet."""

    ballot: tuple
    batch: list


class AcceptorState:
    """What one acceptor holds of a part."""

    __slots__ = ("promised", "applied", "state", "entries", "committed", "log_cache")

    def __init__(
        self,
        promised: Ballot = (0, ""),
        applied: int = 0,
        state: dict | None = None,
        entries: dict[int, AcceptedEntry] | None = None,
        committed: int = 0,
    ) -> None:
        self.promised = tuple(promised)
        self.applied = applied
        self.state = state
        self.entries = entries or {}
        self.committed = committed
        self.log_cache = LogCache(RECENT_WEIGHT)

    def to_list(self) -> list:
        """Return the record for a slot."""
        return self.to_promise().to_list()

    def to_promise(self) -> Promise:
        """Return what this store tells with a promise."""
        tail = tuple(
            AcceptedProposal(index, *entry) for index, entry in sorted(self.entries.items())
        )
        return Promise(self.promised, self.applied, self.state, tail, self.committed)

    @classmethod
    def from_list(cls, fields: list) -> AcceptorState:
        """Read a record from a slot."""
        promised, applied, state, tail, committed = Promise.from_list(fields)
        entries = {row.index: AcceptedEntry(row.ballot, row.batch) for row in tail}
        return cls(promised, applied, state, entries, committed)

    def replay(self, verb: str, ballot: Ballot, fields: list) -> None:
        """Take the log record of a part; every one promises its ballot."""
        self.promised = max(self.promised, ballot)
        if verb == "accept":
            self._accept(ballot, *fields)
        if verb == "commit":
            self.learn(ballot, *fields)
        if verb == "install":
            self.install(*fields)

    def _accept(self, ballot: Ballot, index: int, batch: list[dict]):
        if index > self.applied:
            self.entries[index] = AcceptedEntry(ballot, batch)

    def has_member(self, identity: str) -> bool:
        """Tell whether the applied state names the store of this identity as a member."""
        return self.state is not None and any(s[1] == identity for s in self.state["group"])

    def learn(self, ballot: Ballot, committed: int) -> None:
        """Apply what the ballot's owner says is committed; stop at a gap."""
        while self.applied < committed:
            entry = self.entries.get(self.applied + 1)
            if entry is None or entry.ballot != ballot or self.state is None:
                break
            self.state, _ = apply_batch(self.state, entry.batch)
            self.applied += 1
            self.log_cache.add(self.applied, entry.batch)
            del self.entries[self.applied]
        self.committed = max(self.committed, self.applied)

    def install(self, index: int, state: dict) -> None:
        """Take a whole state in place of missed entries, unless what is here is as new."""
        if index <= self.applied:
            return
        self.applied, self.state = index, state
        self.committed = max(self.committed, index)
        self.entries = {i: entry for i, entry in self.entries.items() if i > index}
        self.log_cache.clear()

    def lots_beyond(self) -> list[list]:
        """Return [[index, lot or None], ...] of the commands accepted and not applied here."""
        return [
            [index, command.get("lot")]
            for index, entry in self.entries.items()
            if index > self.applied
            for command in entry.batch
        ]

    def answers_beyond(self, query: dict) -> list[list]:
        """Return [[index, ballot, kind, answer], ...] after each accepted entry in turn.

        It ends before a gap, and before a change of the group, which decides what comes after.
        """
        rows, state = [], self.state
        for index in count(self.applied + 1):
            if index not in self.entries:
                return rows
            ballot, batch = self.entries[index]
            state, _ = apply_batch(state, batch)
            if state["group"] != self.state["group"]:
                return rows
            rows.append([index, list(ballot), *answer_query(state, query)])
