"""Fencing of operators' orders for zones and stores: delayed copies of old orders are rejected.

An order contains the version of the configuration that the receiving node knew when it arrived.
Each accepted order increments the version and is recorded with it. If the node of an order did not
know the last order for the same zone or store, the order counts as a delayed copy and is rejected,
unless it equals the order in force, as a retry after a lost answer does. No clock is involved: this
is optimistic concurrency control, with the version as the fencing token.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import QuillringError
from quillring.quorum.commands import QUERIES
from quillring.quorum.parts import CONFIG_PART
from quillring.rollout.messages import READ_STATE_VERSION
from quillring.rollout.schema import EMPTY_CONFIGURATION

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine, WireMap
    from quillring.rollout.messages import StoreOrder, ZoneOrder

MAX_RECORDED_ORDERS = 256


class StaleOrder(QuillringError):
    """A newer order for the same zone or store, or a newer configuration, was adopted meanwhile."""

    kind = "stale_order"
    status = 503
    may_retry_later = True


@QUERIES.entry("version")
def show_version(state: WireMap, query: WireMap) -> WireMap:
    """Return the version of the configuration, which every accepted order increments."""
    return {"version": state["version"]}


def place_order(
    state: WireMap, section: str, name: str, order: WireMap, seen_version: int | None
) -> WireMap:
    """Return the state with the order applied, or raise StaleOrder for a delayed copy.

    `seen_version` is None in orders from nodes of the previous release: these have no fencing token
    and are not recorded. A fenced order that repeats the one in force increments the version too,
    which rejects a delayed copy of an older, contrary order.
    """
    configuration = state["layout"] or EMPTY_CONFIGURATION
    orders = configuration.get(section) or {}
    is_in_force = orders.get(name) == order
    last_version = last_order(state, section, name)
    is_delayed = seen_version is not None and seen_version < last_version
    if is_in_force and (is_delayed or seen_version is None):
        return state
    if is_delayed:
        raise StaleOrder(field=section, name=name, version=last_version, seen_version=seen_version)
    version = state["version"] + 1
    new_configuration = {**configuration, section: {**orders, name: order}}
    new_state = {**state, "layout": new_configuration, "version": version}
    if seen_version is None:
        return new_state
    return {**new_state, **record_order(state, section, name, version)}


def last_order(state: WireMap, section: str, name: str) -> int:
    """Return the version of the last order for an item, or of a later adopted configuration."""
    recorded_version: int = state.get("orders", {}).get(
        f"{section}/{name}", state.get("orders_floor", 0)
    )
    return max(recorded_version, max(state.get("changes", {}).values(), default=0))


def record_order(state: WireMap, section: str, name: str, version: int) -> WireMap:
    """Return the table of last orders with one added, and the floor: the highest dropped version.

    The table is limited to MAX_RECORDED_ORDERS items; an item that is not in it counts as last
    ordered at the floor.
    """
    key = f"{section}/{name}"
    recorded_versions = {k: v for k, v in state.get("orders", {}).items() if k != key}
    recorded_versions[key] = version
    dropped_keys = list(recorded_versions)[: max(0, len(recorded_versions) - MAX_RECORDED_ORDERS)]
    floor = max([state.get("orders_floor", 0), *(recorded_versions.pop(k) for k in dropped_keys)])
    return {"orders": recorded_versions, "orders_floor": floor}


def submit_order(node: Node, order: ZoneOrder | StoreOrder, seconds: float) -> Coroutine:
    """Commit an order, fenced by the version that this node knows when the order arrives.

    Raises StaleOrder if a newer order was accepted that this node did not know. The order is not
    retried here, because the process may have been suspended between receiving and submitting it.
    """
    deadline = node.now() + seconds
    ownership, snapshot = node.find("ownership"), node.find("layout")
    seen_version = snapshot.version
    if snapshot.index == 0:
        current = yield from ownership.read(CONFIG_PART, READ_STATE_VERSION, seconds)
        seen_version = current["version"]
    fenced_order = order._replace(seen_version=seen_version)
    answer = yield from ownership.submit(CONFIG_PART, fenced_order.to_wire(), deadline - node.now())
    return answer
