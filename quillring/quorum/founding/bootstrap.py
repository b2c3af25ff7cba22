"""The first start of a fleet: the first seed founds it; later seeds try in turn if it fails."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import QuillringError
from quillring.quorum.founding.founding import found_fleet, roster_stores
from quillring.quorum.founding.founding_vote import agree_on_founding
from quillring.quorum.parts import GROUP_SIZE, is_enough

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.quorum.values import GroupMember

STEADY_HEARTBEATS = 2
TURN_HEARTBEATS = 8


def found_at_first_start(
    node: Node, is_first_start: bool, part_count: int, size: int = GROUP_SIZE
) -> Coroutine:
    """Found the fleet at its first start, once the set of reachable stores is stable.

    `size` is how many stores replicate each part. The first seed tries at once, each later one
    after another turn of TURN_HEARTBEATS heartbeats without a founding. A majority of the seeds has
    to agree on the record, so that two sides of a partition cannot both found. With too few stores
    or zones for the size, it takes the largest odd number of stores up to it, after a further turn.
    """
    voter = node.find("elector")
    voter.is_first_start = is_first_start
    if not is_first_start:
        return
    node.spawn(voter.register_first_start())
    gossip, bounds = node.find("gossip"), node.bounds
    turn_seconds = bounds.heartbeat_interval * TURN_HEARTBEATS
    steady_seconds = bounds.heartbeat_interval * STEADY_HEARTBEATS
    own_time = node.now() + turn_seconds * seed_position(node)
    names: tuple[str, ...] = ()
    steady_since = node.now()
    while gossip.get("founding") is None:
        yield Sleep(bounds.gossip_interval * 2)
        stores, now = reachable_stores(node), node.now()
        known_names = tuple(store.name for store in stores)
        if known_names != names:
            names, steady_since = known_names, now
        if now < own_time or now - steady_since < steady_seconds or not stores:
            continue
        if is_enough([store.zone for store in stores], size) or now >= own_time + turn_seconds:
            wanted_size = min(size, _largest_odd(len(stores)))
            try:
                yield from found_fleet(node, part_count, wanted_size, stores, agree_on_founding)
            except QuillringError as error:
                node.log("warning", "founding: %s", error)


def _largest_odd(count: int) -> int:
    """Return the largest odd number up to a count of one or more."""
    return (count + 1) // 2 * 2 - 1


def seed_position(node: Node) -> int:
    """Return the position of this node among the seeds sorted by address; non-seeds come last.

    They are sorted because each node's settings may list the seeds in another order.
    """
    seeds = sorted({tuple(seed) for seed in node.find("nifty").seeds})
    return seeds.index(node.me.address) if node.me.address in seeds else len(seeds)


def reachable_stores(node: Node) -> list[GroupMember]:
    """Return the reachable stores of the roster."""
    nifty = node.find("nifty")
    return [store for store in roster_stores(node) if nifty.reaches(store.name)]
