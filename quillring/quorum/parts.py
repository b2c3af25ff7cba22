"""The parts that the state is cut into, and the founding record."""

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
    """Return the part that holds a service's state."""
    number = int.from_bytes(hashlib.sha256(service.encode()).digest()[:8], "big")
    return f"part-{number % count}"


def majority(group: Group) -> int:
    """Return how many of the group decide."""
    return len(group) // 2 + 1


def choose_group(
    part: str, stores: Sequence[GroupMember], size: int = GROUP_SIZE
) -> list[GroupMember] | None:
    """Return so many stores by rendezvous, spread evenly over zones, or None if there are fewer."""
    ranked_stores = sorted(stores, key=lambda store: score(part, store.name), reverse=True)
    zones = [store.zone for store in ranked_stores]
    if len(ranked_stores) < size:
        return None
    # A store's round is how many better ranked ones its zone has: each zone gives one a round.
    rounds = [zones[:place].count(zone) for place, zone in enumerate(zones)]
    by_round = sorted(zip(rounds, ranked_stores), key=lambda ranked: ranked[0])
    return [store for _, store in by_round[:size]]


def is_enough(zones: list[str], size: int) -> bool:
    """Tell whether stores in these zones form groups that the loss of no one zone stops."""
    counts = [zones.count(zone) for zone in set(zones)]
    largest = next(
        (most for most in range(1, size + 1) if sum(min(most, count) for count in counts) >= size),
        size,
    )
    return len(zones) >= size and size - largest >= size // 2 + 1
