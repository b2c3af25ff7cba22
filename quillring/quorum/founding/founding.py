"""Founding: an idempotent operation that chooses the stores of every part, once per fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import Conflict, NoMajority, QuillringError, Refused
from quillring.quorum.messages import FoundRequest
from quillring.quorum.parts import GROUP_SIZE, can_survive_zone_loss, choose_group, part_names
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
    """Found the fleet on the stores of the roster, or complete a founding that was interrupted.

    First asks all stores for an existing founding record, and proposes a new one if there is none.
    By default the first store decides between concurrent founders: it stores the first record that
    it receives, and a founder whose record it rejects continues with the stored one. With `choose`,
    a coroutine function that takes the node and the proposed record and returns the record agreed
    on, that record is used instead. The record is then stored at all stores. With `stores`, the
    groups are chosen from these, spread over the zones that they are in.

    Raises Refused when there are too few stores or zones, NoMajority when a store did not store the
    record (call again to complete the founding), or an error of `choose`.
    """
    gossip = node.find("gossip")
    known_founding = gossip.get("founding")
    if known_founding is not None:
        return {"fleet": known_founding["fleet"], "was_founded": True}
    founders = roster_stores(node) if stores is None else stores
    if stores is None and not can_survive_zone_loss([store.zone for store in founders], size):
        zones = sorted({store.zone for store in founders})
        raise Refused(reason="stores in three domains are needed", domains=zones)
    existing_founding = yield from _fetch_existing_founding(node, founders)
    founding = existing_founding or make_founding(node, part_count, size, founders)
    if choose is not None:
        founding, other_stores = (yield from choose(node, founding)), founders
    else:
        deciding_store, *other_stores = founders
        founding = yield from _store_founding(node, deciding_store, founding)
    calls = [
        (store.name, "quorum.found", FoundRequest(store.identity, founding).to_wire())
        for store in other_stores
    ]
    replies = yield from node.gather(calls, len(calls), node.bounds.propagation)
    errors = {name: r.kind for name, r in replies.items() if isinstance(r, QuillringError)}
    if errors:
        raise NoMajority(reason="run the command again", stores=errors)
    gossip.publish("founding", [1], founding)
    return {"fleet": founding["fleet"], "was_founded": existing_founding is not None}


def roster_stores(node: Node) -> list[GroupMember]:
    """Return the stores of the roster, in the order of the roster."""
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


def _fetch_existing_founding(node: Node, stores: list[GroupMember]) -> Coroutine:
    """Return a founding record that one of the stores already has, or None."""
    calls = [(store.name, "quorum.founding", None) for store in stores]
    replies = yield from node.gather(calls, len(calls), node.bounds.call_timeout)
    records = [reply for reply in replies.values() if isinstance(reply, dict)]
    return records[0] if records else None


def _store_founding(node: Node, store: GroupMember, founding: WireMap) -> Coroutine:
    """Ask one store to store the record; return the record that it has afterwards."""
    try:
        body = FoundRequest(store.identity, founding).to_wire()
        yield from node.call(store.name, "quorum.found", body, node.bounds.propagation)
    except Conflict as conflict:
        return conflict.detail["founding"]
    return founding
