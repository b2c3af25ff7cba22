"""Apply the commands and queries of prompt lots to the state of their service's part."""

from __future__ import annotations

import hashlib
from typing import Any

import cbor2

from quillring.kernel.errors import Conflict, NotFound, QuillringError
from quillring.lots.prompts import commands
from quillring.lots.prompts.acceptance_fence import check_fresh, note_drop
from quillring.lots.prompts.commands import (
    AcceptLot,
    CancelLot,
    DropLot,
    QueryResults,
    QueryStatus,
    ReleaseLot,
    StartItem,
    Wire,
    WriteResult,
)
from quillring.lots.prompts.lot_table import (
    CANCELLED,
    ENDED,
    OPEN,
    LotRecord,
    State,
    lot_records,
    with_lot,
)
from quillring.quorum.commands import COMMANDS, QUERIES
from quillring.quorum.values import Ballot

OPEN_LIMIT_BYTES = 16 << 20

Answer = dict[str, Any]
"""What a command or query answers, as it goes on the wire."""


class TooManyLots(QuillringError):
    """The part's open lots or kept results are at their limit; the lot was not accepted."""

    kind = "too_many_lots"
    status = 503
    may_retry_later = True


@COMMANDS.entry(commands.ACCEPT)
def accept_lot(state: State, wire: Wire) -> tuple[State, Answer]:
    """Accept a lot, idempotently by name and digest; raise Conflict, StaleLot or TooManyLots."""
    command, lots = AcceptLot.from_wire(wire), lot_records(state)
    known = lots.get(command.lot)
    if known is not None:
        if known["digest"] != digest_of(command):
            raise Conflict(field="lot", lot=command.lot)
        return state, {"lot": command.lot, "items": known["count"], "repeated": True}
    check_fresh(state, command)
    weight = sum(len(item) for item in command.items)
    open_weight = sum(lot["weight"] for lot in lots.values() if lot["phase"] == OPEN)
    if open_weight + weight > OPEN_LIMIT_BYTES:
        raise TooManyLots(lot=command.lot, open_weight=open_weight)
    lot: LotRecord = {
        "sender": command.sender,
        "entry": command.entry,
        "items": command.items,
        "count": len(command.items),
        "digest": digest_of(command),
        "weight": weight,
        "results": {},
        "started": {},
        "phase": OPEN,
    }
    return with_lot(state, command.lot, lot), {"lot": command.lot, "items": len(command.items)}


def digest_of(command: AcceptLot) -> bytes:
    """Return the digest by which a repeated submission is recognised."""
    fields = [command.sender, command.entry, command.items]
    return hashlib.sha256(cbor2.dumps(fields)).digest()[:16]


def _ended(lot: LotRecord, phase: str) -> LotRecord:
    """Return the record of a lot that is over: only its results are kept."""
    return {**lot, "phase": phase, "items": [], "started": {}}


def _find_open(state: State, name: str, number: int) -> LotRecord | None:
    """Return the lot if it is open and has no result for this item yet, else None."""
    lot = lot_records(state).get(name)
    if lot is None or lot["phase"] != OPEN or number in lot["results"]:
        return None
    return lot


@COMMANDS.entry(commands.START)
def start_item(state: State, wire: Wire) -> tuple[State, Answer]:
    """Mark an item that may not be repeated as started, before it is sent to a replica."""
    command = StartItem.from_wire(wire)
    lot = _find_open(state, command.lot, command.number)
    if lot is None:
        return state, {"may_run": False}
    started_by = lot["started"].get(command.number)
    if started_by is not None:
        is_same_leader = Ballot.from_wire(started_by) == command.ballot
        return state, {"may_run": bool(command.was_unsent) and is_same_leader}
    started = {**lot["started"], command.number: command.ballot.to_wire()}
    return with_lot(state, command.lot, {**lot, "started": started}), {"may_run": True}


@COMMANDS.entry(commands.RESULT)
def write_result(state: State, wire: Wire) -> tuple[State, Answer]:
    """Write an item's result; the first one wins and later ones change nothing."""
    command = WriteResult.from_wire(wire)
    lot = _find_open(state, command.lot, command.number)
    if lot is None:
        return state, {"written": False}
    results = {**lot["results"], command.number: command.result}
    new_lot: LotRecord = {**lot, "results": results}
    if len(results) == lot["count"]:
        new_lot = _ended(new_lot, ENDED)
    return with_lot(state, command.lot, new_lot), {"written": True}


@COMMANDS.entry(commands.CANCEL)
def cancel_lot(state: State, wire: Wire) -> tuple[State, Answer]:
    """Cancel a lot; the results that it has are kept."""
    command = CancelLot.from_wire(wire)
    lot = lot_records(state).get(command.lot)
    if lot is None or lot["sender"] != command.sender:
        raise NotFound(field="lot")
    if lot["phase"] != OPEN:
        return state, {"phase": lot["phase"]}
    return with_lot(state, command.lot, _ended(lot, CANCELLED)), {"phase": CANCELLED}


@COMMANDS.entry(commands.DROP)
def drop_lot(state: State, wire: Wire) -> tuple[State, Answer]:
    """Delete an ended lot whose retention is over."""
    command = DropLot.from_wire(wire)
    lot = lot_records(state).get(command.lot)
    if lot is None or lot["phase"] == OPEN:
        return state, {"dropped": False}
    return _without_lot(state, command.lot), {"dropped": True}


@COMMANDS.entry(commands.RELEASE)
def release_lot(state: State, wire: Wire) -> tuple[State, Answer]:
    """Delete an ended lot for its client; raise Conflict while it is open."""
    command = ReleaseLot.from_wire(wire)
    lot = _find_lot(state, command)
    if lot["phase"] == OPEN:
        raise Conflict(field="lot", lot=command.lot, phase=OPEN)
    return _without_lot(state, command.lot), {"released": True}


def _without_lot(state: State, name: str) -> State:
    lots = {other: lot for other, lot in lot_records(state).items() if other != name}
    return note_drop({**state, "lots": lots}, name)


def _find_lot(state: State, query: QueryStatus | QueryResults | ReleaseLot) -> LotRecord:
    """Return the lot; raise NotFound where there is none or another client submitted it."""
    lot = lot_records(state).get(query.lot)
    if lot is None or lot["sender"] != query.sender:
        raise NotFound(field="lot")
    return lot


@QUERIES.entry(commands.STATUS)
def lot_status(state: State, wire: Wire) -> Answer:
    """Return a lot's phase and its counts of items and results."""
    query = QueryStatus.from_wire(wire)
    lot = _find_lot(state, query)
    return {
        "lot": query.lot,
        "phase": lot["phase"],
        "items": lot["count"],
        "results": len(lot["results"]),
    }


@QUERIES.entry(commands.RESULTS)
def lot_results(state: State, wire: Wire) -> Answer:
    """Return the results from a position on, each with its position."""
    query = QueryResults.from_wire(wire)
    lot = _find_lot(state, query)
    numbers = range(query.start, min(lot["count"], query.start + query.most_items))
    return {
        "lot": query.lot,
        "phase": lot["phase"],
        "items": lot["count"],
        "results": [{"n": n, **lot["results"][n]} for n in numbers if n in lot["results"]],
    }
