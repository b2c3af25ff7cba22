"""What a store tells a new owner with its promise, as the owner reads it."""

from __future__ import annotations

from typing import Any, NamedTuple

BRIEF_WITHOUT_BATCHES = "index"
"""Asks for a brief promise whose accepted entries are named without their batches."""


class AcceptedProposal(NamedTuple):
    """An entry that a store accepted and has not applied; a brief answer leaves the batch out."""

    index: int
    ballot: tuple
    batch: list | None


class Promise(NamedTuple):
    """A store's answer to `quorum.prepare`: its record of the part, under the promised ballot.

    `state` is None where the store holds none of the part, True in a brief answer where it holds
    one, else the whole state after the entry `applied`.
    """

    promised: tuple
    applied: int
    state: Any
    tail: tuple
    committed: int

    @classmethod
    def from_list(cls, fields: list) -> Promise:
        """Read the answer as it came over the wire."""
        promised, applied, state, rows, committed = fields
        tail = tuple(AcceptedProposal(index, tuple(ballot), batch) for index, ballot, batch in rows)
        return cls(tuple(promised), applied, state, tail, committed)

    def to_list(self) -> list:
        """Return the answer in its form on the wire."""
        rows = [[row.index, list(row.ballot), row.batch] for row in self.tail]
        return [list(self.promised), self.applied, self.state, rows, self.committed]

    def brief(self, has_batches: bool) -> Promise:
        """Return the answer without the state, and without the batches unless they are wanted."""
        state = None if self.state is None else True
        if has_batches:
            return self._replace(state=state)
        return self._replace(state=state, tail=tuple(row._replace(batch=None) for row in self.tail))
