"""Messages between nodes about lots; only this module reads and writes their wire form.

Field names on the wire must not change, for compatibility with the landed version.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from quillring.kernel.records import NamedTuple
from quillring.lots.http_requests.lot_table import Item
from quillring.quorum.values import Ballot

Wire = Mapping[str, Any]
"""The wire form of a call's body."""

READ, TOKENS_LEFT, BACKLOG = "raw.read", "raw.left", "raw.demand"
RUN_ITEM, RENEW_RUNS, STOP_RUNS, REPORT = "raw.run", "raw.renew", "raw.stop", "raw.report"


class LongPollRead(NamedTuple):
    """A long-poll query to the leader of a part.

    It is answered when there is a result, the lot is complete, or `max_wait_seconds` have passed.
    `part` is filled in by `Ownership.call_leader`.
    """

    query: dict[str, Any]
    max_wait_seconds: float
    part: str | None = None

    @classmethod
    def from_wire(cls, wire: Wire) -> LongPollRead:
        """Read the call's body."""
        return cls(wire["query"], wire["seconds"], wire["part"])

    def to_wire(self) -> dict[str, Any]:
        """Return the call's body without the part."""
        return {"query": self.query, "seconds": self.max_wait_seconds}


class TokensLeft(NamedTuple):
    """Ask the leader of a part for the pending tokens of some lots.

    `part` is filled in by `Ownership.call_leader`.
    """

    lots: Sequence[str]
    part: str | None = None

    @classmethod
    def from_wire(cls, wire: Wire) -> TokensLeft:
        """Read the call's body."""
        return cls(wire["lots"], wire["part"])

    def to_wire(self) -> dict[str, Any]:
        """Return the call's body without the part."""
        return {"lots": self.lots}


class RequestToSend(NamedTuple):
    """The HTTP request that a worker sends for an item; on the wire [id, target, headers, body]."""

    item_id: str
    target: str
    headers: Sequence[Sequence[str]]
    body: bytes

    @classmethod
    def from_stored_item(cls, fields: Sequence[Any]) -> RequestToSend:
        """Build the request from an item's form in the state."""
        item = Item.from_stored(fields)
        return cls(item.item_id, item.target, item.headers, item.body)

    @classmethod
    def from_wire(cls, fields: Sequence[Any]) -> RequestToSend:
        """Read the request from a call."""
        item_id, target, headers, body = fields
        return cls(item_id, target, headers, body)

    def to_wire(self) -> list[Any]:
        """Return the request's form in a call."""
        return [self.item_id, self.target, self.headers, self.body]


class RunItem(NamedTuple):
    """Order a worker to send an item to a replica, once.

    Parameters
    ----------
    ballot
        The ballot of the ordering leader; a worker that has seen a higher one refuses.
    number
        The item's position in the lot.
    last_event_id, text
        Progress of an earlier run. The replica resumes after that event (Last-Event-ID of
        server-sent events in the HTML standard).
    urgency
        Passed on to the replica; a lower number is more urgent.
    """

    part: str
    ballot: Ballot
    lot: str
    number: int
    run_id: str
    service: str
    replica: str
    forward: str
    host: str
    request: RequestToSend
    last_event_id: int | None
    text: bytes
    urgency: int

    @classmethod
    def from_wire(cls, wire: Wire) -> RunItem:
        """Read the call's body."""
        return cls(
            wire["part"],
            Ballot.from_wire(wire["ballot"]),
            wire["lot"],
            wire["n"],
            wire["run"],
            wire["service"],
            wire["replica"],
            wire["forward"],
            wire["host"],
            RequestToSend.from_wire(wire["item"]),
            wire["last"],
            wire["text"],
            wire["urgency"],
        )

    def to_wire(self) -> dict[str, Any]:
        """Return the call's body."""
        return {
            "part": self.part,
            "ballot": self.ballot.to_wire(),
            "lot": self.lot,
            "n": self.number,
            "run": self.run_id,
            "service": self.service,
            "replica": self.replica,
            "forward": self.forward,
            "host": self.host,
            "item": self.request.to_wire(),
            "last": self.last_event_id,
            "text": self.text,
            "urgency": self.urgency,
        }


