"""Apply the commands and queries of HTTP request lots to a part's state.

Items are sent to replicas unchanged, and the results of a lot have one order for all readers. A lot
is stored in the part that its key (lot and host) hashes to; before that, its tokens are reserved in
the part of its host (`token_reservations`). A change copies only the tables of its lot; bodies and
texts are shared between the copies, and the total of stored bytes is maintained incrementally.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from quillring.kernel.errors import Conflict, NotFound
from quillring.kernel.records import NamedTuple
from quillring.lots.http_requests import commands
from quillring.lots.http_requests.commands import (
    AcceptLot,
    CountFailure,
    DropLot,
    EndLot,
    ExpireLot,
    ListResult,
    QueryItemBody,
    QueryKnownLot,
    QueryResults,
    Wire,
)
from quillring.lots.http_requests.lot_table import (
    ERRORED,
    FENCED,
    HELD,
    HELD_LIMIT_BYTES,
    ITEM_OVERHEAD_BYTES,
    MOVED,
    QUOTA,
    Item,
    ItemResult,
    LotRecord,
    RefusalReason,
    State,
    bytes_of_items,
    fence_of,
    find_lot,
    held_bytes,
    lot_records,
    pending_tokens,
    refusals_by_attempt,
    stored_text,
    stored_tokens,
    with_fence,
    with_lot,
    with_lots,
    with_refusal,
)
from quillring.quorum.commands import COMMANDS, QUERIES

RESULT_OVERHEAD_BYTES = 100

Answer = dict[str, Any]
"""The wire form of the answer to a command or query."""


class NewResult(NamedTuple):
    """A result to append to a lot's results."""

    number: int
    state: str
    text: bytes


def repeat_answer(lot: LotRecord, digest: bytes) -> Answer:
    """Return the answer to a repeated submission; raise Conflict if the digests differ."""
    if lot["digest"] != digest:
        raise Conflict(field="lot")
    return {"items": lot["count"], "repeated": True}


def refusal_reason(
    state: State, command: AcceptLot, tokens: int, size_bytes: int
) -> RefusalReason | None:
    """Return the reason why a part refuses a new lot, or None if it accepts the lot.

    The tokens of a lot with a ticket were reserved by the part that issued the ticket. A lot
    without a ticket was submitted by a node of the previous version, or its forward has no quota. A
    part that stores reservations refuses lots of the previous version.
    """
    if command.ticket is not None:
        if command.ticket <= fence_of(state, command.reserving_part or ""):
            return FENCED
    elif command.most_tokens:
        if state.get("raw_ledger") is not None:
            return MOVED
        if pending_tokens(state, command.forward) + tokens > command.most_tokens:
            return QUOTA
    limit_bytes = command.max_held_bytes or HELD_LIMIT_BYTES
    return HELD if held_bytes(state) + size_bytes > limit_bytes else None


@COMMANDS.entry(commands.ACCEPT)
def accept_lot(state: State, wire: Wire) -> tuple[State, Answer]:
    """Accept a lot, idempotently; an attempt stays refused while its refusal is recorded."""
    command = AcceptLot.from_wire(wire)
    existing = lot_records(state).get(command.lot)
    if existing is not None:
        return state, repeat_answer(existing, command.digest)
    recorded_refusals = refusals_by_attempt(state)
    if command.attempt in recorded_refusals:
        return state, {"refused": recorded_refusals[command.attempt]}
    tokens = sum(map(stored_tokens, command.items))
    size_bytes = bytes_of_items(command.items)
    reason = refusal_reason(state, command, tokens, size_bytes)
    if reason in (FENCED, MOVED):
        return state, {"refused": reason}
    if reason is not None:
        return with_refusal(state, command.attempt, reason), {"refused": reason}
    if command.max_held_bytes is not None and "raw_held" not in state:
        state = {**state, "raw_held": held_bytes(state)}
    lot = new_record(command, tokens, size_bytes)
    return with_lot(state, command.lot, lot), {"items": len(command.items)}


def new_record(command: AcceptLot, tokens: int, size_bytes: int) -> LotRecord:
    """Return the initial record of a lot."""
    lot: LotRecord = {
        "forward": command.forward,
        "host": command.host,
        "digest": command.digest,
        "at": command.submitted_at_ms,
        "due_ms": command.due_ms,
        "retain_ms": command.retain_ms,
        "rounds": command.max_attempts,
        "count": len(command.items),
        "tokens": tokens,
        "weight": size_bytes,
        "items": dict(enumerate(command.items)),
        "results": [],
        "failed": {},
        "ended": False,
    }
    if command.ticket is not None and command.reserving_part is not None:
        lot["ledger"] = command.reserving_part
        lot["ticket"] = command.ticket
    return lot


def list_items(lot: LotRecord, new_results: Iterable[NewResult]) -> LotRecord:
    """Return the record with results appended, and their items no longer pending."""
    listed, results = {}, list(lot["results"])
    added_bytes = 0
    for new in new_results:
        item = Item.from_stored(lot["items"][new.number])
        listed[new.number] = item
        results.append(ItemResult(item.item_id, new.state, new.text).to_stored())
        added_bytes += len(new.text) + ITEM_OVERHEAD_BYTES
    freed_bytes = sum(len(item.body) + ITEM_OVERHEAD_BYTES for item in listed.values())
    return {
        **lot,
        "results": results,
        "items": _without(lot["items"], listed),
        "failed": _without(lot["failed"], listed),
        "tokens": lot["tokens"] - sum(item.tokens for item in listed.values()),
        "weight": lot["weight"] - freed_bytes + added_bytes,
    }


