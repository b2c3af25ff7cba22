"""Commands and queries for prompt lots; only this module encodes and decodes their wire form.

Commands are entries of the part's replicated log. The field names on the wire (`do`, `ask`, `n`,
`by` ...) must not change, because other versions read them too.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from quillring.kernel.records import NamedTuple
from quillring.quorum.values import Ballot

Wire = Mapping[str, Any]
"""A command or query as encoded in the log and on the wire."""

ACCEPT, START, RESULT = "lot.accept", "lot.start", "lot.result"
CANCEL, DROP, RELEASE = "lot.cancel", "lot.drop", "lot.release"
STATUS, RESULTS, FENCE = "lot.status", "lot.results", "lot.fence"


class AcceptLot(NamedTuple):
    """Accept a lot; a repetition has no effect.

    Parameters
    ----------
    lot
        The lot's name, see `api.submit_lot`.
    sender
        The name of the client that submitted the lot.
    entry
        The entry of the configuration that serves the prompts.
    items
        The prompts.
    seen_drops
        Number of lots that the part had dropped when the request arrived, the fencing token; None
        from nodes of a previous version.
    """

    lot: str
    sender: str
    entry: str
    items: Sequence[str]
    seen_drops: int | None = None

    @classmethod
    def from_wire(cls, wire: Wire) -> AcceptLot:
        """Decode the command."""
        return cls(
            wire["lot"], wire["sender"], wire["entry"], wire["items"], wire.get("seen_drops")
        )

    def to_wire(self) -> dict[str, Any]:
        """Encode the command for the log."""
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
    """Mark an item that must not run twice as started, under the leader's ballot.

    `was_unsent` is true if the same leader has started the item before without the request
    reaching a replica.
    """

    lot: str
    number: int
    ballot: Ballot
    was_unsent: bool

    @classmethod
    def from_wire(cls, wire: Wire) -> StartItem:
        """Decode the command."""
        return cls(wire["lot"], wire["n"], Ballot.from_wire(wire["by"]), wire["was_unsent"])

    def to_wire(self) -> dict[str, Any]:
        """Encode the command for the log."""
        return {
            "do": START,
            "lot": self.lot,
            "n": self.number,
            "by": self.ballot.to_wire(),
            "was_unsent": self.was_unsent,
        }


class WriteResult(NamedTuple):
    """Write an item's result: {"text": ...} on success, {"trouble": ...} on failure."""

    lot: str
    number: int
    result: Mapping[str, str]

    @classmethod
    def from_wire(cls, wire: Wire) -> WriteResult:
        """Decode the command."""
        return cls(wire["lot"], wire["n"], wire["result"])

    def to_wire(self) -> dict[str, Any]:
        """Encode the command for the log."""
        return {"do": RESULT, "lot": self.lot, "n": self.number, "result": self.result}


class CancelLot(NamedTuple):
    """Cancel a lot on behalf of the client that submitted it."""

    lot: str
    sender: str

    @classmethod
    def from_wire(cls, wire: Wire) -> CancelLot:
        """Decode the command."""
        return cls(wire["lot"], wire["sender"])

    def to_wire(self) -> dict[str, Any]:
        """Encode the command for the log."""
        return {"do": CANCEL, "lot": self.lot, "sender": self.sender}


class DropLot(NamedTuple):
    """Delete an ended lot whose retention period is over."""

    lot: str

    @classmethod
    def from_wire(cls, wire: Wire) -> DropLot:
        """Decode the command."""
        return cls(wire["lot"])

    def to_wire(self) -> dict[str, Any]:
        """Encode the command for the log."""
        return {"do": DROP, "lot": self.lot}


class ReleaseLot(NamedTuple):
    """Delete an ended lot on behalf of the client that submitted it."""

    lot: str
    sender: str

    @classmethod
    def from_wire(cls, wire: Wire) -> ReleaseLot:
        """Decode the command."""
        return cls(wire["lot"], wire["sender"])

    def to_wire(self) -> dict[str, Any]:
        """Encode the command for the log."""
        return {"do": RELEASE, "lot": self.lot, "sender": self.sender}


class QueryStatus(NamedTuple):
    """Query a lot's phase and counts on behalf of the client that submitted it."""

    lot: str
    sender: str

    @classmethod
    def from_wire(cls, wire: Wire) -> QueryStatus:
        """Decode the query."""
        return cls(wire["lot"], wire["sender"])

    def to_wire(self) -> dict[str, Any]:
        """Encode the query for the wire."""
        return {"ask": STATUS, "lot": self.lot, "sender": self.sender}


class QueryResults(NamedTuple):
    """Query the results of up to `max_items` items from number `start` on, for the submitter."""

    lot: str
    sender: str
    start: int
    max_items: int

    @classmethod
    def from_wire(cls, wire: Wire) -> QueryResults:
        """Decode the query."""
        return cls(wire["lot"], wire["sender"], wire["from"], wire["count"])

    def to_wire(self) -> dict[str, Any]:
        """Encode the query for the wire."""
        return {
            "ask": RESULTS,
            "lot": self.lot,
            "sender": self.sender,
            "from": self.start,
            "count": self.max_items,
        }


class QueryFence(NamedTuple):
    """Query the number of lots that the part has dropped, the fencing token."""

    def to_wire(self) -> dict[str, Any]:
        """Encode the query for the wire."""
        return {"ask": FENCE}
