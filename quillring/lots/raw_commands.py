"""Commands and queries of raw lots: items that go to replicas unchanged, results in one order.

A raw lot lives in the part that its host hashes to: reads name no more than host and lot, and the
tokens that wait on one forward are counted in one place. Every change copies the lot's own small
tables only; bodies and texts are shared.
"""

from quillring.kernel.errors import Conflict, NotFound, QuillringError
from quillring.quorum.commands import COMMANDS, QUERIES

FINISHED, ERRORED = "finished", "errored"
ITEM_ID, ITEM_TARGET, ITEM_PAIRS, ITEM_BODY, ITEM_TOKENS = range(5)
ITEM_WEIGHT = 400
HELD_WEIGHT = 40 << 20
KEPT_REFUSALS = 128
QUOTA, HELD = "quota", "held"


class QuotaExceeded(QuillringError):
    """The tokens that wait on the forward leave no room for the lot; none of it will run."""

    kind = "quota_exceeded"
    status = 429
    comes_back = True


class HeldTooMuch(QuillringError):
    """The part holds as many bodies and results as it may; none of the lot will run."""

    kind = "held_too_much"
    status = 503
    comes_back = True


def raw_lots(state):
    """Return {lot: its record} of a part."""
    return state.get("raw") or {}


def find_raw_lot(state, command):
    """Return the record of the lot that a command or query names, or raise NotFound."""
    lot = raw_lots(state).get(command["lot"])
    if lot is None:
        raise NotFound(field="lot")
    return lot


def waiting_tokens(state, forward):
    """Return the tokens of the accepted items of a forward that have no result yet."""
    return sum(lot["tokens"] for lot in raw_lots(state).values() if lot["forward"] == forward)


def weight_of(items):
    """Return about how many bytes items take."""
    return sum(len(item[ITEM_BODY]) + ITEM_WEIGHT for item in items)


def with_lot(state, name, lot):
    """Return the state with a lot's record put in its place."""
    return {**state, "raw": {**raw_lots(state), name: lot}}


@COMMANDS.entry("raw.accept")
def accept_raw_lot(state, command):
    """Accept a lot once; a try that was refused stays refused, however late it comes again."""
    name, known = command["lot"], raw_lots(state).get(command["lot"])
    if known is not None:
        if known["digest"] != command["digest"]:
            raise Conflict(field="lot")
        return state, {"items": known["count"], "repeated": True}
    refusals = state.get("raw_refusals") or {}
    if command["try"] in refusals:
        return state, {"refused": refusals[command["try"]]}
    items, reason = command["items"], None
    tokens = sum(item[ITEM_TOKENS] for item in items)
    weight = weight_of(items)
    if (
        command["most_tokens"]
        and waiting_tokens(state, command["forward"]) + tokens > command["most_tokens"]
    ):
        reason = QUOTA
    elif weight + sum(lot["weight"] for lot in raw_lots(state).values()) > HELD_WEIGHT:
        reason = HELD
    if reason is not None:
        kept = dict([*refusals.items(), (command["try"], reason)][-KEPT_REFUSALS:])
        return {**state, "raw_refusals": kept}, {"refused": reason}
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
    lot = raw_lots(state).get(command["lot"])
    if lot is None or command["n"] not in lot["items"]:
        return state, {"listed": False}
    new_lot = list_items(lot, [[command["n"], command["state"], command["text"]]])
    return with_lot(state, command["lot"], new_lot), {"listed": True}


@COMMANDS.entry("raw.failed")
def count_failure(state, command):
    """Count a run that a replica answered as failed; the last round's one lists the item."""
    lot, number = raw_lots(state).get(command["lot"]), command["n"]
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
    lot = raw_lots(state).get(command["lot"])
    if lot is None or not lot["items"]:
        return state, {"listed": 0}
    new_lot = list_items(lot, [[number, ERRORED, b""] for number in lot["items"]])
    return with_lot(state, command["lot"], new_lot), {"listed": len(lot["items"])}


@COMMANDS.entry("raw.end")
def end_raw_lot(state, command):
    """End a lot: what is listed stays, the rest is dropped with its bodies."""
    lot = find_raw_lot(state, command)
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
def drop_raw_lot(state, command):
    """Forget a lot of which nothing waits any more."""
    lot = raw_lots(state).get(command["lot"])
    if lot is None or lot["items"]:
        return state, {"dropped": False}
    lots = {name: kept for name, kept in raw_lots(state).items() if name != command["lot"]}
    return {**state, "raw": lots}, {"dropped": True}


@QUERIES.entry("raw.results")
def raw_results(state, query):
    """Return the results from a position on, as many as the limit takes, one at least."""
    lot = find_raw_lot(state, query)
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


@QUERIES.entry("raw.body")
def raw_body(state, query):
    """Return the body of an item that is not listed yet."""
    lot = find_raw_lot(state, query)
    for item in lot["items"].values():
        if item[ITEM_ID] == query["item"]:
            return {"body": item[ITEM_BODY]}
    raise NotFound(field="item")
