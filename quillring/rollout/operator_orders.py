"""Operators' orders to drain zones and to retire stores; the last order for each is in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import Conflict, NotFound
from quillring.quorum.commands import COMMANDS
from quillring.quorum.leader.retirement_check import is_safe_to_remove
from quillring.quorum.parts import CONFIG_PART, can_survive_zone_loss
from quillring.rollout.messages import (
    ORDER_STORE,
    ORDER_ZONE,
    READ_CURRENT_VERSION,
    CurrentVersion,
    StoreOrder,
    ZoneOrder,
)
from quillring.rollout.orders import place_order, submit_order
from quillring.rollout.schema import EMPTY_CONFIGURATION

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine, WireMap


@COMMANDS.entry(ORDER_ZONE)
def order_zone(state: WireMap, command: WireMap) -> tuple[WireMap, WireMap]:
    """Drain a zone or cancel that; raise StaleOrder for a delayed copy of an older order."""
    order = ZoneOrder.from_wire(command)
    fields = order.to_state()
    return place_order(state, "domains", order.zone, fields, order.seen_version), fields


@COMMANDS.entry(ORDER_STORE)
def order_store(state: WireMap, command: WireMap) -> tuple[WireMap, WireMap]:
    """Retire a store or cancel that; a retirement lists the stores counted as remaining.

    Whether enough of them remain is decided when the command is applied, in log order, so the
    second of two concurrent retirements takes the first into account. Raises Conflict if too few
    would remain, StaleOrder for a delayed copy of an older order.
    """
    order = StoreOrder.from_wire(command)
    current_fields = ((state["layout"] or EMPTY_CONFIGURATION).get("stores") or {}).get(
        order.store, {}
    )
    fields = {**current_fields, "retired": order.is_retired}
    if order.is_retired and current_fields != fields and order.counted is not None:
        if order.group_size is None:
            raise KeyError("size")
        check_remaining(state, order.store, order.counted, order.group_size)
    return place_order(state, "stores", order.store, fields, order.seen_version), fields


def check_remaining(state: WireMap, store: str, counted: Mapping[str, str], size: int) -> None:
    """Raise Conflict unless enough of the counted stores remain once `store` is retired too.

    `counted` is {store: zone}, `size` the number of stores that replicate each part.
    """
    retired_names = {store, *retiring_stores(state)}
    remaining = [zone for name, zone in counted.items() if name not in retired_names]
    if not can_survive_zone_loss(remaining, size):
        raise Conflict(field="store", reason="too few stores would remain", store=store)


def retiring_stores(state: WireMap) -> set[str]:
    """Return the stores that are retired or that a running plan is about to retire."""
    orders = (state["layout"] or EMPTY_CONFIGURATION).get("stores") or {}
    retired_names = {name for name, order in orders.items() if order.get("retired")}
    planned_names = {
        plan["intent"]["target"]
        for plan in state.get("plans", {}).values()
        if plan["phase"] == "running" and plan["intent"]["kind"] == "retire_store"
    }
    return retired_names | planned_names


def retire_store(node: Node, store: str, seconds: float) -> Coroutine:
    """Mark a store as retired within `seconds`, if it is known and enough others remain.

    Raises NotFound for an unknown store, Conflict if too few would remain, and StaleOrder if a
    newer order was accepted while this one was in flight.
    """
    deadline, ownership = node.now() + seconds, node.find("ownership")
    answer = yield from ownership.read(CONFIG_PART, READ_CURRENT_VERSION, seconds)
    current_order = CurrentVersion.from_wire(answer).store_order(store)
    if current_order is not None and current_order.get("retired"):
        return
    stores = known_stores(node)
    if store not in stores:
        raise NotFound(field="store", store=store)
    counted = {name: zone for name, zone in stores.items() if not is_long_unreachable(node, name)}
    order = StoreOrder(store, True, counted, ownership.stores_per_part())
    yield from submit_order(node, order, deadline - node.now())


def is_long_unreachable(node: Node, store: str) -> bool:
    """Return whether a store has been unreachable for more than `bounds.recovery` seconds.

    A store that may only be restarting still counts as remaining: a retirement waits for it, and no
    part loses a member before enough others have a complete copy.
    """
    nifty = node.find("nifty")
    if nifty.reaches(store):
        return False
    peer_state = nifty.peer_states.get(store)
    heard_at: float = (
        nifty.started_at if peer_state is None else max(peer_state.heard_at, nifty.started_at)
    )
    return node.now() - heard_at > node.bounds.recovery


def known_stores(node: Node) -> dict[str, str]:
    """Return {store: zone} of the stores in the roster and in the groups of the parts."""
    members = node.find("nifty").roster.members.values()
    ownership = node.find("ownership")
    zones = {
        store.name: store.zone for part in ownership.parts() for store in ownership.group(part)
    }
    zones.update({member.name: member.zone for member in members if member.role == "store"})
    return zones


def is_retired(node: Node, store: str, seconds: float) -> Coroutine:
    """Return whether a store is marked as retired and no part needs it any more.

    This is checked against the groups that the leaders of the parts committed; each group must be
    full and caught up. Raises NotFound for an unknown store, and the error of a leader that does
    not answer within `seconds`.
    """
    deadline, ownership = node.now() + seconds, node.find("ownership")
    answer = yield from ownership.read(CONFIG_PART, READ_CURRENT_VERSION, seconds)
    order = CurrentVersion.from_wire(answer).store_order(store)
    if order is None and store not in known_stores(node):
        raise NotFound(field="store", store=store)
    if order is None or not order.get("retired"):
        return False
    is_unneeded = yield from is_safe_to_remove(node, store, deadline - node.now())
    return is_unneeded
