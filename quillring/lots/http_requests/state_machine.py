"""What commands and queries of these lots do to a part's state.

Items go to replicas unchanged, results have one order. A lot lives in the part that its key (lot
and host) hashes to; the tokens that wait on a forward are reserved in the part of its host before
(`token_reservations`). Every change copies the lot's
own small tables only; bodies and texts are shared, and what the part holds is counted along.
"""

from quillring.kernel.errors import Conflict, NotFound
from quillring.lots.http_requests.lot_table import (
    ERRORED,
    FENCED,
    FINISHED,
    HELD,
    HELD_WEIGHT,
    ITEM_BODY,
    ITEM_ID,
    ITEM_TOKENS,
    ITEM_WEIGHT,
    KEPT_REFUSALS,
    MOVED,
    QUOTA,
    HeldTooMuch,
    QuotaExceeded,
    find_lot,
    held_weight,
    lot_records,
    waiting_tokens,
    weight_of,
    with_lot,
    with_lots,
)
from quillring.quorum.commands import COMMANDS, QUERIES

__all__ = [
    "ERRORED",
    "FINISHED",
    "HELD",
    "QUOTA",
    "HeldTooMuch",
    "QuotaExceeded",
    "lot_records",
    "waiting_tokens",
    "with_lot",
]


def repeat_answer(lot, command):
    """Return the answer to a lot that is handed in again; Conflict where it is another one."""
    if lot["digest"] != command["digest"]:
        raise Conflict(field="lot")
    return {"items": lot["count"], "repeated": True}


def keep_refusal(state, attempt, reason):
    """Return the state that refuses this try from now on, and the answer."""
    refusals = state.get("raw_refusals") or {}
    kept = dict([*refusals.items(), (attempt, reason)][-KEPT_REFUSALS:])
    return {**state, "raw_refusals": kept}, {"refused": reason}


def why_refused(state, command, tokens, weight):
    """Return why a part does not take a new lot, or None.

    A lot with a ticket was counted by the ledger that gave it. One without is of a former version,
    or its forward has no limit; in a part that keeps a ledger already the former way is closed.
    """
    if command.get("ticket") is not None:
        if command["ticket"] <= (state.get("raw_fences") or {}).get(command["ledger"], 0):
            return FENCED
    elif command["most_tokens"]:
        if state.get("raw_ledger") is not None:
            return MOVED
        if waiting_tokens(state, command["forward"]) + tokens > command["most_tokens"]:
            return QUOTA
    most_weight = command.get("most_weight") or HELD_WEIGHT
    return HELD if held_weight(state) + weight > most_weight else None


@COMMANDS.entry("raw.accept")
def accept_lot(state, command):
    """Accept a lot once; a try that was refused stays refused, however late it comes again."""
    name, known = command["lot"], lot_records(state).get(command["lot"])
    if known is not None:
        return state, repeat_answer(known, command)
    refusals = state.get("raw_refusals") or {}
    if command["try"] in refusals:
        return state, {"refused": refusals[command["try"]]}
    items = command["items"]
    tokens, weight = sum(item[ITEM_TOKENS] for item in items), weight_of(items)
    reason = why_refused(state, command, tokens, weight)
    if reason in (FENCED, MOVED):
        return state, {"refused": reason}
    if reason is not None:
        return keep_refusal(state, command["try"], reason)
    lot = {
        "forward": command["forward"],
        "host": command["host"],
        "digest": command["digest"],
        "at": command["at"],
        "due_ms": command["due_ms"],
        "retain_ms": command["retain_ms"],
        "rounds": command["rounds"],
        "count": len(items),
        "tokens": tokens,
        "weight": weight,
        "items": dict(enumerate(items)),
        "results": [],
        "failed": {},
        "ended": False,
    }
    if command.get("ticket") is not None:
        lot = {**lot, "ledger": command["ledger"], "ticket": command["ticket"]}
    if "most_weight" in command and "raw_held" not in state:
        state = {**state, "raw_held": held_weight(state)}
    return with_lot(state, name, lot), {"items": len(items)}


