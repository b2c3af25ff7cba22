"""Commands and queries of the replicated log; only this module reads and writes their wire form.

Field names on the wire (`do`, `ask`, `n`, `try`, `at` ...) must not change, for compatibility with
the landed version. `to_wire` writes the fields in the same order as that version.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from quillring.kernel.records import NamedTuple

Wire = Mapping[str, Any]
"""The wire form of a command or query, which is also its form in the log."""

ACCEPT, END, DROP, EXPIRE = "raw.accept", "raw.end", "raw.drop", "raw.expire"
LIST_RESULT, COUNT_FAILURE = "raw.result", "raw.failed"
RESERVE, RELEASE, FENCE = "raw.reserve", "raw.release", "raw.fence"
RESULTS, KNOWN, ITEM_BODY = "raw.results", "raw.known", "raw.body"

LOT_CHANGES = frozenset((ACCEPT, LIST_RESULT, COUNT_FAILURE, EXPIRE, END, DROP))
"""The commands that may change the pending items of their lot."""

NO_LOT = ""
"""The value of `lot` in commands that concern several lots."""


class AcceptLot(NamedTuple):
    """Accept a lot in its own part; idempotent.

    Parameters
    ----------
    lot
        Key of the lot in its part, see `lot_placement.lot_key`.
    items
        Stored forms of `lot_table.Item`.
    digest
        Hash of the content, which identifies a repeated submission.
    attempt
        Random name of this submission, under which a refusal is recorded.
    most_tokens
        Quota of the forward in tokens, 0 for none.
    submitted_at_ms
        Wall-clock time of the submission.
    due_ms, retain_ms
        Time from the submission until the lot is due, and until its pending items expire.
    max_attempts
        Number of failed runs after which an item is errored.
    max_held_bytes
        Limit on the stored bytes of the part's lots; None in commands of the previous version.
    reserving_part, ticket
        The part that reserved the lot's tokens and the ticket it issued, if there is a
        reservation. The ticket is a fencing token: one at or below the fence is refused.
    """

    lot: str
    forward: str
    host: str
    items: Sequence[Sequence[Any]]
    digest: bytes
    attempt: str
    most_tokens: int
    submitted_at_ms: int
    due_ms: int
    retain_ms: int
    max_attempts: int
    max_held_bytes: int | None = None
    reserving_part: str | None = None
    ticket: int | None = None

    @classmethod
    def from_wire(cls, wire: Wire) -> AcceptLot:
        """Read the command; the last three fields are optional."""
        return cls(
            wire["lot"],
            wire["forward"],
            wire["host"],
            wire["items"],
            wire["digest"],
            wire["try"],
            wire["most_tokens"],
            wire["at"],
            wire["due_ms"],
            wire["retain_ms"],
            wire["rounds"],
            wire.get("most_weight"),
            wire.get("ledger"),
            wire.get("ticket"),
        )

    def to_wire(self) -> dict[str, Any]:
        """Return the command's form in the log."""
        wire = {
            "do": ACCEPT,
            "lot": self.lot,
            "forward": self.forward,
            "host": self.host,
            "items": self.items,
            "digest": self.digest,
            "try": self.attempt,
            "most_tokens": self.most_tokens,
            "at": self.submitted_at_ms,
            "due_ms": self.due_ms,
            "retain_ms": self.retain_ms,
            "rounds": self.max_attempts,
        }
        if self.max_held_bytes is not None:
            wire["most_weight"] = self.max_held_bytes
        if self.ticket is not None:
            wire["ledger"] = self.reserving_part
            wire["ticket"] = self.ticket
        return wire


class ListResult(NamedTuple):
    """Append an item's result to the lot's list of results."""

    lot: str
    number: int
    state: str
    text: bytes
    run_id: str

    @classmethod
    def from_wire(cls, wire: Wire) -> ListResult:
        """Read the command."""
        return cls(wire["lot"], wire["n"], wire["state"], wire["text"], wire["run"])

    def to_wire(self) -> dict[str, Any]:
        """Return the command's form in the log."""
        return {
            "do": LIST_RESULT,
            "state": self.state,
            "text": self.text,
            "lot": self.lot,
            "n": self.number,
            "run": self.run_id,
        }


class CountFailure(NamedTuple):
    """Count a run of an item for which the replica reported a failure."""

    lot: str
    number: int
    run_id: str

    @classmethod
    def from_wire(cls, wire: Wire) -> CountFailure:
        """Read the command."""
        return cls(wire["lot"], wire["n"], wire["run"])

    def to_wire(self) -> dict[str, Any]:
        """Return the command's form in the log."""
        return {"do": COUNT_FAILURE, "lot": self.lot, "n": self.number, "run": self.run_id}


class EndLot(NamedTuple):
    """End a lot: retain the listed results, drop the pending items."""

    lot: str

    @classmethod
    def from_wire(cls, wire: Wire) -> EndLot:
        """Read the command."""
        return cls(wire["lot"])

    def to_wire(self) -> dict[str, Any]:
        """Return the command's form in the log."""
        return {"do": END, "lot": self.lot}


class ExpireLot(NamedTuple):
    """Append an errored result for each pending item of a lot."""

    lot: str

    @classmethod
    def from_wire(cls, wire: Wire) -> ExpireLot:
        """Read the command."""
        return cls(wire["lot"])

    def to_wire(self) -> dict[str, Any]:
        """Return the command's form in the log."""
        return {"do": EXPIRE, "lot": self.lot}


