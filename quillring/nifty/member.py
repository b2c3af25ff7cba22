"""Cohort members and the roster, an immutable image swapped whole."""

import hashlib

import cbor2

FIELDS = ("name", "incarnation", "role", "domain", "host", "port", "http_port", "identity")


class Member:
    """One node as its cohort knows it; the incarnation is new at every start."""

    __slots__ = FIELDS

    def __init__(self, *fields):
        for slot, field in zip(FIELDS, fields, strict=True):
            setattr(self, slot, field)

    @property
    def address(self):
        """The (host, port) of its heartbeats and messages."""
        return self.host, self.port

    def to_list(self):
        """Return the fields in wire order."""
        return [getattr(self, slot) for slot in FIELDS]

    def restarted(self, incarnation):
        """Return the member under another start."""
        return Member(self.name, incarnation, *self.to_list()[2:])

    def to_json(self):
        """Return the fields by name."""
        return {slot: getattr(self, slot) for slot in FIELDS}

    @classmethod
    def from_list(cls, fields):
        """Read a member record, refusing one with wrong types."""
        if len(fields) != len(FIELDS):
            raise ValueError("member fields")
        textFields = (fields[0], fields[2], fields[3], fields[4], fields[7])
        numberFields = (fields[1], fields[5], fields[6])
        if not all(isinstance(f, str) for f in textFields):
            raise TypeError("member text")
        if not all(isinstance(f, int) for f in numberFields):
            raise TypeError("member number")
        return cls(*fields)


class Roster:
    """The sorted members; the digest names the order that bitmaps are made for."""

    __slots__ = ("members", "names", "digest")

    def __init__(self, members):
        self.members = {m.name: m for m in sorted(members, key=lambda m: m.name)}
        self.names = tuple(self.members)
        self.digest = hashlib.sha256(cbor2.dumps(self.names)).digest()[:8]

    def with_member(self, member):
        """Return the roster with this member added or renewed."""
        return Roster([*(m for m in self.members.values() if m.name != member.name), member])

    def without(self, name):
        """Return the roster without the member."""
        return Roster([m for m in self.members.values() if m.name != name])

    def to_bitmap(self, reachedNames):
        """Return the compact bitmap of the names."""
        bits = sum(1 << i for i, name in enumerate(self.names) if name in reachedNames)
        return bits.to_bytes((len(self.names) + 7) // 8, "little")

    def from_bitmap(self, bitmap):
        """Return the names in a bitmap that was made for this very roster."""
        bits = int.from_bytes(bitmap, "little")
        return frozenset(name for i, name in enumerate(self.names) if bits >> i & 1)
