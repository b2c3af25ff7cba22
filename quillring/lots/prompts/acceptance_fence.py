"""Fence delayed duplicates of an acceptance: none may accept a lot again that was dropped.

A part counts the lots that it dropped, and keeps the count at which each of the last KEPT_DROPS
was dropped. An acceptance carries the count that its node read when the request came in, as a
fencing token. It is refused where the lot's own name was dropped since, or may have been because
the table no longer reaches so far back. A lot that still exists is answered as a repetition before
that check. No clock takes part in this.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.errors import QuillringError
from quillring.lots.prompts import commands
from quillring.lots.prompts.commands import AcceptLot, QueryFence, Wire
from quillring.lots.prompts.lot_table import DropTable, State
from quillring.quorum.commands import QUERIES

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

FENCE_LEVEL = 3
"""The wire version from which acceptances are fenced."""
KEPT_DROPS = 256
NOTHING_DROPPED: DropTable = {"count": 0, "floor": 0, "kept": {}}


class StaleLot(QuillringError):
    """A lot of this name, or too many others, were dropped since the request came in."""

    kind = "stale_lot"
    status = 503
    may_retry_later = True


def drop_table(state: State) -> DropTable:
    """Return the part's table of dropped lots."""
    table: DropTable | None = state.get("lot_drops")
    return table or NOTHING_DROPPED


def check_fresh(state: State, command: AcceptLot) -> None:
    """Raise StaleLot for an acceptance from before the lot of its name was dropped.

    An acceptance of the former version carries no count and is not fenced.
    """
    if command.seen_drops is None:
        return
    table = drop_table(state)
    last_drop = table["kept"].get(command.lot, table["floor"])
    if command.seen_drops < last_drop:
        raise StaleLot(lot=command.lot, drops=last_drop, seen_drops=command.seen_drops)


def note_drop(state: State, name: str) -> State:
    """Return the state that records a dropped lot; it keeps the last KEPT_DROPS of them."""
    table = drop_table(state)
    count = table["count"] + 1
    kept = {lot: at for lot, at in table["kept"].items() if lot != name}
    kept[name] = count
    surplus = list(kept)[: max(0, len(kept) - KEPT_DROPS)]
    floor = max([table["floor"], *(kept.pop(lot) for lot in surplus)])
    new_table: DropTable = {"count": count, "floor": floor, "kept": kept}
    return {**state, "lot_drops": new_table}


@QUERIES.entry(commands.FENCE)
def lot_fence(state: State, wire: Wire) -> dict[str, Any]:
    """Return how many lots the part dropped, the fencing token of an acceptance."""
    return {"drops": drop_table(state)["count"]}


def submit_fenced(node: Node, part: str, command: AcceptLot) -> Coroutine:
    """Read the part's count of dropped lots, then commit an acceptance that carries it.

    StaleLot is not retried here: the node may have resumed from a pause with an old request.
    Both steps together take at most twice the propagation bound.
    """
    ownership = node.find("ownership")
    if node.find("nifty").lowest_common_version() < FENCE_LEVEL:
        return (yield from ownership.submit(part, command.to_wire()))
    end_time = node.now() + node.bounds.propagation * 2
    fence = yield from ownership.read(part, QueryFence().to_wire())
    fenced = command._replace(seen_drops=fence["drops"])
    return (yield from ownership.submit(part, fenced.to_wire(), max(0, end_time - node.now())))
