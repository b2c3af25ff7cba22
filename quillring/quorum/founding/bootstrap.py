"""The first start of a fleet: the first seed founds it; if it fails, the others try in turn."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import QuillringError
from quillring.quorum.founding.founding import found_fleet, roster_stores
from quillring.quorum.founding.founding_vote import agree_on_founding
from quillring.quorum.parts import GROUP_SIZE, can_survive_zone_loss

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.quorum.values import GroupMember

ROSTER_STABLE_HEARTBEATS = 2
SEED_TURN_HEARTBEATS = 8


def found_at_first_start(
    node: Node, is_first_start: bool, part_count: int, size: int = GROUP_SIZE
) -> Coroutine:
    """Found the fleet at its first start, once the set of reachable stores is stable.

    `size` is the number of stores that replicate each part. The first seed tries at once; each
    later seed waits for one more turn of SEED_TURN_HEARTBEATS heartbeat intervals, and tries if the
    fleet is still not founded. A majority of the seeds must agree on the founding record, so that
    the two sides of a partition cannot both found a fleet. If there are too few stores or zones for
    groups of `size`, the seed waits for a further turn and then uses the largest odd number of
    reachable stores, at most `size`.
    """
    voter = node.find("elector")
    voter.is_first_start = is_first_start
    if not is_first_start:
        return
    node.spawn(voter.register_first_start())
    gossip, bounds = node.find("gossip"), node.bounds
    turn_seconds = bounds.heartbeat_interval * SEED_TURN_HEARTBEATS
    stable_seconds = bounds.heartbeat_interval * ROSTER_STABLE_HEARTBEATS
    first_attempt_time = node.now() + turn_seconds * seed_position(node)
    names: tuple[str, ...] = ()
    stable_since = node.now()
    while gossip.get("founding") is None:
        yield Sleep(bounds.gossip_interval * 2)
        stores, now = reachable_stores(node), node.now()
        store_names = tuple(store.name for store in stores)
        if store_names != names:
            names, stable_since = store_names, now
        if now < first_attempt_time or now - stable_since < stable_seconds or not stores:
            continue
        if (
            can_survive_zone_loss([store.zone for store in stores], size)
            or now >= first_attempt_time + turn_seconds
        ):
            group_size = min(size, _largest_odd(len(stores)))
            try:
                yield from found_fleet(node, part_count, group_size, stores, agree_on_founding)
            except QuillringError as error:
                node.log("warning", "attempt to found the fleet failed: %s", error)


def _largest_odd(count: int) -> int:
    """Return the largest odd number that is at most `count`, which must be positive."""
    return (count + 1) // 2 * 2 - 1


def seed_position(node: Node) -> int:
    """Return the position of this node among the seeds sorted by address; non-seeds come last.

    The seeds are sorted because the settings of each node may list them in a different order.
    """
    seeds = sorted({tuple(seed) for seed in node.find("nifty").seeds})
    return seeds.index(node.me.address) if node.me.address in seeds else len(seeds)


def reachable_stores(node: Node) -> list[GroupMember]:
    """Return the stores of the roster that this node reaches."""
    nifty = node.find("nifty")
    return [store for store in roster_stores(node) if nifty.reaches(store.name)]
