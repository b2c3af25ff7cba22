"""Retention of ended lots; over the size limit new lots are refused and none is evicted."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.records import NamedTuple
from quillring.lots.prompts.commands import ACCEPT, AcceptLot, DropLot, Wire
from quillring.lots.prompts.lot_table import OPEN, LotRecord, lot_records
from quillring.lots.prompts.state_machine import TooManyLots

if TYPE_CHECKING:
    from quillring.kernel.node import Node

RETENTION_SECONDS = 7 * 86_400
HELD_LIMIT_BYTES = 48 << 20
ITEM_OVERHEAD_BYTES = 1024


class CachedSize(NamedTuple):
    """The results of an ended lot and their approximate size in bytes."""

    results: Any
    size_bytes: int


class Retention:
    """Sizes and end times of the lots in the parts that this node leads.

    Attributes
    ----------
    cached_sizes
        The sizes of ended lots, by part and lot.
    ended_at
        When this node first saw that a lot had ended, by part and lot, in seconds of its clock.
    last_checked_at
        When `drop_expired` last checked a part's lots, by part, in seconds of the node's clock.
    """

    __slots__ = ("node", "cached_sizes", "ended_at", "last_checked_at")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.cached_sizes: dict[tuple[str, str], CachedSize] = {}
        self.ended_at: dict[tuple[str, str], float] = {}
        self.last_checked_at: dict[str, float] = {}

    def weight(self, part: str, name: str, lot: LotRecord) -> int:
        """Return the approximate size of a lot in bytes; the size of an ended lot is cached."""
        if lot["phase"] == OPEN:
            return lot["weight"] + ITEM_OVERHEAD_BYTES * lot["count"]
        cached = self.cached_sizes.get((part, name))
        if cached is None or cached.results is not lot["results"]:
            size_bytes = sum(len(str(result)) for result in lot["results"].values())
            cached = self.cached_sizes[part, name] = CachedSize(lot["results"], size_bytes)
        return cached.size_bytes

    def check(self, leader: Any, wire: Wire) -> None:
        """Raise TooManyLots if a new lot would take its part over HELD_LIMIT_BYTES."""
        if wire["do"] != ACCEPT:
            return
        command, lots = AcceptLot.from_wire(wire), lot_records(leader.state)
        if command.lot in lots:
            return
        retained_bytes = sum(self.weight(leader.part, name, lot) for name, lot in lots.items())
        added_bytes = sum(map(len, command.items)) + ITEM_OVERHEAD_BYTES * len(command.items)
        if retained_bytes + added_bytes > HELD_LIMIT_BYTES:
            raise TooManyLots(lot=command.lot, held_weight=retained_bytes)

    def drop_expired(self, leader: Any) -> None:
        """Drop one lot that ended more than RETENTION_SECONDS ago by this leader's clock.

        Each part is checked at most once per recovery bound.
        """
        now, bounds = self.node.now(), self.node.bounds
        if now - self.last_checked_at.get(leader.part, -bounds.recovery) < bounds.recovery:
            return
        self.last_checked_at[leader.part] = now
        lots = lot_records(leader.state)
        ended = [name for name, lot in lots.items() if lot["phase"] != OPEN]
        self._track_ended(leader.part, lots, ended, now)
        for name in ended:
            is_due = now - self.ended_at[leader.part, name] > RETENTION_SECONDS
            if is_due and not leader.has_queued_commands():
                self.node.spawn(leader.submit(DropLot(name).to_wire()))
                return

    def _track_ended(
        self, part: str, lots: dict[str, LotRecord], ended: list[str], now: float
    ) -> None:
        """Record when this node first saw lots ended, and discard the entries of deleted lots."""
        ended_at = {key: at for key, at in self.ended_at.items() if key[0] != part}
        for name in ended:
            ended_at[part, name] = self.ended_at.get((part, name), now)
        self.ended_at = ended_at
        self.cached_sizes = {
            (other_part, name): cached
            for (other_part, name), cached in self.cached_sizes.items()
            if other_part != part or name in lots
        }
