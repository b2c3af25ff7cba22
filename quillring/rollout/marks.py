"""Marks of operators: domains to be emptied, stores to be retired; the last one counts."""

from quillring.kernel.errors import Conflict, NotFound
from quillring.quorum.commands import COMMANDS
from quillring.quorum.parts import CONFIG, is_enough
from quillring.quorum.retirement import is_free
from quillring.rollout.schema import EMPTY


@COMMANDS.entry("domain.mark")
def mark_domain(state, command):
    """Empty a domain or take that back; `nodes` tells whether its nodes leave, or replicas only."""
    mark = {"emptied": bool(command["emptied"]), "nodes": bool(command.get("nodes", True))}
    return lay_mark(state, "domains", command["domain"], mark), mark


@COMMANDS.entry("store.mark")
def mark_store(state, command):
    """Retire a store or take that back."""
    former = ((state["layout"] or EMPTY).get("stores") or {}).get(command["store"], {})
    mark = {**former, "retired": bool(command["retired"])}
    return lay_mark(state, "stores", command["store"], mark), mark


def lay_mark(state, section, name, mark):
    """Return the state with the mark in its layout; one that stands already changes nothing."""
    layout = state["layout"] or EMPTY
    marks = layout.get(section) or {}
    if marks.get(name) == mark:
        return state
    new_layout = {**layout, section: {**marks, name: mark}}
    return {**state, "layout": new_layout, "version": state["version"] + 1}


def retire_store(node, store, seconds):
    """Script: mark a store as retired, if it is known and enough others remain.

    Raises NotFound for an unknown store and Conflict when too few would remain.
    """
    end_time, ownership = node.now() + seconds, node.find("ownership")
    current = yield from ownership.read(CONFIG, {"ask": "edition"}, seconds)
    marks = current["layout"].get("stores") or {}
    if marks.get(store, {}).get("retired"):
        return
    stores, nifty = known_stores(node), node.find("nifty")
    if store not in stores:
        raise NotFound(field="store", store=store)
    remaining = [
        domain
        for name, domain in stores.items()
        if name != store and nifty.reaches(name) and not marks.get(name, {}).get("retired")
    ]
    if not is_enough(remaining, ownership.size()):
        raise Conflict(field="store", reason="too few stores would remain", store=store)
    command = {"do": "store.mark", "store": store, "retired": True}
    yield from ownership.submit(CONFIG, command, end_time - node.now())


def known_stores(node):
    """Return {store: domain} of the stores of the roster and of the parts' groups."""
    members = node.find("nifty").roster.members.values()
    ownership = node.find("ownership")
    group_stores = {
        name: domain for part in ownership.parts() for name, _, domain in ownership.group(part)
    }
    return {**group_stores, **{m.name: m.domain for m in members if m.role == "store"}}


def is_retired(node, store, seconds):
    """Script: tell whether a store is marked as retired and no part needs it any more.

    The groups are those that the parts' owners committed; each must be full and caught up.
    Raises NotFound for an unknown store, and the owner's error when one does not answer.
    """
    end_time, ownership = node.now() + seconds, node.find("ownership")
    current = yield from ownership.read(CONFIG, {"ask": "edition"}, seconds)
    mark = (current["layout"].get("stores") or {}).get(store)
    if mark is None and store not in known_stores(node):
        raise NotFound(field="store", store=store)
    if mark is None or not mark.get("retired"):
        return False
    return (yield from is_free(node, store, end_time - node.now()))
