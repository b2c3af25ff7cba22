"""The small worlds that are explored: their processes, operator commands and bounds."""

from typing import NamedTuple

from proving.model.errors import UnknownName
from quillring.quorum.parts import CONFIG_PART


class Bounds(NamedTuple):
    """How often each kind of choice may be taken on one path.

    In the default schedule a core runs until its calls are answered, and the stores handle its
    requests in the order of their names. `switches` limits the changes to another core before that
    and the deliveries of requests that are delayed or no longer pending; `delays` limits the
    deliveries that overtake requests to earlier stores.
    """

    takes: int = 2
    submits: int = 2
    reads: int = 0
    peeks: int = 0
    resigns: int = 0
    crashes: int = 0
    wipes: int = 0
    core_crashes: int = 0
    late_answers: int = 0
    holds: int = 0
    duplicates: int = 0
    losses: int = 0
    timers: int = 0
    foundings: int = 0
    switches: int = 2
    delays: int = 1


class World(NamedTuple):
    """One small world; operators submit their commands in order, each to any owner.

    In a founded world the cores in `owners` win the part one after another, and all their messages
    are delivered, before the exploration starts. `depth` is the default depth of an exploration.
    """

    name: str
    about: str
    stores: int
    members: int
    cores: int
    operators: dict
    bounds: Bounds
    depth: int
    part: str = CONFIG_PART
    is_founded: bool = True
    owners: tuple = ("core-1",)
    has_seeds: bool = False

    @property
    def store_names(self):
        """The names of all stores; the first `members` of them form the founding group."""
        return tuple(f"store-{number + 1}" for number in range(self.stores))

    @property
    def core_names(self):
        """The names of all cores."""
        return tuple(f"core-{number + 1}" for number in range(self.cores))

    @property
    def seeds(self):
        """The nodes that vote on the founding record at the first start: all stores, or none."""
        return self.store_names if self.has_seeds else ()

    @property
    def all_stores(self):
        """All stores as members of a group: (name, first identity, zone)."""
        return tuple((name, f"{name}.1", f"zone-{name}") for name in self.store_names)

    @property
    def founding_group(self):
        """The group of the part at its founding."""
        return self.all_stores[: self.members]


def adopt_command(operator, base_version, store):
    """Return the command that adopts an operator's configuration change based on a version."""
    return {
        "do": "layout.adopt",
        "id": f"{operator}-{base_version}",
        "base_version": base_version,
        "whole": False,
        "change": {"stores": {store: {"retired": True}}},
    }


def change_group_command(*numbers):
    """Return the command that changes the part's group to the stores with these numbers."""
    group = [[f"store-{n}", f"store-{n}.1", f"zone-store-{n}"] for n in numbers]
    return {"do": "group.change", "group": group}


def swap_commands(group, joining, leaving):
    """Return the commands of one entry that replace a store by another; both are numbers."""
    staying = [number for number in group if number != leaving]
    return (change_group_command(*group, joining), change_group_command(*staying, joining))


ONE_OPERATOR = {"ann": [adopt_command("ann", 0, "store-8")]}
TWO_OPERATORS = {**ONE_OPERATOR, "bob": [adopt_command("bob", 0, "store-9")]}
OPERATORS_IN_SEQUENCE = {
    "ann": [adopt_command("ann", 0, "store-8")],
    "bob": [adopt_command("bob", 1, "store-9")],
}
MOVE = {"eve": [change_group_command(1, 2, 3, 4), change_group_command(2, 3, 4)], **ONE_OPERATOR}
MOVE_TWICE = {
    "eve": [*MOVE["eve"], change_group_command(2, 3, 4, 5), change_group_command(3, 4, 5)],
    **ONE_OPERATOR,
}
SWAP = {"eve": [swap_commands((1, 2, 3), 4, 1)], **ONE_OPERATOR}
SWAP_TWICE = {"eve": [*SWAP["eve"], swap_commands((2, 3, 4), 5, 2)], **ONE_OPERATOR}