class DropLot(NamedTuple):
    """Delete a lot without pending items."""

    lot: str

    @classmethod
    def from_wire(cls, wire: Wire) -> DropLot:
        """Read the command."""
        return cls(wire["lot"])

    def to_wire(self) -> dict[str, Any]:
        """Return the command's form in the log."""
        return {"do": DROP, "lot": self.lot}


class ReserveTokens(NamedTuple):
    """Reserve a lot's tokens from its forward's quota, in the part of the forward's host.

    Parameters
    ----------
    lot_part
        The part to which the lot will be submitted.
    host_part
        The part that stores the reservations.
    tokens
        The sum of the tokens of the lot's items.
    fenced_ticket
        A ticket of this lot that the lot's part has fenced, to be replaced by a new one.
    """

    lot_part: str
    host_part: str
    tokens: int
    fenced_ticket: int | None
    lot: str
    forward: str
    digest: bytes
    attempt: str
    most_tokens: int

    @classmethod
    def from_wire(cls, wire: Wire) -> ReserveTokens:
        """Read the command."""
        return cls(
            wire["part"],
            wire["home"],
            wire["tokens"],
            wire["fenced"],
            wire["lot"],
            wire["forward"],
            wire["digest"],
            wire["try"],
            wire["most_tokens"],
        )

    def to_wire(self) -> dict[str, Any]:
        """Return the command's form in the log."""
        return {
            "do": RESERVE,
            "part": self.lot_part,
            "home": self.host_part,
            "tokens": self.tokens,
            "fenced": self.fenced_ticket,
            "lot": self.lot,
            "forward": self.forward,
            "digest": self.digest,
            "try": self.attempt,
            "most_tokens": self.most_tokens,
        }


class PendingTokens(NamedTuple):
    """The pending tokens of a lot with a reservation; on the wire [lot, ticket, tokens]."""

    lot: str
    ticket: int
    tokens: int

    @classmethod
    def from_wire(cls, fields: Sequence[Any]) -> PendingTokens:
        """Read a row of `raw.release`."""
        lot, ticket, tokens = fields
        return cls(lot, ticket, tokens)

    def to_wire(self) -> list[Any]:
        """Return the row of `raw.release`."""
        return [self.lot, self.ticket, self.tokens]


class ReleaseTokens(NamedTuple):
    """Reduce reservations to the tokens that are still pending."""

    pending: Sequence[PendingTokens]

    @classmethod
    def from_wire(cls, wire: Wire) -> ReleaseTokens:
        """Read the command."""
        return cls([PendingTokens.from_wire(fields) for fields in wire["rows"]])

    def to_wire(self) -> dict[str, Any]:
        """Return the command's form in the log."""
        return {"do": RELEASE, "lot": NO_LOT, "rows": [row.to_wire() for row in self.pending]}


class FenceTickets(NamedTuple):
    """Fence a reserving part's tickets: refuse unknown lots whose ticket is at most `ticket`.

    `lots` are the lots whose pending tokens the answer contains.
    """

    reserving_part: str
    ticket: int
    lots: Sequence[str]

    @classmethod
    def from_wire(cls, wire: Wire) -> FenceTickets:
        """Read the command."""
        return cls(wire["ledger"], wire["ticket"], wire["lots"])

    def to_wire(self) -> dict[str, Any]:
        """Return the command's form in the log."""
        return {
            "do": FENCE,
            "lot": NO_LOT,
            "ledger": self.reserving_part,
            "ticket": self.ticket,
            "lots": self.lots,
        }


class LotChange(NamedTuple):
    """The fields of a committed command that may have changed a lot's items."""

    kind: str
    lot: str
    number: int | None
    run_id: str | None

    @classmethod
    def from_wire(cls, wire: Wire) -> LotChange | None:
        """Read a command of the log; return None if its kind changes no items."""
        if wire["do"] not in LOT_CHANGES:
            return None
        return cls(wire["do"], wire["lot"], wire.get("n"), wire.get("run"))


def lot_in(wire: Wire) -> str | None:
    """Return the lot that a command of the log concerns, or None."""
    return wire.get("lot")


class QueryResults(NamedTuple):
    """Query the results from position `start` on: at least one, up to `limit_bytes` in total."""

    lot: str
    start: int
    limit_bytes: int

    @classmethod
    def from_wire(cls, wire: Wire) -> QueryResults:
        """Read the query."""
        return cls(wire["lot"], wire["from"], wire["limit"])

    def to_wire(self) -> dict[str, Any]:
        """Return the query's form on the wire."""
        return {"ask": RESULTS, "lot": self.lot, "from": self.start, "limit": self.limit_bytes}


class QueryKnownLot(NamedTuple):
    """Query whether a lot with this key and digest was accepted."""

    lot: str
    digest: bytes

    @classmethod
    def from_wire(cls, wire: Wire) -> QueryKnownLot:
        """Read the query."""
        return cls(wire["lot"], wire["digest"])

    def to_wire(self) -> dict[str, Any]:
        """Return the query's form on the wire."""
        return {"ask": KNOWN, "lot": self.lot, "digest": self.digest}


class QueryItemBody(NamedTuple):
    """Query the body of a pending item."""

    lot: str
    item_id: str

    @classmethod
    def from_wire(cls, wire: Wire) -> QueryItemBody:
        """Read the query."""
        return cls(wire["lot"], wire["item"])

    def to_wire(self) -> dict[str, Any]:
        """Return the query's form on the wire."""
        return {"ask": ITEM_BODY, "lot": self.lot, "item": self.item_id}
