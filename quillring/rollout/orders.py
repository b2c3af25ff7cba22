"""The fence of operators' orders about zones and stores: a late copy of an old order fails it.

An order names the version of the configuration that its node had seen when the order came in. Each
order that is taken counts the version up and is noted with it. An order that had not seen the last
one about the same thing is a late copy, held somewhere on its way, and is refused; unless it asks
for what is in force, as a repeat after a lost answer does. No clock takes part in this.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import QuillringError
from quillring.quorum.commands import QUERIES
from quillring.quorum.parts import CONFIG
from quillring.rollout.messages import READ_STATE_VERSION
from quillring.rollout.schema import EMPTY

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine, WireMap
    from quillring.rollout.messages import OrderStore, OrderZone

KEPT_ORDERS = 256


class StaleOrder(QuillringError):
    """A newer order about the same thing, or a newer configuration, was taken meanwhile."""

    kind = "stale_order"
    status = 503
    may_retry_later = True


@QUERIES.entry("version")
def show_version(state: WireMap, query: WireMap) -> WireMap:
    """Return the version of the configuration, which each order that is taken counts up."""
    return {"version": state["version"]}


def place_order(
    state: WireMap, section: str, name: str, order: WireMap, seen_version: int | None
) -> WireMap:
    """Return the state with an order in force, or raise StaleOrder for a late copy.

    `seen_version` is None in orders of the version before, which carry no fence and are noted
    nowhere. An order that is in force already counts the version up as well, so that a late copy
    of an older, contrary one fails.
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
    """Return the version of the last order about a thing, or of the last adopted configuration."""
    noted: int = state.get("orders", {}).get(f"{section}/{name}", state.get("orders_floor", 0))
    return max(noted, max(state.get("changes", {}).values(), default=0))


def note_order(state: WireMap, section: str, name: str, version: int) -> WireMap:
    """Return the table of the last orders with one more; what goes out of it raises the floor."""
    key = f"{section}/{name}"
    noted = {k: v for k, v in state.get("orders", {}).items() if k != key}
    noted[key] = version
    dropped = list(noted)[: max(0, len(noted) - KEPT_ORDERS)]
    floor = max([state.get("orders_floor", 0), *(noted.pop(k) for k in dropped)])
    return {"orders": noted, "orders_floor": floor}


def submit_order(node: Node, order: OrderZone | OrderStore, seconds: float) -> Coroutine:
    """Commit an order under the fence of what this node had seen when it came in.

    Raises StaleOrder when a newer one was taken that this node had not heard of yet: the order is
    not tried again here, as the node may just have woken with an old order in its hands.
    """
    end_time = node.now() + seconds
    ownership, snapshot = node.find("ownership"), node.find("layout")
    seen_version = snapshot.version
    if snapshot.index == 0:
        current = yield from ownership.read(CONFIG, READ_STATE_VERSION, seconds)
        seen_version = current["version"]
    fenced_order = order._replace(seen_version=seen_version)
    answer = yield from ownership.submit(CONFIG, fenced_order.to_wire(), end_time - node.now())
    return answer
