"""Commands of the quota: tokens of a forward are reserved in one part before a lot is accepted.

The ledger of a host's forwards lives in the part that the host hashes to. An entry holds the tokens
of one lot, under a ticket; tickets only grow. The lot's own part accepts a lot under its ticket,
and can be told to refuse for ever all tickets of a ledger up to one, which is what makes it safe to
take the reservation of a lot back that did not arrive. See docs/raw-lots.md.
"""

from quillring.kernel.errors import Conflict
from quillring.lots.http_requests.state_machine import (
    QUOTA,
    keep_refusal,
    lot_records,
    repeat_answer,
)
from quillring.quorum.commands import COMMANDS

NO_LOT = ""


def reserved_lots(state):
    """Return {lot: its entry} of the ledger that a part keeps."""
    return (state.get("raw_ledger") or {}).get("lots") or {}


def reserved_tokens(state, forward):
    """Return the tokens that are reserved for a forward."""
    return (state.get("raw_ledger") or {}).get("forwards", {}).get(forward, {}).get("tokens", 0)


def first_ledger(state, part):
    """Return the ledger of a part that had none, with the lots that a former version left there."""
    lots, forwards = {}, {}
    for name, lot in lot_records(state).items():
        if not lot["tokens"] or "ticket" in lot:
            continue
        lots[name] = {
            "forward": lot["forward"],
            "part": part,
            "ticket": 0,
            "left": lot["tokens"],
            "digest": lot["digest"],
        }
        waiting = forwards.get(lot["forward"], {"tokens": 0, "most": 0})
        forwards[lot["forward"]] = {**waiting, "tokens": waiting["tokens"] + lot["tokens"]}
    return {"next": 1, "lots": lots, "forwards": forwards}


def with_tokens(forwards, forward, change, most=None):
    """Return the forwards of a ledger with one's tokens changed; one with none is left out."""
    known = forwards.get(forward, {"tokens": 0, "most": 0})
    tokens = known["tokens"] + change
    if not tokens:
        return {name: waiting for name, waiting in forwards.items() if name != forward}
    return {
        **forwards,
        forward: {"tokens": tokens, "most": known["most"] if most is None else most},
    }


@COMMANDS.entry("raw.reserve")
def reserve_tokens(state, command):
    """Reserve the tokens of a lot, or answer that its forward has no room for them.

    A lot that is reserved already keeps its ticket, unless the caller names it as refused for ever
    by the lot's own part (`fenced`): then a new one takes its place.
    """
    name, known = command["lot"], lot_records(state).get(command["lot"])
    if known is not None:
        return state, repeat_answer(known, command)
    ledger = state.get("raw_ledger") or first_ledger(state, command["home"])
    entry = ledger["lots"].get(name)
    if entry is not None and entry["digest"] != command["digest"]:
        raise Conflict(field="lot")
    if entry is not None and entry["ticket"] != command["fenced"]:
        return state, {"ticket": entry["ticket"]}
    forwards, ticket = ledger["forwards"], ledger["next"]
    if entry is None:
        if command["try"] in (state.get("raw_refusals") or {}):
            return state, {"refused": state["raw_refusals"][command["try"]]}
        waiting = forwards.get(command["forward"], {"tokens": 0})["tokens"]
        if waiting + command["tokens"] > command["most_tokens"]:
            return keep_refusal({**state, "raw_ledger": ledger}, command["try"], QUOTA)
        forwards = with_tokens(
            forwards, command["forward"], command["tokens"], command["most_tokens"]
        )
        entry = {
            "forward": command["forward"],
            "part": command["part"],
            "left": command["tokens"],
            "digest": command["digest"],
        }
    lots = {**ledger["lots"], name: {**entry, "ticket": ticket}}
    new_ledger = {"next": ticket + 1, "lots": lots, "forwards": forwards}
    return {**state, "raw_ledger": new_ledger}, {"ticket": ticket}


@COMMANDS.entry("raw.release")
def release_tokens(state, command):
    """Lower reservations to what still waits; rows are [lot, ticket, tokens left].

    An entry only ever falls under its ticket and goes when nothing is left, so a row may be
    repeated, late or out of order.
    """
    ledger = state.get("raw_ledger")
    if ledger is None:
        return state, {"released": 0}
    lots, forwards, released = dict(ledger["lots"]), ledger["forwards"], 0
    for name, ticket, left in command["rows"]:
        entry = lots.get(name)
        if entry is None or entry["ticket"] != ticket or (left and left >= entry["left"]):
            continue
        released += entry["left"] - left
        forwards = with_tokens(forwards, entry["forward"], left - entry["left"])
        if left:
            lots[name] = {**entry, "left": left}
        else:
            del lots[name]
    return {
        **state,
        "raw_ledger": {**ledger, "lots": lots, "forwards": forwards},
    }, {"released": released}


@COMMANDS.entry("raw.fence")
def fence_tickets(state, command):
    """Refuse from now on every unknown lot with a ticket of this ledger up to the one named.

    Answers the tokens that wait of the lots that are known: {lot: tokens}.
    """
    fences = state.get("raw_fences") or {}
    ticket = max(command["ticket"], fences.get(command["ledger"], 0))
    return {**state, "raw_fences": {**fences, command["ledger"]: ticket}}, {
        "left": tokens_left(state, command["lots"])
    }


def tokens_left(state, names):
    """Return {lot: tokens of its items without a result} of those named lots that are known."""
    lots = lot_records(state)
    return {name: lots[name]["tokens"] for name in names if name in lots}
