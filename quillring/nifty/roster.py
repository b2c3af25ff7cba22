"""The roster: an immutable snapshot of all members that a node knows."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import cbor2

from quillring.nifty.bits import bit_positions, to_bits

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quillring.kernel.member import Member
    from quillring.kernel.types import Address


class Roster:
    """The members sorted by name; the digest identifies the list of names behind a bitmap."""

    __slots__ = ("members", "names", "positions", "digest", "addresses")

    def __init__(self, members: Iterable[Member]) -> None:
        self._set_members({m.name: m for m in sorted(members, key=lambda m: m.name)})
        self.names = tuple(self.members)
        self.positions = {name: position for position, name in enumerate(self.names)}
        self.digest = hashlib.sha256(cbor2.dumps(self.names)).digest()[:8]

    def _set_members(self, members: dict[str, Member]) -> None:
        """Set the members, and index their names by address."""
        self.members = members
        self.addresses: dict[Address, list[str]] = {}
        for member in members.values():
            self.addresses.setdefault(member.address, []).append(member.name)

    def with_members(self, members: Iterable[Member]) -> Roster:
        """Return a copy of the roster with these members added or replaced."""
        new_members = {**self.members, **{m.name: m for m in members}}
        if len(new_members) > len(self.members):
            return Roster(new_members.values())
        renewed = Roster.__new__(Roster)
        renewed._set_members(new_members)
        renewed.names, renewed.positions, renewed.digest = self.names, self.positions, self.digest
        return renewed

    def without(self, name: str) -> Roster:
        """Return a copy of the roster without the member of this name."""
        return Roster([m for m in self.members.values() if m.name != name])

    def to_bitmap(self, reached_names: Iterable[str]) -> bytes:
        """Return the bitmap of some names: little-endian, one bit for each member."""
        bits = to_bits([self.positions[name] for name in reached_names if name in self.positions])
        return bits.to_bytes((len(self.names) + 7) // 8, "little")

    def from_bitmap(self, bitmap: bytes) -> int:
        """Return the bits of a bitmap encoded for this roster; excess bits are cleared."""
        return int.from_bytes(bitmap, "little") & (1 << len(self.names)) - 1

    def names_of(self, bits: int) -> frozenset[str]:
        """Return the names whose bits are set."""
        return frozenset([self.names[position] for position in bit_positions(bits)])
