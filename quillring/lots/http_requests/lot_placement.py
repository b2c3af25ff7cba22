"""In which part a lot lives, and where one lies that a former version accepted."""

from typing import NamedTuple

from quillring.kernel.errors import NotFound
from quillring.lots.http_requests.lot_table import HELD_WEIGHT
from quillring.quorum.parts import part_of

SPREAD_LEVEL = 3


class LotPlacement(NamedTuple):
    """The parts that concern one lot.

    `own` is the part that the lot's key hashes to: bodies, results and runs. `home` is the part
    that its host hashes to: it keeps the reservations of the host's forwards, and the lots of the
    host that were accepted by a version which kept all of them there.
    """

    key: str
    own: str
    home: str


def bare_host(host):
    """Return a host's name without its port, in lower case."""
    return host.lower().partition(":")[0]


def lot_key(host, lot_name):
    """Return the name under which a host's lot stands in its part."""
    return f"{lot_name}@{bare_host(host)}"


def count_parts(node):
    """Return how many parts hold lots; NotFounded while the fleet is not founded."""
    return len(node.find("ownership").parts()) - 1


def place_of_lot(node, host, lot_name):
    """Return the LotPlacement of a host's lot; NotFounded while the fleet is not founded."""
    count, key = count_parts(node), lot_key(host, lot_name)
    return LotPlacement(key, part_of(key, count), part_of(bare_host(host), count))


def most_weight_of_part(node):
    """Return the bytes of lots that one part may hold: all parts together hold HELD_WEIGHT."""
    return HELD_WEIGHT // count_parts(node)


def are_lots_spread(node):
    """Tell whether every member in reach knows lots that live outside their host's part."""
    return node.find("nifty").level() >= SPREAD_LEVEL


def in_either_part(place, ask):
    """Coroutine: run ask(part) at the lot's own part; where it surely is not there, at its home."""
    try:
        return (yield from ask(place.own))
    except NotFound:
        if place.own == place.home:
            raise
    return (yield from ask(place.home))
