"""The parts that the state is cut into, and the founding record."""

import hashlib

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


def choose_group(part, stores, keep=()):
    """Return three stores in distinct domains by rendezvous; `stores` are [name, id, domain]."""
    chosenStores = list(keep)
    usedDomains = {store[2] for store in chosenStores}
    for store in sorted(stores, key=lambda s: score(part, s[0]), reverse=True):
        if len(chosenStores) < GROUP_SIZE and store[2] not in usedDomains:
            chosenStores.append(store)
            usedDomains.add(store[2])
    return chosenStores if len(chosenStores) == GROUP_SIZE else None
