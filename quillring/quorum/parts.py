"""The parts that the state is cut into, and the founding record."""

import hashlib

from more_itertools import take, unique_everseen

from quillring.nifty.graph import score

CONFIG = "config"
GROUP_SIZE = 3


def part_names(count):
    """Return the names of all parts, the config part first."""
    return (CONFIG, *(f"part-{i}" for i in range(count)))


def part_of(service, count):
    """Return the part that holds a service's state."""
    number = int.from_bytes(hashlib.sha256(service.encode()).digest()[:8], "big")
    return f"part-{number % count}"


def majority(group):
    """Return how many of the group decide."""
    return len(group) // 2 + 1


def choose_group(part, stores):
    """Return three stores in distinct domains by rendezvous; `stores` are [name, id, domain]."""
    rankedStores = sorted(stores, key=lambda store: score(part, store[0]), reverse=True)
    chosenStores = take(GROUP_SIZE, unique_everseen(rankedStores, key=lambda store: store[2]))
    return chosenStores if len(chosenStores) == GROUP_SIZE else None
