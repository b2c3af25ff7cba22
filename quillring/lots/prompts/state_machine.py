"""Commands and queries of lots in the part that their service hashes to."""

import hashlib

import cbor2

from quillring.kernel.errors import Conflict, NotFound, QuillringError
from quillring.lots.prompts.acceptance_fence import check_fresh, note_drop
from quillring.quorum.commands import COMMANDS, QUERIES

OPEN, ENDED, CANCELLED = "open", "ended", "cancelled"
OPEN_WEIGHT = 16 << 20


class TooManyLots(QuillringError):
    """The part holds as much as it may, open or with results kept; the lot was not accepted."""

    kind = "too_many_lots"
    status = 503
    comes_back = True


@COMMANDS.entry("lot.accept")
def accept_lot(state, command):
    """Accept a lot; the same lot again is the same acceptance, a late copy is refused."""
    known = state["lots"].get(command["lot"])
    if known is not None:
        if known["digest"] != digest_of(command):
            raise Conflict(field="lot", lot=command["lot"])
        return state, {"lot": command["lot"], "items": known["count"], "repeated": True}
    check_fresh(state, command)
    weight = sum(len(item) for item in command["items"])
    open_weight = sum(lot["weight"] for lot in state["lots"].values() if lot["phase"] == OPEN)
    if open_weight + weight > OPEN_WEIGHT:
        raise TooManyLots(lot=command["lot"], open_weight=open_weight)
    lot = {
        "sender": command["sender"],
        "entry": command["entry"],
        "items": command["items"],
        "count": len(command["items"]),
        "digest": digest_of(command),
        "weight": weight,
        "results": {},
        "started": {},
        "phase": OPEN,
    }
    new_state = {**state, "lots": {**state["lots"], command["lot"]: lot}}
    return new_state, {"lot": command["lot"], "items": len(command["items"])}


def digest_of(command):
    """Return the digest that tells whether the same lot is handed in again."""
    fields = [command["sender"], command["entry"], command["items"]]
    return hashlib.sha256(cbor2.dumps(fields)).digest()[:16]


def _end(phase):
    """Return the changes that end a lot: only its results are kept."""
    return {"phase": phase, "items": [], "started": {}}


def _with_lot(state, name, **changes):
    return {**state, "lots": {**state["lots"], name: {**state["lots"][name], **changes}}}


@COMMANDS.entry("lot.start")
def start_item(state, command):
    """Mark an item that may not repeat as begun, before it is sent anywhere."""
    lot = state["lots"].get(command["lot"])
    if lot is None or lot["phase"] != OPEN or command["n"] in lot["results"]:
        return state, {"may_run": False}
    if command["n"] in lot["started"]:
        if command["was_unsent"] and lot["started"][command["n"]] == command["by"]:
            return state, {"may_run": True}
        return state, {"may_run": False}
    started = {**lot["started"], command["n"]: command["by"]}
    return _with_lot(state, command["lot"], started=started), {"may_run": True}


@COMMANDS.entry("lot.result")
def write_result(state, command):
    """Write the result at its position, once; a second one changes nothing."""
    lot = state["lots"].get(command["lot"])
    if lot is None or lot["phase"] != OPEN or command["n"] in lot["results"]:
        return state, {"written": False}
    results = {**lot["results"], command["n"]: command["result"]}
    changes = _end(ENDED) if len(results) == lot["count"] else {}
    new_state = _with_lot(state, command["lot"], results=results, **changes)
    return new_state, {"written": True}


@COMMANDS.entry("lot.cancel")
def cancel_lot(state, command):
    """End a lot early; results that stand keep standing."""
    lot = state["lots"].get(command["lot"])
    if lot is None or lot["sender"] != command["sender"]:
        raise NotFound(field="lot")
    if lot["phase"] != OPEN:
        return state, {"phase": lot["phase"]}
    return _with_lot(state, command["lot"], **_end(CANCELLED)), {"phase": CANCELLED}


@COMMANDS.entry("lot.drop")
def drop_lot(state, command):
    """Forget a lot whose end lies long back."""
    lot = state["lots"].get(command["lot"])
    if lot is None or lot["phase"] == OPEN:
        return state, {"dropped": False}
    lots = {name: kept for name, kept in state["lots"].items() if name != command["lot"]}
    return note_drop({**state, "lots": lots}, command["lot"]), {"dropped": True}


@COMMANDS.entry("lot.release")
def release_lot(state, command):
    """Forget an ended lot, since its sender has read what it wanted."""
    lot = _find_lot(state, command)
    if lot["phase"] == OPEN:
        raise Conflict(field="lot", lot=command["lot"], phase=OPEN)
    return drop_lot(state, command)[0], {"released": True}


def _find_lot(state, query):
    lot = state["lots"].get(query["lot"])
    if lot is None or lot["sender"] != query["sender"]:
        raise NotFound(field="lot")
    return lot


@QUERIES.entry("lot.status")
def lot_status(state, query):
    """Return how far a lot is."""
    lot = _find_lot(state, query)
    return {
        "lot": query["lot"],
        "phase": lot["phase"],
        "items": lot["count"],
        "results": len(lot["results"]),
    }


@QUERIES.entry("lot.results")
def lot_results(state, query):
    """Return the results from a position on, each with its position."""
    lot = _find_lot(state, query)
    numbers = range(query["from"], min(lot["count"], query["from"] + query["count"]))
    return {
        "lot": query["lot"],
        "phase": lot["phase"],
        "items": lot["count"],
        "results": [{"n": n, **lot["results"][n]} for n in numbers if n in lot["results"]],
    }
