"""Find lots to end regardless of their items: ended, past retention, or without a forward."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.lots.http_requests.lot_table import lot_records

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.lots.http_requests.item_table import ItemTable


def is_lot_ended(node: Node, key: str) -> bool:
    """Return whether the lot with this key, in any part led here, was ended."""
    for leader in node.find("ownership").leaders.values():
        lot = lot_records(leader.state).get(key) if leader.state else None
        if lot is not None and lot["ended"]:
            return True
    return False


class LotExpiry:
    """Finds lots past their retention, and lots whose forward was removed.

    Attributes
    ----------
    forward_last_seen_at
        When a forward was last in the configuration, or the configuration was not fresh, by name.
    """

    __slots__ = ("node", "forward_last_seen_at")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.forward_last_seen_at: dict[str, float] = {}

    def expired_lots(self, item_table: ItemTable) -> list[str]:
        """Return the keys of lots that are past their retention or whose forward was removed.

        A forward counts as removed after it has been missing from a fresh configuration for longer
        than the propagation bound.
        """
        now, bounds = self.node.now(), self.node.bounds
        self._record_present_forwards({lot.forward for lot in item_table.lots.values()}, now)
        expired = []
        for lot in item_table.lots.values():
            is_past_retention = now - lot.first_seen_at > lot.retain_seconds + bounds.read_timeout
            is_forward_removed = now - self.forward_last_seen_at[lot.forward] > bounds.propagation
            if is_past_retention or is_forward_removed:
                expired.append(lot.name)
        return expired

    def _record_present_forwards(self, names: set[str], now: float) -> None:
        """Update when the named forwards were last in the configuration."""
        forwards, is_fresh = self.node.find("forwards"), self.node.find("freshness").is_fresh()
        for name in names:
            is_first = name not in self.forward_last_seen_at
            if not is_fresh or is_first or forwards.find_by_name(name) is not None:
                self.forward_last_seen_at[name] = now
