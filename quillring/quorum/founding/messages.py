"""The stored vote of a seed on the founding record, and the Paxos messages of that vote."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.records import NamedTuple
from quillring.quorum.values import NO_BALLOT, Ballot

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quillring.kernel.types import WireMap


class Vote(NamedTuple):
    """The ballot a seed promised and the record it accepted; `number` counts the changes."""

    number: int = 0
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    founding: WireMap | None = None

    @classmethod
    def from_wire(cls, fields: Sequence[Any]) -> Vote:
        """Read a vote from its form in messages and files."""
        number, promised, accepted, founding = fields
        return cls(number, Ballot.from_wire(promised), Ballot.from_wire(accepted), founding)

    def to_wire(self) -> list[Any]:
        """Return the vote in its form in messages and files."""
        return [self.number, self.promised.to_wire(), self.accepted.to_wire(), self.founding]


class VotePrepareRequest(NamedTuple):
    """Phase 1a, `founding.prepare`: promise this ballot."""

    ballot: Ballot

    @classmethod
    def from_wire(cls, body: WireMap) -> VotePrepareRequest:
        """Read the request."""
        return cls(Ballot.from_wire(body["ballot"]))

    def to_wire(self) -> WireMap:
        """Return the request in its wire form."""
        return {"ballot": self.ballot.to_wire()}


class VotePromise(NamedTuple):
    """Phase 1b, the answer to `founding.prepare`: the record accepted earlier, if any."""

    accepted: Ballot
    founding: WireMap | None

    @classmethod
    def from_wire(cls, fields: Sequence[Any]) -> VotePromise:
        """Read the answer."""
        accepted, founding = fields
        return cls(Ballot.from_wire(accepted), founding)

    def to_wire(self) -> list[Any]:
        """Return the answer in its wire form."""
        return [self.accepted.to_wire(), self.founding]


class VoteAcceptRequest(NamedTuple):
    """Phase 2a, `founding.accept`: accept this founding record."""

    ballot: Ballot
    founding: WireMap

    @classmethod
    def from_wire(cls, body: WireMap) -> VoteAcceptRequest:
        """Read the request."""
        return cls(Ballot.from_wire(body["ballot"]), body["founding"])

    def to_wire(self) -> WireMap:
        """Return the request in its wire form."""
        return {"ballot": self.ballot.to_wire(), "founding": self.founding}
