"""Which stores operators have ordered to retire, as the newest configuration says."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quillring.kernel.node import Node


def is_retirement_ordered(node: Node, store: str) -> bool:
    """Tell whether the newest layout of a node names the store as retired."""
    stores = (node.find("layout").configuration or {}).get("stores") or {}
    return bool(stores.get(store, {}).get("retired"))
