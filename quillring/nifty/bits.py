"""Sets of members as integers: one bit for each name, in the sorted order of names.

Rows of the connectivity matrix are stored so: union, difference and count take one operation each.
"""

from __future__ import annotations

from functools import reduce
from operator import itemgetter, or_
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


def to_bits(places: Iterable[int]) -> int:
    """Return the integer with the bits at these places set."""
    text = bytearray(max(places, default=-1) // 8 + 1)
    for place in places:
        text[place >> 3] |= 1 << (place & 7)
    return int.from_bytes(text, "little")


def bit_positions(bits: int) -> list[int]:
    """Return the places of the set bits, in ascending order."""
    text = bin(bits)[:1:-1]
    return [place for place, digit in enumerate(text) if digit == "1"]


def union(rows: Iterable[int]) -> int:
    """Return the bits set in any of the rows."""
    return reduce(or_, rows, 0)


def transpose(rows: list[int], width: int) -> list[int]:
    """Return the columns of a square matrix of `width` rows."""
    if not width:
        return []
    text = "".join([format(row, f"0{width}b") for row in reversed(rows)])
    return [int(text[width - 1 - place :: width], 2) for place in range(width)]


class BitPermutation:
    """Translates bits from one order of names to another; names missing there are left out."""

    __slots__ = ("width", "pick")

    def __init__(self, names: Sequence[str], new_places: dict[str, int]) -> None:
        """Prepare to read bits over `names` as bits over {name: place}."""
        self.width = len(names)
        known = {name: place for place, name in enumerate(names)}
        picked = [known.get(name, self.width) for name in new_places]
        picked = [self.width - 1 - p if p < self.width else self.width for p in reversed(picked)]
        self.pick = itemgetter(*picked, self.width, self.width)

    def read(self, bits: int) -> int:
        """Return the bits in the new order."""
        digits = self.pick(format(bits, f"0{self.width}b") + "0")
        return int("".join(digits), 2) >> 2


class BitPermutations:
    """A cache of the permutations into one order of names, given as {name: place}."""

    __slots__ = ("places", "made")

    def __init__(self, places: dict[str, int]) -> None:
        self.places = places
        self.made: dict[int, BitPermutation] = {}

    def read(self, bits: int, names: Sequence[str], places: dict[str, int]) -> int:
        """Return bits over `names`, whose {name: place} is `places`, in this order."""
        if places is self.places:
            return bits
        if id(places) not in self.made:
            self.made[id(places)] = BitPermutation(names, self.places)
        return self.made[id(places)].read(bits)
