"""Fencing of delayed duplicate acceptances, which must not re-create a dropped lot.

Each part counts the lots that it has dropped, and records for the last MAX_TRACKED_DROPS of them
the count after the drop. An acceptance carries as its fencing token the count that the submitting
node read when the request arrived. The part refuses the acceptance if a lot of the same name was
dropped after that count, or may have been because the table no longer reaches back that far. An
acceptance of a lot that still exists is answered as a repetition before this check. The check
depends on no clock.
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

MIN_FENCING_VERSION = 3
"""Acceptances are fenced once every node speaks this wire version."""
MAX_TRACKED_DROPS = 256
EMPTY_DROP_TABLE: DropTable = {"count": 0, "floor": 0, "kept": {}}


class StaleLot(QuillringError):
    """The acceptance predates the drop of a lot of this name, or may predate it.

    It is also raised if the drop of this lot may have been evicted from the table, which tracks
    only the last MAX_TRACKED_DROPS drops.
    """

    kind = "stale_lot"
    status = 503
    may_retry_later = True


def drop_table(state: State) -> DropTable:
    """Return the part's table of dropped lots; it is empty before the first drop."""
    table: DropTable | None = state.get("lot_drops")
    return table or EMPTY_DROP_TABLE


def check_not_stale(state: State, command: AcceptLot) -> None:
    """Raise StaleLot if a lot of the same name was, or may have been, dropped since the request.

    Acceptances of the previous wire version carry no count and are not fenced.
    """
    if command.seen_drops is None:
        return
    table = drop_table(state)
    last_drop = table["kept"].get(command.lot, table["floor"])
    if command.seen_drops < last_drop:
        raise StaleLot(lot=command.lot, drops=last_drop, seen_drops=command.seen_drops)


def record_drop(state: State, name: str) -> State:
    """Return the state with a dropped lot recorded; only the last MAX_TRACKED_DROPS are tracked."""
    table = drop_table(state)
    count = table["count"] + 1
    kept = {lot: at for lot, at in table["kept"].items() if lot != name}
    kept[name] = count
    surplus = list(kept)[: max(0, len(kept) - MAX_TRACKED_DROPS)]
    floor = max([table["floor"], *(kept.pop(lot) for lot in surplus)])
    new_table: DropTable = {"count": count, "floor": floor, "kept": kept}
    return {**state, "lot_drops": new_table}


@QUERIES.entry(commands.FENCE)
def lot_fence(state: State, wire: Wire) -> dict[str, Any]:
    """Return the number of lots that the part has dropped: the fencing token of an acceptance."""
    return {"drops": drop_table(state)["count"]}


def submit_fenced(node: Node, part: str, command: AcceptLot) -> Coroutine:
    """Commit an acceptance that carries the part's current count of dropped lots.

    StaleLot is not retried here, because this process may just have resumed from a pause with an
    outdated request. Reading the count and committing take at most twice the propagation bound in
    total.
    """
    ownership = node.find("ownership")
    if node.find("nifty").lowest_common_version() < MIN_FENCING_VERSION:
        return (yield from ownership.submit(part, command.to_wire()))
    deadline = node.now() + node.bounds.propagation * 2
    fence = yield from ownership.read(part, QueryFence().to_wire())
    fenced = command._replace(seen_drops=fence["drops"])
    return (yield from ownership.submit(part, fenced.to_wire(), max(0, deadline - node.now())))
