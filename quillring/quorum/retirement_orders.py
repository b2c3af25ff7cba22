"""Retirement of stores: which ones an operator has ordered to retire."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quillring.kernel.node import Node


def is_retirement_ordered(node: Node, store: str) -> bool:
    """Return whether the newest configuration known to a node marks the store as retired."""
    stores = (node.find("layout").configuration or {}).get("stores") or {}
    return bool(stores.get(store, {}).get("retired"))
