"""Find the part that stores a lot, including lots that a previous version accepted."""

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

SPREAD_WIRE_VERSION = 3
"""The first wire version that stores lots in the part of their own key."""


class LotPlacement(NamedTuple):
    """A lot's key and the parts that store its data.

    Parameters
    ----------
    key
        The lot's key in its part.
    own
        The part that the key hashes to. It stores the bodies and results, and runs the items.
    home
        The part that the lot's host hashes to. It stores the token reservations of the host's
        forwards, and the lots that versions before SPREAD_WIRE_VERSION accepted for the host.
    """

    key: str
    own: str
    home: str


def normalized_host(host: str) -> str:
    """Return a host name in lower case and without the port."""
    return host.lower().partition(":")[0]


def lot_key(host: str, lot_name: str) -> str:
    """Return the key under which a host's lot is stored in its part's state."""
    return f"{lot_name}@{normalized_host(host)}"


def count_parts(node: Node) -> int:
    """Return the number of parts that store lots; raise NotFounded before the fleet is founded."""
    return len(node.find("ownership").parts()) - 1


def placement_of_lot(node: Node, host: str, lot_name: str) -> LotPlacement:
    """Return the placement of a host's lot; raise NotFounded before the fleet is founded."""
    count, key = count_parts(node), lot_key(host, lot_name)
    return LotPlacement(key, part_for_key(key, count), part_for_key(normalized_host(host), count))


def max_held_bytes_of_part(node: Node) -> int:
    """Return the limit on the bytes of a part's lots: an equal share of HELD_LIMIT_BYTES."""
    return HELD_LIMIT_BYTES // count_parts(node)


def are_lots_spread(node: Node) -> bool:
    """Return whether every reachable member supports lots outside the part of their host."""
    common_version: int = node.find("nifty").lowest_common_version()
    return common_version >= SPREAD_WIRE_VERSION


def in_own_or_home_part(
    placement: LotPlacement, operation: Callable[[str], Coroutine]
) -> Coroutine:
    """Run operation(part) in the lot's own part, and in its home part if that raises NotFound.

    Raises NotFound if neither part has the lot.
    """
    try:
        return (yield from operation(placement.own))
    except NotFound:
        if placement.own == placement.home:
            raise
    return (yield from operation(placement.home))
