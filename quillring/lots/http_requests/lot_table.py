"""The state that a part keeps of lots of HTTP requests, and the errors of handing one in."""

from quillring.kernel.errors import NotFound, QuillringError

FINISHED, ERRORED = "finished", "errored"
ITEM_ID, ITEM_TARGET, ITEM_PAIRS, ITEM_BODY, ITEM_TOKENS = range(5)
ITEM_WEIGHT = 400
HELD_WEIGHT = 40 << 20
KEPT_REFUSALS = 128
QUOTA, HELD, FENCED, MOVED = "quota", "held", "fenced", "moved"


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


def lot_records(state):
    """Return {lot: its record} of a part."""
    return state.get("raw") or {}


def find_lot(state, command):
    """Return the record of the lot that a command or query names, or raise NotFound."""
    lot = lot_records(state).get(command["lot"])
    if lot is None:
        raise NotFound(field="lot")
    return lot


def waiting_tokens(state, forward):
    """Return the tokens of the accepted items of a forward that have no result yet."""
    return sum(lot["tokens"] for lot in lot_records(state).values() if lot["forward"] == forward)


def weight_of(items):
    """Return about how many bytes items take."""
    return sum(len(item[ITEM_BODY]) + ITEM_WEIGHT for item in items)


def held_weight(state):
    """Return about how many bytes the lots of a part take."""
    known = state.get("raw_held")
    return sum(lot["weight"] for lot in lot_records(state).values()) if known is None else known


def with_lots(state, lots, change):
    """Return the state with other lots, whose weight changed by so much."""
    if "raw_held" not in state:
        return {**state, "raw": lots}
    return {**state, "raw": lots, "raw_held": state["raw_held"] + change}


def with_lot(state, name, lot):
    """Return the state with a lot's record put in its place."""
    former = lot_records(state).get(name, {"weight": 0})
    return with_lots(state, {**lot_records(state), name: lot}, lot["weight"] - former["weight"])
