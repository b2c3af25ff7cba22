"""Orders of operators: zones to be emptied, stores to be retired; the last one counts."""

from quillring.kernel.errors import Conflict, NotFound
from quillring.quorum.commands import COMMANDS
from quillring.quorum.leader.retirement_check import is_free
from quillring.quorum.parts import CONFIG, is_enough
from quillring.rollout.orders import place_order, submit_order
from quillring.rollout.schema import EMPTY


@COMMANDS.entry("domain.mark")
def order_zone(state, command):
    """Empty a domain or take that back; `nodes` tells whether its nodes leave, or replicas only."""
    order = {"emptied": bool(command["emptied"]), "nodes": bool(command.get("nodes", True))}
    seen_version = command.get("seen_version")
    return place_order(state, "domains", command["domain"], order, seen_version), order


@COMMANDS.entry("store.mark")
def order_store(state, command):
    """Retire a store or take that back; a retirement names the stores its node counts on.

    Whether enough of these remain is decided here, in the command's turn: of two retirements at
    once the second finds the first one done. Raises Conflict when too few would remain.
    """
    store, is_retired_now = command["store"], bool(command["retired"])
    former = ((state["layout"] or EMPTY).get("stores") or {}).get(store, {})
    order = {**former, "retired": is_retired_now}
    if is_retired_now and former != order and command.get("counted") is not None:
        check_remaining(state, store, command["counted"], command["size"])
    return place_order(state, "stores", store, order, command.get("seen_version")), order


def check_remaining(state, store, counted, size):
    """Raise Conflict unless enough of the counted stores remain without one more.

    `counted` is {store: domain}, `size` how many stores hold each part.
    """
    retired_names = {store, *leaving_stores(state)}
    remaining = [zone for name, zone in counted.items() if name not in retired_names]
    if not is_enough(remaining, size):
        raise Conflict(field="store", reason="too few stores would remain", store=store)


def leaving_stores(state):
    """Return the stores that are retired, or that a plan under way is about to retire."""
    orders = (state["layout"] or EMPTY).get("stores") or {}
    retired_names = {name for name, order in orders.items() if order.get("retired")}
    planned_names = {
        plan["intent"]["target"]
        for plan in state.get("plans", {}).values()
        if plan["phase"] == "running" and plan["intent"]["kind"] == "retire_store"
    }
    return retired_names | planned_names


def retire_store(node, store, seconds):
    """Coroutine: mark a store as retired, if it is known and enough others remain.

    Raises NotFound for an unknown store and Conflict when too few would remain.
    """
    end_time, ownership = node.now() + seconds, node.find("ownership")
    current = yield from ownership.read(CONFIG, {"ask": "edition"}, seconds)
    orders = current["layout"].get("stores") or {}
    if orders.get(store, {}).get("retired"):
        return
    stores = known_stores(node)
    if store not in stores:
        raise NotFound(field="store", store=store)
    command = {
        "do": "store.mark",
        "store": store,
        "retired": True,
        "counted": {name: zone for name, zone in stores.items() if not is_gone(node, name)},
        "size": ownership.size(),
    }
    yield from submit_order(node, command, end_time - node.now())


def is_gone(node, store):
    """Tell whether a store has been out of reach for longer than a restart takes.

    One that is just away still counts among those that remain: a retirement waits for it, and
    nothing is taken from its parts before enough others hold them whole.
    """
    nifty = node.find("nifty")
    if nifty.reaches(store):
        return False
    heard = nifty.heard.get(store)
    heard_at = nifty.started_at if heard is None else max(heard.at, nifty.started_at)
    return node.now() - heard_at > node.bounds.recovery


def known_stores(node):
    """Return {store: domain} of the stores of the roster and of the parts' groups."""
    members = node.find("nifty").roster.members.values()
    ownership = node.find("ownership")
    group_stores = {
        name: zone for part in ownership.parts() for name, _, zone in ownership.group(part)
    }
    return {**group_stores, **{m.name: m.zone for m in members if m.role == "store"}}


def is_retired(node, store, seconds):
    """Coroutine: tell whether a store is marked as retired and no part needs it any more.

    The groups are those that the parts' owners committed; each must be full and caught up.
    Raises NotFound for an unknown store, and the owner's error when one does not answer.
    """
    end_time, ownership = node.now() + seconds, node.find("ownership")
    current = yield from ownership.read(CONFIG, {"ask": "edition"}, seconds)
    order = (current["layout"].get("stores") or {}).get(store)
    if order is None and store not in known_stores(node):
        raise NotFound(field="store", store=store)
    if order is None or not order.get("retired"):
        return False
    return (yield from is_free(node, store, end_time - node.now()))
