"""The small worlds that are explored: who there is, what may be done, and how often."""

from typing import NamedTuple

from proving.model.errors import UnknownName
from quillring.quorum.parts import CONFIG_PART


class Bounds(NamedTuple):
    """How often each kind of choice may be taken on one path.

    By default a core goes on until its calls are answered, and its stores take a call in their
    order. `switches` counts the turns to another core before that, and each message that comes
    after its turn; `delays` counts how often stores that come first are passed over.
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
    """One small world; operators submit their commands in order, each at any owner.

    Where it is founded, the cores of `owners` took the part one after another and all their
    messages arrived before the exploration begins. `depth` is the depth to which it is looked at.
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
        """The names of all stores, the first ones being the founding group."""
        return tuple(f"store-{number + 1}" for number in range(self.stores))

    @property
    def core_names(self):
        """The names of all cores."""
        return tuple(f"core-{number + 1}" for number in range(self.cores))

    @property
    def seeds(self):
        """The nodes that vote on the founding at the first start: the stores, or none."""
        return self.store_names if self.has_seeds else ()

    @property
    def all_stores(self):
        """All stores as members of a group: (name, first identity, zone)."""
        return tuple((name, f"{name}.1", f"zone-{name}") for name in self.store_names)

    @property
    def founding_group(self):
        """The group that the part begins with."""
        return self.all_stores[: self.members]


def adopt(operator, base_version, store):
    """Return an operator's partial configuration, made on top of a version."""
    return {
        "do": "layout.adopt",
        "id": f"{operator}-{base_version}",
        "base_version": base_version,
        "whole": False,
        "change": {"stores": {store: {"retired": True}}},
    }


def regroup(*numbers):
    """Return a change of the part's group to the stores of these numbers."""
    group = [[f"store-{n}", f"store-{n}.1", f"zone-store-{n}"] for n in numbers]
    return {"do": "group.change", "group": group}


def swap(group, joining, leaving):
    """Return the one entry that puts a store in another's place; both are numbers."""
    staying = [number for number in group if number != leaving]
    return (regroup(*group, joining), regroup(*staying, joining))


ANN = {"ann": [adopt("ann", 0, "store-8")]}
TWO_OPERATORS = {**ANN, "bob": [adopt("bob", 0, "store-9")]}
IN_TURN = {"ann": [adopt("ann", 0, "store-8")], "bob": [adopt("bob", 1, "store-9")]}
MOVE = {"eve": [regroup(1, 2, 3, 4), regroup(2, 3, 4)], **ANN}
MOVE_TWICE = {"eve": [*MOVE["eve"], regroup(2, 3, 4, 5), regroup(3, 4, 5)], **ANN}
SWAP = {"eve": [swap((1, 2, 3), 4, 1)], **ANN}
SWAP_TWICE = {"eve": [*SWAP["eve"], swap((2, 3, 4), 5, 2)], **ANN}

WORLDS = {
    world.name: world
    for world in (
        World(
            "takeover",
            "two cores take the part from each other while two operators change one version",
            3, 3, 2, TWO_OPERATORS, Bounds(takes=2, late_answers=1), 14,
        ),
        World(
            "terms",
            "one core owns the part, hands it over and takes it again; messages come twice",
            3, 3, 2, IN_TURN, Bounds(takes=3, resigns=1, duplicates=1), 9,
        ),
        World(
            "power",
            "stores lose their power, also amid a sync, between two owners",
            3, 3, 2, ANN, Bounds(takes=2, submits=1, crashes=2, holds=1), 11,
        ),
        World(
            "emptied",
            "a store loses its disk and comes back as a new member",
            3, 3, 2, ANN, Bounds(takes=2, submits=1, wipes=1), 17,
        ),
        World(
            "cores",
            "a core is started again while answers to its former start are under way",
            3, 3, 2, ANN, Bounds(takes=2, submits=1, core_crashes=1, switches=3, delays=0), 26,
        ),
        World(
            "reads",
            "fenced reads and reads from the stores beside two owners",
            3, 3, 2, IN_TURN, Bounds(takes=1, reads=1, peeks=1, delays=0), 9,
        ),
        World(
            "peeks",
            "reads from the stores of a part that tells commits without waiting for answers",
            3, 3, 2, IN_TURN, Bounds(takes=1, peeks=1), 7, part="part-0",
        ),
        World(
            "silence",
            "time-outs, repeats of calls and mending beside two owners",
            3, 3, 2, ANN, Bounds(takes=1, submits=1, timers=3, switches=1, delays=0), 13,
        ),
        World(
            "group",
            "the group moves by one member after another, an order comes in between",
            4, 3, 2, MOVE, Bounds(takes=1, submits=3, peeks=1, switches=1, delays=0), 11,
        ),
        World(
            "leap",
            "an order asks for another group than one that differs by one member",
            5, 3, 2, {"eve": [regroup(1, 4, 5)], **ANN}, Bounds(takes=2, switches=1), 40,
        ),
        World(
            "moves",
            "the group moves by two members; a node that knows the first group reads and takes",
            5, 3, 2, MOVE_TWICE, Bounds(takes=1, submits=5, peeks=1, switches=1, delays=0), 9,
        ),
        World(
            "swap",
            "one entry puts a store in another's place beside two owners and an order",
            4, 3, 2, SWAP, Bounds(takes=1, submits=2, switches=2, delays=2), 60, part="part-0",
        ),
        World(
            "swaps",
            "two such entries, so that the first group and the last share one store only",
            5, 3, 2, SWAP_TWICE, Bounds(takes=1, submits=3, switches=1, delays=1), 60,
            part="part-0",
        ),
        World(
            "founding",
            "two cores found the fleet at one moment; a store may lose its power",
            3, 3, 2, {}, Bounds(0, 0, foundings=3, crashes=1, holds=1, timers=2, late_answers=1),
            9, is_founded=False,
        ),
        World(
            "electing",
            "two cores have a majority of the seeds agree on a founding; a seed may restart",
            3, 3, 2, {}, Bounds(0, 0, foundings=3, crashes=1, timers=1, late_answers=1, delays=2),
            11, is_founded=False, has_seeds=True,
        ),
    )
}  # fmt: skip


def find_world(name):
    """Return the world of this name; UnknownName tells those that there are."""
    if name not in WORLDS:
        raise UnknownName(world=name, known=sorted(WORLDS))
    return WORLDS[name]


def with_bounds(world, changes):
    """Return the world with other bounds; UnknownName for a bound that there is none of."""
    unknown = sorted(set(changes) - set(Bounds._fields))
    if unknown:
        raise UnknownName(bound=unknown[0], known=list(Bounds._fields))
    return world._replace(bounds=world.bounds._replace(**changes))