WORLDS = {
    world.name: world
    for world in (
        World(
            "takeover",
            "two cores take the part over from each other while two operators change one version",
            3, 3, 2, TWO_OPERATORS, Bounds(takes=2, late_answers=1), 14,
        ),
        World(
            "terms",
            "one core owns the part, steps down and wins it again; messages are duplicated",
            3, 3, 2, OPERATORS_IN_SEQUENCE, Bounds(takes=3, resigns=1, duplicates=1), 9,
        ),
        World(
            "power",
            "stores lose power, also during a sync, between two owners",
            3, 3, 2, ONE_OPERATOR, Bounds(takes=2, submits=1, crashes=2, holds=1), 11,
        ),
        World(
            "emptied",
            "a store loses its disk and restarts as a new member",
            3, 3, 2, ONE_OPERATOR, Bounds(takes=2, submits=1, wipes=1), 17,
        ),
        World(
            "cores",
            "a core restarts while answers to its former incarnation are in flight",
            3, 3, 2, ONE_OPERATOR,
            Bounds(takes=2, submits=1, core_crashes=1, switches=3, delays=0), 26,
        ),
        World(
            "reads",
            "linearizable reads and reads from the stores while two owners compete",
            3, 3, 2, OPERATORS_IN_SEQUENCE, Bounds(takes=1, reads=1, peeks=1, delays=0), 9,
        ),
        World(
            "peeks",
            "reads from the stores of a part that announces commits without waiting for answers",
            3, 3, 2, OPERATORS_IN_SEQUENCE, Bounds(takes=1, peeks=1), 7, part="part-0",
        ),
        World(
            "silence",
            "timeouts, retried calls and catch-up while two owners compete",
            3, 3, 2, ONE_OPERATOR, Bounds(takes=1, submits=1, timers=3, switches=1, delays=0), 13,
        ),
        World(
            "group",
            "the group changes one member at a time, with an operator's command in between",
            4, 3, 2, MOVE, Bounds(takes=1, submits=3, peeks=1, switches=1, delays=0), 11,
        ),
        World(
            "leap",
            "a command asks for a group that differs by more than one member",
            5, 3, 2, {"eve": [change_group_command(1, 4, 5)], **ONE_OPERATOR},
            Bounds(takes=2, switches=1), 40,
        ),
        World(
            "moves",
            "two members are replaced; a node that knows the first group reads and takes over",
            5, 3, 2, MOVE_TWICE, Bounds(takes=1, submits=5, peeks=1, switches=1, delays=0), 9,
        ),
        World(
            "swap",
            "one entry replaces a store while two owners compete and an operator submits a command",
            4, 3, 2, SWAP, Bounds(takes=1, submits=2, switches=2, delays=2), 60, part="part-0",
        ),
        World(
            "swaps",
            "two entries each replace a store; the first and the last group share only one store",
            5, 3, 2, SWAP_TWICE, Bounds(takes=1, submits=3, switches=1, delays=1), 60,
            part="part-0",
        ),
        World(
            "founding",
            "two cores found the fleet at the same time; a store may lose power",
            3, 3, 2, {}, Bounds(0, 0, foundings=3, crashes=1, holds=1, timers=2, late_answers=1),
            9, is_founded=False,
        ),
        World(
            "electing",
            "two cores ask the seeds to agree on a founding record; a seed may restart",
            3, 3, 2, {}, Bounds(0, 0, foundings=3, crashes=1, timers=1, late_answers=1, delays=2),
            11, is_founded=False, has_seeds=True,
        ),
    )
}  # fmt: skip


def find_world(name):
    """Return the world of this name; raise UnknownName, which lists the known names."""
    if name not in WORLDS:
        raise UnknownName(world=name, known=sorted(WORLDS))
    return WORLDS[name]


def with_bounds(world, changes):
    """Return the world with some bounds replaced; raise UnknownName for an unknown bound."""
    unknown = sorted(set(changes) - set(Bounds._fields))
    if unknown:
        raise UnknownName(bound=unknown[0], known=list(Bounds._fields))
    return world._replace(bounds=world.bounds._replace(**changes))
