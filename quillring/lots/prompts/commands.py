"""Commands and queries of the replicated log; only this module reads and writes their wire form.

The field names on the wire (`do`, `ask`, `n`, `by` ...) are those of the landed version and stay.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from quillring.kernel.records import NamedTuple
from quillring.quorum.values import Ballot

Wire = Mapping[str, Any]
"""A command or query as it stands in the log and on the wire."""

ACCEPT, START, RESULT = "lot.accept", "lot.start", "lot.result"
CANCEL, DROP, RELEASE = "lot.cancel", "lot.drop", "lot.release"
STATUS, RESULTS, FENCE = "lot.status", "lot.results", "lot.fence"


class AcceptLot(NamedTuple):
    """Accept a lot, once.

    Parameters
    ----------
    lot
        The lot's name, see `api.submit_lot`.
    entry
        The configuration's entry that answers the prompts.
    items
        The prompts.
    seen_drops
        How many lots the part had dropped when the request came in; None from a former version.
    """

    lot: str
    sender: str
    entry: str
    items: Sequence[str]
    seen_drops: int | None = None

    @classmethod
    def from_wire(cls, wire: Wire) -> AcceptLot:
        """Read the command."""
        return cls(
            wire["lot"], wire["sender"], wire["entry"], wire["items"], wire.get("seen_drops")
        )

    def to_wire(self) -> dict[str, Any]:
        """Return the command's form in the log."""
        wire: dict[str, Any] = {
            "do": ACCEPT,
            "lot": self.lot,
            "sender": self.sender,
            "entry": self.entry,
            "items": self.items,
        }
        if self.seen_drops is not None:
            wire["seen_drops"] = self.seen_drops
        return wire


class StartItem(NamedTuple):
    """Mark an item that may not be repeated as started, under the leader's ballot.

    `was_unsent` is true where the same leader started it before and nothing reached a replica.
    """

    lot: str
    number: int
    ballot: Ballot
    was_unsent: bool

    @classmethod
    def from_wire(cls, wire: Wire) -> StartItem:
        """Read the command."""
        return cls(wire["lot"], wire["n"], Ballot.from_wire(wire["by"]), wire["was_unsent"])

    def to_wire(self) -> dict[str, Any]:
        """Return the command's form in the log."""
        return {
            "do": START,
            "lot": self.lot,
            "n": self.number,
            "by": self.ballot.to_wire(),
            "was_unsent": self.was_unsent,
        }


class WriteResult(NamedTuple):
    """Write an item's result: {"text": ...} or {"trouble": ...}."""

    lot: str
    number: int
    result: Mapping[str, str]

    @classmethod
    def from_wire(cls, wire: Wire) -> WriteResult:
        """Read the command."""
        return cls(wire["lot"], wire["n"], wire["result"])

    def to_wire(self) -> dict[str, Any]:
        """Return the command's form in the log."""
        return {"do": RESULT, "lot": self.lot, "n": self.number, "result": self.result}


class CancelLot(NamedTuple):
    """Cancel a lot on behalf of the client that submitted it."""

    lot: str
    sender: str

    @classmethod
    def from_wire(cls, wire: Wire) -> CancelLot:
        """Read the command."""
        return cls(wire["lot"], wire["sender"])

    def to_wire(self) -> dict[str, Any]:
        """Return the command's form in the log."""
        return {"do": CANCEL, "lot": self.lot, "sender": self.sender}


class DropLot(NamedTuple):
    """Delete an ended lot whose retention is over."""

    lot: str

    @classmethod
    def from_wire(cls, wire: Wire) -> DropLot:
        """Read the command."""
        return cls(wire["lot"])

    def to_wire(self) -> dict[str, Any]:
        """Return the command's form in the log."""
        return {"do": DROP, "lot": self.lot}


class ReleaseLot(NamedTuple):
    """Delete an ended lot on behalf of the client that submitted it."""

    lot: str
    sender: str

    @classmethod
    def from_wire(cls, wire: Wire) -> ReleaseLot:
        """Read the command."""
        return cls(wire["lot"], wire["sender"])

    def to_wire(self) -> dict[str, Any]:
        """Return the command's form in the log."""
        return {"do": RELEASE, "lot": self.lot, "sender": self.sender}


class QueryStatus(NamedTuple):
    """Ask for a lot's phase and counts, on behalf of the client that submitted it."""

    lot: str
    sender: str

    @classmethod
    def from_wire(cls, wire: Wire) -> QueryStatus:
        """Read the query."""
        return cls(wire["lot"], wire["sender"])

    def to_wire(self) -> dict[str, Any]:
        """Return the query's form on the wire."""
        return {"ask": STATUS, "lot": self.lot, "sender": self.sender}


class QueryResults(NamedTuple):
    """Ask for the results of `most_items` items from `start` on, on behalf of the client."""

    lot: str
    sender: str
    start: int
    most_items: int

    @classmethod
    def from_wire(cls, wire: Wire) -> QueryResults:
        """Read the query."""
        return cls(wire["lot"], wire["sender"], wire["from"], wire["count"])

    def to_wire(self) -> dict[str, Any]:
        """Return the query's form on the wire."""
        return {
            "ask": RESULTS,
            "lot": self.lot,
            "sender": self.sender,
            "from": self.start,
            "count": self.most_items,
        }


class QueryFence(NamedTuple):
    """Ask how many lots the part has dropped."""

    def to_wire(self) -> dict[str, Any]:
        """Return the query's form on the wire."""
        return {"ask": FENCE}
