"""The fence of operators' orders for zones and stores: it rejects a delayed copy of an old order.

An order names the version of the configuration that its node knew when the order arrived. Each
accepted order increments the version and is recorded with it. An order whose node did not know the
last one for the same zone or store counts as a copy delayed on its way and is rejected, unless it
asks for what is in force, as a repeat after a lost answer does. No clock is involved: this is
optimistic concurrency control, with the version as the fencing token.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import QuillringError
from quillring.quorum.commands import QUERIES
from quillring.quorum.parts import CONFIG_PART
from quillring.rollout.messages import READ_STATE_VERSION
from quillring.rollout.schema import EMPTY

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine, WireMap
    from quillring.rollout.messages import OrderStore, OrderZone

KEPT_ORDERS = 256


class StaleOrder(QuillringError):
    """A newer order for the same zone or store, or a newer configuration, was adopted meanwhile."""

    kind = "stale_order"
    status = 503
    may_retry_later = True


@QUERIES.entry("version")
def show_version(state: WireMap, query: WireMap) -> WireMap:
    """Return the version of the configuration, which each accepted order increments."""
    return {"version": state["version"]}


def place_order(
    state: WireMap, section: str, name: str, order: WireMap, seen_version: int | None
) -> WireMap:
    """Return the state with an order in force, or raise StaleOrder for a delayed copy.

    `seen_version` is None in orders from nodes of the former release, which carry no fence and are
    not recorded. A fenced order that repeats what is in force increments the version as well, so
    that a delayed copy of an older, contrary one is rejected.
    """
    configuration = state["layout"] or EMPTY
    orders = configuration.get(section) or {}
    is_in_force = orders.get(name) == order
    last_version = last_order(state, section, name)
    is_late = seen_version is not None and seen_version < last_version
    if is_in_force and (is_late or seen_version is None):
        return state
    if is_late:
        raise StaleOrder(field=section, name=name, version=last_version, seen_version=seen_version)
    version = state["version"] + 1
    new_configuration = {**configuration, section: {**orders, name: order}}
    new_state = {**state, "layout": new_configuration, "version": version}
    if seen_version is None:
        return new_state
    return {**new_state, **note_order(state, section, name, version)}


def last_order(state: WireMap, section: str, name: str) -> int:
    """Return the version of the last order for an item, or of a later adopted configuration."""
    noted: int = state.get("orders", {}).get(f"{section}/{name}", state.get("orders_floor", 0))
    return max(noted, max(state.get("changes", {}).values(), default=0))


def note_order(state: WireMap, section: str, name: str, version: int) -> WireMap:
    """Return the table of last orders with one more, and the floor raised to those dropped from it.

    The table keeps KEPT_ORDERS; an item that is not in it counts as ordered at the floor.
    """
    key = f"{section}/{name}"
    noted = {k: v for k, v in state.get("orders", {}).items() if k != key}
    noted[key] = version
    dropped = list(noted)[: max(0, len(noted) - KEPT_ORDERS)]
    floor = max([state.get("orders_floor", 0), *(noted.pop(k) for k in dropped)])
    return {"orders": noted, "orders_floor": floor}


def submit_order(node: Node, order: OrderZone | OrderStore, seconds: float) -> Coroutine:
    """Commit an order, fenced by the version that this node knew when the order arrived.

    Raises StaleOrder when a newer one was accepted that this node did not know. The order is not
    retried here, as the process may have been suspended between receiving and submitting it.
    """
    end_time = node.now() + seconds
    ownership, snapshot = node.find("ownership"), node.find("layout")
    seen_version = snapshot.version
    if snapshot.index == 0:
        current = yield from ownership.read(CONFIG_PART, READ_STATE_VERSION, seconds)
        seen_version = current["version"]
    fenced_order = order._replace(seen_version=seen_version)
    answer = yield from ownership.submit(CONFIG_PART, fenced_order.to_wire(), end_time - node.now())
    return answer