def list_items(lot, rows):
    """Return the record with results at its next positions; rows are [number, state, text]."""
    numbers = {number for number, _, _ in rows}
    listed = [lot["items"][number] for number in numbers]
    return {
        **lot,
        "results": [*lot["results"], *([lot["items"][n][ITEM_ID], s, t] for n, s, t in rows)],
        "items": {n: item for n, item in lot["items"].items() if n not in numbers},
        "failed": {n: runs for n, runs in lot["failed"].items() if n not in numbers},
        "tokens": lot["tokens"] - sum(item[ITEM_TOKENS] for item in listed),
        "weight": lot["weight"]
        - weight_of(listed)
        + sum(len(text) + ITEM_WEIGHT for _, _, text in rows),
    }


@COMMANDS.entry("raw.result")
def list_result(state, command):
    """List an item's result at the next position; an item that stands already changes nothing."""
    lot = lot_records(state).get(command["lot"])
    if lot is None or command["n"] not in lot["items"]:
        return state, {"listed": False}
    new_lot = list_items(lot, [[command["n"], command["state"], command["text"]]])
    return with_lot(state, command["lot"], new_lot), {"listed": True}


@COMMANDS.entry("raw.failed")
def count_failure(state, command):
    """Count a run that a replica answered as failed; the last round's one lists the item."""
    lot, number = lot_records(state).get(command["lot"]), command["n"]
    if lot is None or number not in lot["items"]:
        return state, {"listed": False}
    runs = lot["failed"].get(number, [])
    if command["run"] in runs:
        return state, {"listed": False}
    if len(runs) + 1 >= lot["rounds"]:
        new_lot = list_items(lot, [[number, ERRORED, b""]])
        return with_lot(state, command["lot"], new_lot), {"listed": True}
    new_lot = {**lot, "failed": {**lot["failed"], number: [*runs, command["run"]]}}
    return with_lot(state, command["lot"], new_lot), {"listed": False}


@COMMANDS.entry("raw.expire")
def expire_lot(state, command):
    """List whatever is left of a lot as errored: its time or its forward is over."""
    lot = lot_records(state).get(command["lot"])
    if lot is None or not lot["items"]:
        return state, {"listed": 0}
    new_lot = list_items(lot, [[number, ERRORED, b""] for number in lot["items"]])
    return with_lot(state, command["lot"], new_lot), {"listed": len(lot["items"])}


@COMMANDS.entry("raw.end")
def end_lot(state, command):
    """End a lot: what is listed stays, the rest is dropped with its bodies."""
    lot = find_lot(state, command)
    if lot["ended"]:
        return state, {"ended": True, "repeated": True}
    new_lot = {
        **lot,
        "ended": True,
        "items": {},
        "failed": {},
        "tokens": 0,
        "weight": lot["weight"] - weight_of(lot["items"].values()),
    }
    return with_lot(state, command["lot"], new_lot), {"ended": True}


@COMMANDS.entry("raw.drop")
def drop_lot(state, command):
    """Forget a lot of which nothing waits any more; its ticket takes no lot again."""
    lot = lot_records(state).get(command["lot"])
    if lot is None or lot["items"]:
        return state, {"dropped": False}
    lots = {name: kept for name, kept in lot_records(state).items() if name != command["lot"]}
    state = with_lots(state, lots, -lot["weight"])
    if "ticket" in lot:
        fences = state.get("raw_fences") or {}
        ticket = max(lot["ticket"], fences.get(lot["ledger"], 0))
        state = {**state, "raw_fences": {**fences, lot["ledger"]: ticket}}
    return state, {"dropped": True}


@QUERIES.entry("raw.results")
def query_results(state, query):
    """Return the results from a position on, as many as the limit takes, one at least."""
    lot = find_lot(state, query)
    chosen_results, weight = [], 0
    for result in lot["results"][query["from"] :]:
        weight += len(result[2]) + 100
        if chosen_results and weight > query["limit"]:
            break
        chosen_results.append(result)
    return {
        "items": lot["count"],
        "results": chosen_results,
        "next": query["from"] + len(chosen_results),
        "is_over": not lot["items"],
    }


@QUERIES.entry("raw.known")
def query_known_lot(state, query):
    """Return the answer to a lot that is handed in again; NotFound where it is not known here."""
    return repeat_answer(find_lot(state, query), query)


@QUERIES.entry("raw.body")
def query_item_body(state, query):
    """Return the body of an item that is not listed yet."""
    lot = find_lot(state, query)
    for item in lot["items"].values():
        if item[ITEM_ID] == query["item"]:
            return {"body": item[ITEM_BODY]}
    raise NotFound(field="item")