class RenewRuns(NamedTuple):
    """Ask a worker for its active runs of a part; `ballot` is the asking leader's."""

    part: str
    ballot: Ballot

    @classmethod
    def from_wire(cls, wire: Wire) -> RenewRuns:
        """Read the call's body."""
        return cls(wire["part"], Ballot.from_wire(wire["ballot"]))

    def to_wire(self) -> dict[str, Any]:
        """Return the call's body."""
        return {"part": self.part, "ballot": self.ballot.to_wire()}


class ActiveRun(NamedTuple):
    """A run that a worker reports as active; on the wire [lot, number, run, service, replica]."""

    lot: str
    number: int
    run_id: str
    service: str
    replica: str

    @classmethod
    def from_wire(cls, fields: Sequence[Any]) -> ActiveRun:
        """Read a row of the answer to `raw.renew`."""
        lot, number, run_id, service, replica = fields
        return cls(lot, number, run_id, service, replica)

    def to_wire(self) -> list[Any]:
        """Return the row of the answer to `raw.renew`."""
        return [self.lot, self.number, self.run_id, self.service, self.replica]


class StopRuns(NamedTuple):
    """Order workers to stop runs of a lot: of the items in `numbers`, or all if that is None."""

    lot: str
    numbers: Sequence[int] | None

    @classmethod
    def from_wire(cls, wire: Wire) -> StopRuns:
        """Read the call's body."""
        return cls(wire["lot"], wire["numbers"])

    def to_wire(self) -> dict[str, Any]:
        """Return the call's body."""
        return {"lot": self.lot, "numbers": self.numbers}


class RunReport(NamedTuple):
    """Notify the leader of a part that a run ended without a result.

    Parameters
    ----------
    outcome
        `item_executor.NOT_RUN`, `BROKEN` or `UNSENT`.
    last_event_id, text
        Progress of the run: the last event received, and the text up to it.
    part
        Filled in by `Ownership.call_leader`.
    """

    lot: str
    number: int
    run_id: str
    outcome: str
    last_event_id: int | None
    text: bytes
    part: str | None = None

    @classmethod
    def from_wire(cls, wire: Wire) -> RunReport:
        """Read the call's body."""
        return cls(
            wire["lot"],
            wire["n"],
            wire["run"],
            wire["outcome"],
            wire["last"],
            wire["text"],
            wire["part"],
        )

    def to_wire(self) -> dict[str, Any]:
        """Return the call's body without the part."""
        return {
            "lot": self.lot,
            "n": self.number,
            "run": self.run_id,
            "outcome": self.outcome,
            "last": self.last_event_id,
            "text": self.text,
        }


class BacklogRow(NamedTuple):
    """The number of a service's items that are due at one time; on the wire [seconds, items]."""

    due_in_seconds: float
    items: float

    @classmethod
    def from_wire(cls, fields: Sequence[Any]) -> BacklogRow:
        """Read a row of `raw.demand`."""
        due_in_seconds, items = fields
        return cls(due_in_seconds, items)

    def to_wire(self) -> list[Any]:
        """Return the row of `raw.demand`."""
        return [self.due_in_seconds, self.items]


class BacklogReport(NamedTuple):
    """The backlogs of the parts that a core leads.

    Parameters
    ----------
    items
        Number of items as {part: {service: items}}, the only field of the previous version.
    rows
        Items by due time as {part: {service: rows}}; empty in a report of the previous version.
    """

    items: Mapping[str, Mapping[str, float]]
    rows: Mapping[str, Mapping[str, Sequence[BacklogRow]]]

    @classmethod
    def from_wire(cls, wire: Wire) -> BacklogReport:
        """Read the message; `rows` is empty if the sender runs the previous version."""
        rows = {
            part: {
                service: [BacklogRow.from_wire(fields) for fields in service_rows]
                for service, service_rows in by_service.items()
            }
            for part, by_service in (wire.get("due") or {}).items()
        }
        return cls(wire["parts"], rows)

    def to_wire(self) -> dict[str, Any]:
        """Return the message."""
        due = {
            part: {
                service: [row.to_wire() for row in service_rows]
                for service, service_rows in by_service.items()
            }
            for part, by_service in self.rows.items()
        }
        return {"parts": self.items, "due": due}


class StartedRun(NamedTuple):
    """A worker's answer to an order: the id of the item's active run on that worker."""

    run_id: str

    @classmethod
    def from_wire(cls, wire: Wire) -> StartedRun:
        """Read the answer to `raw.run`."""
        return cls(wire["run"])

    def to_wire(self) -> dict[str, Any]:
        """Return the answer to `raw.run`."""
        return {"run": self.run_id}
