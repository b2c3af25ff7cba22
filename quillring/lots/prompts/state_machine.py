"""State machine of prompt lots: applies commands and queries to the state of a part."""

from __future__ import annotations

import hashlib
from typing import Any

import cbor2

from quillring.kernel.errors import Conflict, NotFound, QuillringError
from quillring.lots.prompts import commands
from quillring.lots.prompts.acceptance_fence import check_not_stale, record_drop
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

MAX_OPEN_CHARACTERS = 16 << 20
"""Limit of the total length of a part's open lots."""

Answer = dict[str, Any]
"""The answer to a command or query, in wire form."""


class TooManyLots(QuillringError):
    """The part's open lots or retained results are at their size limit; the lot is refused."""

    kind = "too_many_lots"
    status = 503
    may_retry_later = True


@COMMANDS.entry(commands.ACCEPT)
def accept_lot(state: State, wire: Wire) -> tuple[State, Answer]:
    """Accept a lot, idempotently by name and digest.

    Raises Conflict if a lot of the name exists with other content, StaleLot for a delayed
    duplicate of a dropped lot, and TooManyLots over the size limit.
    """
    command, lots = AcceptLot.from_wire(wire), lot_records(state)
    known = lots.get(command.lot)
    if known is not None:
        if known["digest"] != submission_digest(command):
            raise Conflict(field="lot", lot=command.lot)
        return state, {"lot": command.lot, "items": known["count"], "repeated": True}
    check_not_stale(state, command)
    character_count = sum(len(item) for item in command.items)
    open_characters = sum(lot["weight"] for lot in lots.values() if lot["phase"] == OPEN)
    if open_characters + character_count > MAX_OPEN_CHARACTERS:
        raise TooManyLots(lot=command.lot, open_weight=open_characters)
    lot: LotRecord = {
        "sender": command.sender,
        "entry": command.entry,
        "items": command.items,
        "count": len(command.items),
        "digest": submission_digest(command),
        "weight": character_count,
        "results": {},
        "started": {},
        "phase": OPEN,
    }
    return with_lot(state, command.lot, lot), {"lot": command.lot, "items": len(command.items)}


def submission_digest(command: AcceptLot) -> bytes:
    """Return the digest that identifies repeated submissions of the same lot."""
    fields = [command.sender, command.entry, command.items]
    return hashlib.sha256(cbor2.dumps(fields)).digest()[:16]


def _close_lot(lot: LotRecord, phase: str) -> LotRecord:
    """Return the record of a lot in a final phase: its items and starts are removed."""
    return {**lot, "phase": phase, "items": [], "started": {}}


def _find_pending(state: State, name: str, number: int) -> LotRecord | None:
    """Return the lot if it is open and the item has no result yet, otherwise None."""
    lot = lot_records(state).get(name)
    if lot is None or lot["phase"] != OPEN or number in lot["results"]:
        return None
    return lot


@COMMANDS.entry(commands.START)
def start_item(state: State, wire: Wire) -> tuple[State, Answer]:
    """Mark an item that must not run twice as started, before it is sent to a replica.

    A second start is permitted only to the same leader if nothing reached a replica.
    """
    command = StartItem.from_wire(wire)
    lot = _find_pending(state, command.lot, command.number)
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
    """Write an item's result; the first result wins and later ones are ignored."""
    command = WriteResult.from_wire(wire)
    lot = _find_pending(state, command.lot, command.number)
    if lot is None:
        return state, {"written": False}
    results = {**lot["results"], command.number: command.result}
    new_lot: LotRecord = {**lot, "results": results}
    if len(results) == lot["count"]:
        new_lot = _close_lot(new_lot, ENDED)
    return with_lot(state, command.lot, new_lot), {"written": True}


@COMMANDS.entry(commands.CANCEL)
def cancel_lot(state: State, wire: Wire) -> tuple[State, Answer]:
    """Cancel a lot; results written so far are retained. Raises NotFound for other clients."""
    command = CancelLot.from_wire(wire)
    lot = lot_records(state).get(command.lot)
    if lot is None or lot["sender"] != command.sender:
        raise NotFound(field="lot")
    if lot["phase"] != OPEN:
        return state, {"phase": lot["phase"]}
    return with_lot(state, command.lot, _close_lot(lot, CANCELLED)), {"phase": CANCELLED}


@COMMANDS.entry(commands.DROP)
def drop_lot(state: State, wire: Wire) -> tuple[State, Answer]:
    """Delete an ended lot whose retention period is over; an open lot stays."""
    command = DropLot.from_wire(wire)
    lot = lot_records(state).get(command.lot)
    if lot is None or lot["phase"] == OPEN:
        return state, {"dropped": False}
    return _remove_lot(state, command.lot), {"dropped": True}


@COMMANDS.entry(commands.RELEASE)
def release_lot(state: State, wire: Wire) -> tuple[State, Answer]:
    """Delete an ended lot for its client; raise Conflict if it is still open."""
    command = ReleaseLot.from_wire(wire)
    lot = _find_lot(state, command)
    if lot["phase"] == OPEN:
        raise Conflict(field="lot", lot=command.lot, phase=OPEN)
    return _remove_lot(state, command.lot), {"released": True}


def _remove_lot(state: State, name: str) -> State:
    """Return the state without a lot, with its drop recorded for the acceptance fence."""
    lots = {other: lot for other, lot in lot_records(state).items() if other != name}
    return record_drop({**state, "lots": lots}, name)


def _find_lot(state: State, query: QueryStatus | QueryResults | ReleaseLot) -> LotRecord:
    """Return the lot; raise NotFound if it does not exist or belongs to another client."""
    lot = lot_records(state).get(query.lot)
    if lot is None or lot["sender"] != query.sender:
        raise NotFound(field="lot")
    return lot


@QUERIES.entry(commands.STATUS)
def lot_status(state: State, wire: Wire) -> Answer:
    """Return a lot's phase and the numbers of its items and results."""
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
    """Return the results from a position on, each with its item number."""
    query = QueryResults.from_wire(wire)
    lot = _find_lot(state, query)
    numbers = range(query.start, min(lot["count"], query.start + query.max_items))
    return {
        "lot": query.lot,
        "phase": lot["phase"],
        "items": lot["count"],
        "results": [{"n": n, **lot["results"][n]} for n in numbers if n in lot["results"]],
    }
