"""The parts (shards) of the state, and the placement of their groups on stores."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

from quillring.nifty.graph import score

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quillring.quorum.values import Group, GroupMember

CONFIG = "config"

Call = tuple[str, str, dict[str, Any]]
"""A call to one node: (name, service, body)."""

GROUP_SIZE = 3


def part_names(count: int) -> tuple[str, ...]:
    """Return the names of all parts, the config part first."""
    return (CONFIG, *(f"part-{i}" for i in range(count)))


def part_of(service: str, count: int) -> str:
    """Return the part that has a service's state, by the SHA-256 of the service's name."""
    number = int.from_bytes(hashlib.sha256(service.encode()).digest()[:8], "big")
    return f"part-{number % count}"


def majority(group: Group) -> int:
    """Return how many members are a majority of the group."""
    return len(group) // 2 + 1


def choose_group(
    part: str, stores: Sequence[GroupMember], size: int = GROUP_SIZE
) -> list[GroupMember] | None:
    """Return `size` stores by rendezvous hashing, spread evenly over zones; None if too few."""
    ranked_stores = sorted(stores, key=lambda store: score(part, store.name), reverse=True)
    zones = [store.zone for store in ranked_stores]
    if len(ranked_stores) < size:
        return None
    # A store's round is the number of better ranked stores in its zone: each zone adds one a round.
    rounds = [zones[:place].count(zone) for place, zone in enumerate(zones)]
    by_round = sorted(zip(rounds, ranked_stores), key=lambda ranked: ranked[0])
    return [store for _, store in by_round[:size]]


def is_enough(zones: list[str], size: int) -> bool:
    """Return whether stores in these zones allow groups that survive the loss of any one zone."""
    counts = [zones.count(zone) for zone in set(zones)]
    largest = next(
        (most for most in range(1, size + 1) if sum(min(most, count) for count in counts) >= size),
        size,
    )
    return len(zones) >= size and size - largest >= size // 2 + 1