def _without(table: Mapping[int, Any], numbers: Mapping[int, Any]) -> dict[int, Any]:
    """Return a copy of the table without the entries of these item numbers."""
    remaining = dict(table)
    for number in numbers:
        remaining.pop(number, None)
    return remaining


@COMMANDS.entry(commands.LIST_RESULT)
def list_result(state: State, wire: Wire) -> tuple[State, Answer]:
    """Append an item's result to the lot's results; later results of the item are ignored."""
    command = ListResult.from_wire(wire)
    lot = lot_records(state).get(command.lot)
    if lot is None or command.number not in lot["items"]:
        return state, {"listed": False}
    new_lot = list_items(lot, [NewResult(command.number, command.state, command.text)])
    return with_lot(state, command.lot, new_lot), {"listed": True}


@COMMANDS.entry(commands.COUNT_FAILURE)
def count_failure(state: State, wire: Wire) -> tuple[State, Answer]:
    """Count a failed run once; after `rounds` failed runs, list the item as errored."""
    command = CountFailure.from_wire(wire)
    lot = lot_records(state).get(command.lot)
    if lot is None or command.number not in lot["items"]:
        return state, {"listed": False}
    failed_runs = lot["failed"].get(command.number, [])
    if command.run_id in failed_runs:
        return state, {"listed": False}
    if len(failed_runs) + 1 >= lot["rounds"]:
        new_lot = list_items(lot, [NewResult(command.number, ERRORED, b"")])
        return with_lot(state, command.lot, new_lot), {"listed": True}
    failed = {**lot["failed"], command.number: [*failed_runs, command.run_id]}
    return with_lot(state, command.lot, {**lot, "failed": failed}), {"listed": False}


@COMMANDS.entry(commands.EXPIRE)
def expire_lot(state: State, wire: Wire) -> tuple[State, Answer]:
    """List all pending items as errored: the retention is over or the forward was removed."""
    command = ExpireLot.from_wire(wire)
    lot = lot_records(state).get(command.lot)
    if lot is None or not lot["items"]:
        return state, {"listed": 0}
    new_lot = list_items(lot, [NewResult(number, ERRORED, b"") for number in lot["items"]])
    return with_lot(state, command.lot, new_lot), {"listed": len(lot["items"])}


@COMMANDS.entry(commands.END)
def end_lot(state: State, wire: Wire) -> tuple[State, Answer]:
    """End a lot: retain the listed results, drop the pending items with their bodies."""
    command = EndLot.from_wire(wire)
    lot = find_lot(state, command.lot)
    if lot["ended"]:
        return state, {"ended": True, "repeated": True}
    new_lot: LotRecord = {
        **lot,
        "ended": True,
        "items": {},
        "failed": {},
        "tokens": 0,
        "weight": lot["weight"] - bytes_of_items(lot["items"].values()),
    }
    return with_lot(state, command.lot, new_lot), {"ended": True}


@COMMANDS.entry(commands.DROP)
def drop_lot(state: State, wire: Wire) -> tuple[State, Answer]:
    """Delete a lot without pending items, and fence its ticket against a delayed acceptance."""
    command = DropLot.from_wire(wire)
    lots = lot_records(state)
    lot = lots.get(command.lot)
    if lot is None or lot["items"]:
        return state, {"dropped": False}
    other_lots = {key: other for key, other in lots.items() if key != command.lot}
    state = with_lots(state, other_lots, -lot["weight"])
    if "ticket" in lot:
        state = with_fence(state, lot["ledger"], lot["ticket"])
    return state, {"dropped": True}


@QUERIES.entry(commands.RESULTS)
def query_results(state: State, wire: Wire) -> Answer:
    """Return the results from a position on that fit into the limit, at least one if any exist."""
    query = QueryResults.from_wire(wire)
    lot = find_lot(state, query.lot)
    page = results_within_limit(lot["results"][query.start :], query.limit_bytes)
    return {
        "items": lot["count"],
        "results": page,
        "next": query.start + len(page),
        "is_over": not lot["items"],
    }


def results_within_limit(results: list[list[Any]], limit_bytes: int) -> list[list[Any]]:
    """Return the longest prefix of stored results within the limit, at least one if any exist."""
    text_bytes = sum(map(len, map(stored_text, results)))
    if text_bytes + RESULT_OVERHEAD_BYTES * len(results) <= limit_bytes:
        return results
    size_bytes = 0
    for count, text in enumerate(map(stored_text, results)):
        size_bytes += len(text) + RESULT_OVERHEAD_BYTES
        if count and size_bytes > limit_bytes:
            return results[:count]
    return results


@QUERIES.entry(commands.KNOWN)
def query_known_lot(state: State, wire: Wire) -> Answer:
    """Return the answer to a repeated submission; raise NotFound for an unknown lot."""
    query = QueryKnownLot.from_wire(wire)
    return repeat_answer(find_lot(state, query.lot), query.digest)


@QUERIES.entry(commands.ITEM_BODY)
def query_item_body(state: State, wire: Wire) -> Answer:
    """Return the body of a pending item; raise NotFound for an unknown lot or item."""
    query = QueryItemBody.from_wire(wire)
    lot = find_lot(state, query.lot)
    for fields in lot["items"].values():
        item = Item.from_stored(fields)
        if item.item_id == query.item_id:
            return {"body": item.body}
    raise NotFound(field="item")
