"""The names of the parts (shards of the state), and the placement of their groups on stores."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

from quillring.nifty.graph import rendezvous_score

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quillring.quorum.values import Group, GroupMember

CONFIG_PART = "config"

Call = tuple[str, str, dict[str, Any]]
"""A call to one node: (name, service, body)."""

GROUP_SIZE = 3


def part_names(count: int) -> tuple[str, ...]:
    """Return the names of all parts, the config part first."""
    return (CONFIG_PART, *(f"part-{i}" for i in range(count)))


def part_for_key(key: str, count: int) -> str:
    """Return the part among `count` that a key, such as a service name, maps to by its SHA-256."""
    number = int.from_bytes(hashlib.sha256(key.encode()).digest()[:8], "big")
    return f"part-{number % count}"


def majority(group: Group) -> int:
    """Return the number of members that form a majority of the group."""
    return len(group) // 2 + 1


def choose_group(
    part: str, stores: Sequence[GroupMember], size: int = GROUP_SIZE
) -> list[GroupMember] | None:
    """Return `size` stores for a part, or None if there are too few.

    Stores are ranked by rendezvous hashing and spread evenly over zones.
    """
    ranked_stores = sorted(
        stores, key=lambda store: rendezvous_score(part, store.name), reverse=True
    )
    zones = [store.zone for store in ranked_stores]
    if len(ranked_stores) < size:
        return None
    # A store's round is the number of higher ranked stores in its zone, so that each zone
    # contributes at most one store per round.
    rounds = [zones[:rank].count(zone) for rank, zone in enumerate(zones)]
    by_round = sorted(zip(rounds, ranked_stores), key=lambda ranked: ranked[0])
    return [store for _, store in by_round[:size]]


def can_survive_zone_loss(zones: list[str], size: int) -> bool:
    """Return whether a group of `size` stores retains a majority when any one zone is lost.

    `zones` has the zone of each available store.
    """
    counts = [zones.count(zone) for zone in set(zones)]
    max_in_one_zone = next(
        (
            stores_per_zone
            for stores_per_zone in range(1, size + 1)
            if sum(min(stores_per_zone, count) for count in counts) >= size
        ),
        size,
    )
    return len(zones) >= size and size - max_in_one_zone >= size // 2 + 1
