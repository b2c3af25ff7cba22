"""Founding: one idempotent step that chooses the stores of every part, once per fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import Conflict, NoMajority, QuillringError, Refused
from quillring.quorum.messages import FoundRequest
from quillring.quorum.parts import GROUP_SIZE, choose_group, is_enough, part_names
from quillring.quorum.values import GroupMember, group_to_wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine, WireMap


def found_fleet(
    node: Node,
    part_count: int,
    size: int = GROUP_SIZE,
    stores: list[GroupMember] | None = None,
    choose: Callable[[Node, WireMap], Coroutine] | None = None,
) -> Coroutine:
    """Found the fleet on the stores of the roster, or finish a founding begun before.

    All stores are asked first for a founding record that they have. Then the first store is
    asked alone to take the record: of two concurrent founders the one whose record it takes has
    won, and the other carries on with the winner's record. With `stores` given, the groups are
    chosen from these, spread over as many zones as they are in. With `choose` (coroutine of node
    and record that returns the record agreed on), that record is founded and no other.

    Raises Refused when the stores are too few or in too few zones, NoMajority when a store did not
    take the record (call again to finish), or an error of `choose`.
    """
    gossip = node.find("gossip")
    known_founding = gossip.get("founding")
    if known_founding is not None:
        return {"fleet": known_founding["fleet"], "was_founded": True}
    founders = roster_stores(node) if stores is None else stores
    if stores is None and not is_enough([store.zone for store in founders], size):
        zones = sorted({store.zone for store in founders})
        raise Refused(reason="stores in three domains are needed", domains=zones)
    held_founding = yield from _held_founding(node, founders)
    founding = held_founding or make_founding(node, part_count, size, founders)
    if choose is not None:
        founding, other_stores = (yield from choose(node, founding)), founders
    else:
        arbiter, *other_stores = founders
        founding = yield from _found_at(node, arbiter, founding)
    calls = [
        (store.name, "quorum.found", FoundRequest(store.identity, founding).to_wire())
        for store in other_stores
    ]
    replies = yield from node.gather(calls, len(calls), node.bounds.propagation)
    errors = {name: r.kind for name, r in replies.items() if isinstance(r, QuillringError)}
    if errors:
        raise NoMajority(reason="run the command again", stores=errors)
    gossip.publish("founding", [1], founding)
    return {"fleet": founding["fleet"], "was_founded": held_founding is not None}


def roster_stores(node: Node) -> list[GroupMember]:
    """Return the stores of the roster, in its order."""
    members = node.find("nifty").roster.members.values()
    return [GroupMember(m.name, m.identity, m.zone) for m in members if m.role == "store"]


def make_founding(node: Node, part_count: int, size: int, stores: list[GroupMember]) -> WireMap:
    """Return a new founding record: the groups of all parts, and the fleet's secret."""
    chosen_groups = {part: choose_group(part, stores, size) for part in part_names(part_count)}
    secret_bytes = node.runtime.secret(32)
    return {
        "fleet": secret_bytes[:6].hex(),
        "groups": {
            part: None if group is None else group_to_wire(group)
            for part, group in chosen_groups.items()
        },
        "secret": secret_bytes[6:],
        "size": size,
    }


def _held_founding(node: Node, stores: list[GroupMember]) -> Coroutine:
    """Return a founding record that one of the stores has, or None."""
    calls = [(store.name, "quorum.founding", None) for store in stores]
    replies = yield from node.gather(calls, len(calls), node.bounds.call_timeout)
    held = [reply for reply in replies.values() if isinstance(reply, dict)]
    return held[0] if held else None


def _found_at(node: Node, store: GroupMember, founding: WireMap) -> Coroutine:
    """Ask one store to take the record; return the record that it then has."""
    try:
        body = FoundRequest(store.identity, founding).to_wire()
        yield from node.call(store.name, "quorum.found", body, node.bounds.propagation)
    except Conflict as conflict:
        return conflict.detail["founding"]
    return founding
