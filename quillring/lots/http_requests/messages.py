"""Messages between nodes about lots; only this module reads and writes their wire form.

Field names on the wire are those of the landed version and stay.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from quillring.kernel.records import NamedTuple
from quillring.lots.http_requests.lot_table import Item
from quillring.quorum.values import Ballot

Wire = Mapping[str, Any]
"""The body of a call as it stands on the wire."""

READ, TOKENS_LEFT, BACKLOG = "raw.read", "raw.left", "raw.demand"
RUN_ITEM, RENEW_RUNS, STOP_RUNS, REPORT = "raw.run", "raw.renew", "raw.stop", "raw.report"


class HeldRead(NamedTuple):
    """A long-poll query to the leader of a part: answered at a further result or after a time.

    `hold_seconds` is the longest wait. `part` is filled in by `Ownership.call_leader`.
    """

    query: dict[str, Any]
    hold_seconds: float
    part: str | None = None

    @classmethod
    def from_wire(cls, wire: Wire) -> HeldRead:
        """Read the call's body."""
        return cls(wire["query"], wire["seconds"], wire["part"])

    def to_wire(self) -> dict[str, Any]:
        """Return the call's body without the part."""
        return {"query": self.query, "seconds": self.hold_seconds}


class TokensLeft(NamedTuple):
    """Ask the leader of a part for the tokens of some lots' items without a result.

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
    """The fields of an item that a worker sends; on the wire [id, target, headers, body]."""

    item_id: str
    target: str
    headers: Sequence[Sequence[str]]
    body: bytes

    @classmethod
    def from_stored_item(cls, fields: Sequence[Any]) -> RequestToSend:
        """Read it from an item as it stands in the state."""
        item = Item.from_stored(fields)
        return cls(item.item_id, item.target, item.headers, item.body)

    @classmethod
    def from_wire(cls, fields: Sequence[Any]) -> RequestToSend:
        """Read it from a call."""
        item_id, target, headers, body = fields
        return cls(item_id, target, headers, body)

    def to_wire(self) -> list[Any]:
        """Return its form in a call."""
        return [self.item_id, self.target, self.headers, self.body]


class RunItem(NamedTuple):
    """Order a worker to send an item to a replica, once.

    Parameters
    ----------
    ballot
        The ballot of the leader that orders; a worker that has seen a higher one refuses.
    number
        The item's position in the lot.
    last_event_id, text
        Progress of an earlier run; the replica resumes after that event (Last-Event-ID of
        server-sent events in the HTML standard).
    urgency
        Passed on to the replica; lower is more urgent.
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
    """Ask a worker for its active runs of a part, under the leader's ballot."""

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
    """A run that a worker reports as active: [lot, number, run, service, replica]."""

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
    """Order workers to stop the runs of a lot; `numbers` is None for all of them."""

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
        How far the run got.
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
    """How many items of a service are due in a number of seconds: [seconds, items]."""

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
    """The backlog of the parts that a core leads.

    Parameters
    ----------
    items
        {part: {service: items}}, which is all that the former version reads and sends.
    rows
        {part: {service: rows}}; empty for a report of the former version.
    """

    items: Mapping[str, Mapping[str, float]]
    rows: Mapping[str, Mapping[str, Sequence[BacklogRow]]]

    @classmethod
    def from_wire(cls, wire: Wire) -> BacklogReport:
        """Read the message; one of the former version has no rows."""
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
    """The answer of a worker that runs the item, with the id of that run."""

    run_id: str

    @classmethod
    def from_wire(cls, wire: Wire) -> StartedRun:
        """Read the answer to `raw.run`."""
        return cls(wire["run"])

    def to_wire(self) -> dict[str, Any]:
        """Return the answer to `raw.run`."""
        return {"run": self.run_id}
