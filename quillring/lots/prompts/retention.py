"""Retain the results of ended lots; over the limit new lots are refused, none evicted."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.records import NamedTuple
from quillring.lots.prompts.commands import ACCEPT, AcceptLot, DropLot, Wire
from quillring.lots.prompts.lot_table import OPEN, LotRecord, lot_records
from quillring.lots.prompts.state_machine import TooManyLots

if TYPE_CHECKING:
    from quillring.kernel.node import Node

KEPT_SECONDS = 7 * 86_400
HELD_LIMIT_BYTES = 48 << 20
ITEM_OVERHEAD_BYTES = 1024


class WeighedResults(NamedTuple):
    """The results of an ended lot, and how many bytes they take."""

    results: Any
    weight: int


class Retention:
    """The bytes and the ends of the lots of the parts led here, by this node's clock.

    Attributes
    ----------
    weights, ended_at
        By part and lot.
    checked_at
        When `drop_old` last checked a part's lots, by part.
    """

    __slots__ = ("node", "weights", "ended_at", "checked_at")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.weights: dict[tuple[str, str], WeighedResults] = {}
        self.ended_at: dict[tuple[str, str], float] = {}
        self.checked_at: dict[str, float] = {}

    def weight(self, part: str, name: str, lot: LotRecord) -> int:
        """Return about how many bytes a lot takes; that of an ended lot is cached."""
        if lot["phase"] == OPEN:
            return lot["weight"] + ITEM_OVERHEAD_BYTES * lot["count"]
        known = self.weights.get((part, name))
        if known is None or known.results is not lot["results"]:
            weight = sum(len(str(result)) for result in lot["results"].values())
            known = self.weights[part, name] = WeighedResults(lot["results"], weight)
        return known.weight

    def check(self, leader: Any, wire: Wire) -> None:
        """Raise TooManyLots for a new lot that would bring its part over HELD_LIMIT_BYTES."""
        if wire["do"] != ACCEPT:
            return
        command, lots = AcceptLot.from_wire(wire), lot_records(leader.state)
        if command.lot in lots:
            return
        held = sum(self.weight(leader.part, name, lot) for name, lot in lots.items())
        added = sum(map(len, command.items)) + ITEM_OVERHEAD_BYTES * len(command.items)
        if held + added > HELD_LIMIT_BYTES:
            raise TooManyLots(lot=command.lot, held_weight=held)

    def drop_old(self, leader: Any) -> None:
        """Drop one lot that ended over KEPT_SECONDS ago by this leader's clock.

        A part is checked once per recovery bound.
        """
        now, bounds = self.node.now(), self.node.bounds
        if now - self.checked_at.get(leader.part, -bounds.recovery) < bounds.recovery:
            return
        self.checked_at[leader.part] = now
        lots = lot_records(leader.state)
        ended = [name for name, lot in lots.items() if lot["phase"] != OPEN]
        self._follow(leader.part, lots, ended, now)
        for name in ended:
            is_due = now - self.ended_at[leader.part, name] > KEPT_SECONDS
            if is_due and not leader.has_queued_commands():
                self.node.spawn(leader.submit(DropLot(name).to_wire()))
                return

    def _follow(self, part: str, lots: dict[str, LotRecord], ended: list[str], now: float) -> None:
        """Record when lots ended, as first seen here, and remove the entries of deleted ones."""
        ended_at = {key: at for key, at in self.ended_at.items() if key[0] != part}
        for name in ended:
            ended_at[part, name] = self.ended_at.get((part, name), now)
        self.ended_at = ended_at
        self.weights = {
            (other_part, name): known
            for (other_part, name), known in self.weights.items()
            if other_part != part or name in lots
        }
