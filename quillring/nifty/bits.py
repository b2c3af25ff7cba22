"""Sets of members as integer bitsets: one bit for each name, in the sorted order of names.

Rows of the connectivity matrix are bitsets: union, difference and count take one operation each.
"""

from __future__ import annotations

from functools import reduce
from operator import itemgetter, or_
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


def to_bits(positions: Iterable[int]) -> int:
    """Return the integer with the bits at these positions set."""
    data = bytearray(max(positions, default=-1) // 8 + 1)
    for position in positions:
        data[position >> 3] |= 1 << (position & 7)
    return int.from_bytes(data, "little")


def bit_positions(bits: int) -> list[int]:
    """Return the positions of the set bits, in ascending order."""
    digits = bin(bits)[:1:-1]
    return [position for position, digit in enumerate(digits) if digit == "1"]


def union(rows: Iterable[int]) -> int:
    """Return the bits set in any of the rows."""
    return reduce(or_, rows, 0)


def transpose(rows: list[int], width: int) -> list[int]:
    """Return the columns of a square bit matrix of `width` rows, as integers."""
    if not width:
        return []
    digits = "".join([format(row, f"0{width}b") for row in reversed(rows)])
    return [int(digits[width - 1 - position :: width], 2) for position in range(width)]


class BitPermutation:
    """Reorders bits from one list of names to another; names not in the new list are dropped."""

    __slots__ = ("width", "select_digits")

    def __init__(self, names: Sequence[str], new_positions: dict[str, int]) -> None:
        """Prepare to reorder bits over `names` into bits over {name: position}."""
        self.width = len(names)
        old_positions = {name: position for position, name in enumerate(names)}
        selected = [old_positions.get(name, self.width) for name in new_positions]
        selected = [
            self.width - 1 - p if p < self.width else self.width for p in reversed(selected)
        ]
        self.select_digits = itemgetter(*selected, self.width, self.width)

    def reorder(self, bits: int) -> int:
        """Return the bits in the new order."""
        digits = self.select_digits(format(bits, f"0{self.width}b") + "0")
        return int("".join(digits), 2) >> 2


class BitPermutations:
    """Caches the permutations into one order of names, which is given as {name: position}."""

    __slots__ = ("positions", "cached_permutations")

    def __init__(self, positions: dict[str, int]) -> None:
        self.positions = positions
        self.cached_permutations: dict[int, BitPermutation] = {}

    def reorder(self, bits: int, names: Sequence[str], positions: dict[str, int]) -> int:
        """Return the bits over `names` reordered; `positions` is {name: position} of `names`."""
        if positions is self.positions:
            return bits
        if id(positions) not in self.cached_permutations:
            self.cached_permutations[id(positions)] = BitPermutation(names, self.positions)
        return self.cached_permutations[id(positions)].reorder(bits)
