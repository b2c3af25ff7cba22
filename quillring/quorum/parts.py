"""The parts that the state is cut into, and the founding record."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

from quillring.nifty.graph import score

CONFIG = "config"

Store = Sequence[str]
"""A member of a group: [name, identity, zone]."""

Group = Sequence[Store]
"""The stores that hold a part."""

Call = tuple[str, str, dict]
"""A call to one node: (name, service, body)."""

Ballot = tuple[int, str]
"""A ballot: (number, core and its incarnation); the highest wins."""

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


def choose_group(part: str, stores: list[Store], size: int = GROUP_SIZE) -> list[Store] | None:
    """Return so many stores by rendezvous, spread evenly over domains, or None if there are fewer.

    `stores` are [name, identity, domain].
    """
    ranked_stores = sorted(stores, key=lambda store: score(part, store[0]), reverse=True)
    zones = [store[2] for store in ranked_stores]
    turns = [zones[:place].count(zone) for place, zone in enumerate(zones)]
    chosen_stores = [store for _, store in sorted(zip(turns, ranked_stores), key=lambda t: t[0])]
    return chosen_stores[:size] if len(chosen_stores) >= size else None


def is_enough(zones: list[str], size: int) -> bool:
    """Tell whether stores in these domains form groups that the loss of no one domain stops."""
    counts = [zones.count(zone) for zone in set(zones)]
    largest = next(
        (most for most in range(1, size + 1) if sum(min(most, count) for count in counts) >= size),
        size,
    )
    return len(zones) >= size and size - largest >= size // 2 + 1
