"""The fence of the own interface's lots: a late copy of an acceptance takes no forgotten lot anew.

A part counts the lots that it forgot, and remembers the count at which each of the last ones went.
An acceptance names the count that its node had read when the request came in. Where the lot's own
name was forgotten since, or might have been as the memory no longer reaches so far back, it is
refused; a lot that is there is told as taken before that. No clock takes part in this.
"""

from quillring.kernel.errors import QuillringError
from quillring.quorum.commands import QUERIES

FENCE_LEVEL = 3
KEPT_DROPS = 256
NOTHING_DROPPED = {"count": 0, "floor": 0, "kept": {}}


class StaleLot(QuillringError):
    """A lot of this name, or too many others, were forgotten since the request came in."""

    kind = "stale_lot"
    status = 503
    comes_back = True


def drops_of(state):
    """Return the part's table of forgotten lots."""
    return state.get("lot_drops") or NOTHING_DROPPED


def check_fresh(state, command):
    """Raise StaleLot for an acceptance from before the lot of its name was forgotten.

    One of the version before names no count and is not fenced.
    """
    seen_drops, drops = command.get("seen_drops"), drops_of(state)
    if seen_drops is None:
        return
    last_drop = drops["kept"].get(command["lot"], drops["floor"])
    if seen_drops < last_drop:
        raise StaleLot(lot=command["lot"], drops=last_drop, seen_drops=seen_drops)


def note_drop(state, name):
    """Return the state that remembers when a lot was forgotten, in bounded memory."""
    drops = drops_of(state)
    count = drops["count"] + 1
    kept = {lot: at for lot, at in drops["kept"].items() if lot != name}
    kept[name] = count
    surplus = list(kept)[: max(0, len(kept) - KEPT_DROPS)]
    floor = max([drops["floor"], *(kept.pop(lot) for lot in surplus)])
    return {**state, "lot_drops": {"count": count, "floor": floor, "kept": kept}}


@QUERIES.entry("lot.fence")
def lot_fence(state, query):
    """Return how many lots the part forgot, which an acceptance has to name."""
    return {"drops": drops_of(state)["count"]}


def submit_accept(node, part, command):
    """Coroutine: commit an acceptance under the fence of what the part had forgotten by now.

    One that is refused as stale is not tried again here: the node may just have woken with an old
    request in its hands.
    """
    ownership = node.find("ownership")
    if node.find("nifty").lowest_common_version() < FENCE_LEVEL:
        return (yield from ownership.submit(part, command))
    end_time = node.now() + node.bounds.propagation * 2
    fence = yield from ownership.read(part, {"ask": "lot.fence"})
    fenced = {**command, "seen_drops": fence["drops"]}
    return (yield from ownership.submit(part, fenced, max(0, end_time - node.now())))
