"""Find the part that keeps a lot, also for lots that a former version accepted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import NotFound
from quillring.kernel.records import NamedTuple
from quillring.lots.http_requests.lot_table import HELD_LIMIT_BYTES
from quillring.quorum.parts import part_for_key

if TYPE_CHECKING:
    from collections.abc import Callable

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

SPREAD_LEVEL = 3
"""The wire version from which lots live in the part of their own key."""


class LotPlacement(NamedTuple):
    """The parts that concern one lot.

    Parameters
    ----------
    key
        The lot's key in its part.
    own
        The part that the key hashes to: bodies, results and runs.
    home
        The part that the lot's host hashes to: it keeps the reservations of the host's forwards,
        and the lots of the host that were accepted by a version which kept all of them there.
    """

    key: str
    own: str
    home: str


def bare_host(host: str) -> str:
    """Return a host's name without its port, in lower case."""
    return host.lower().partition(":")[0]


def lot_key(host: str, lot_name: str) -> str:
    """Return the key of a host's lot in its part's state."""
    return f"{lot_name}@{bare_host(host)}"


def count_parts(node: Node) -> int:
    """Return how many parts keep lots; raise NotFounded while the fleet is not founded."""
    return len(node.find("ownership").parts()) - 1


def place_of_lot(node: Node, host: str, lot_name: str) -> LotPlacement:
    """Return the placement of a host's lot; raise NotFounded while the fleet is not founded."""
    count, key = count_parts(node), lot_key(host, lot_name)
    return LotPlacement(key, part_for_key(key, count), part_for_key(bare_host(host), count))


def held_limit_of_part(node: Node) -> int:
    """Return the bytes of lots that a part may keep: its equal share of HELD_LIMIT_BYTES."""
    return HELD_LIMIT_BYTES // count_parts(node)


def are_lots_spread(node: Node) -> bool:
    """Return whether every reachable member supports lots outside their host's part."""
    level: int = node.find("nifty").lowest_common_version()
    return level >= SPREAD_LEVEL


def in_either_part(place: LotPlacement, ask: Callable[[str], Coroutine]) -> Coroutine:
    """Run ask(part) at the lot's own part, and at its home part if that raises NotFound.

    Raises NotFound where neither has the lot.
    """
    try:
        return (yield from ask(place.own))
    except NotFound:
        if place.own == place.home:
            raise
    return (yield from ask(place.home))
