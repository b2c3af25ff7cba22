"""Ballots, groups and group members, and their encoding on the wire and on disk."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any

from quillring.kernel.records import NamedTuple

WireMember = Sequence[str]
"""A group member on the wire and in a part's state: [name, identity, zone]."""

WireGroup = Sequence[WireMember]
"""A group on the wire and in a part's state."""


class GroupMember(NamedTuple):
    """A store that replicates a part.

    `identity` is generated anew whenever the store starts with an empty disk; `zone` is the failure
    domain of its machine.
    """

    name: str
    identity: str
    zone: str

    @classmethod
    def from_wire(cls, fields: WireMember) -> GroupMember:
        """Read a member from its form on the wire and in a part's state."""
        return cls(*fields)

    def to_wire(self) -> list[str]:
        """Return the member in its form on the wire and in a part's state."""
        return [self.name, self.identity, self.zone]


Group = Sequence[GroupMember]
"""The stores that replicate a part, in the order that the part's state records."""


class Ballot(NamedTuple):
    """A Paxos ballot (proposal number): ordered by `number`, then by `leader`.

    `leader` is the proposer, as `<core name>#<incarnation>`, and makes ballots unique.
    Source: Lamport, "Paxos made simple", section 2.2.
    """

    number: int
    leader: str

    @classmethod
    def from_wire(cls, fields: Sequence[Any]) -> Ballot:
        """Read a ballot from its form on the wire and on disk."""
        return cls(*fields)

    def to_wire(self) -> list[Any]:
        """Return the ballot in its form on the wire and on disk."""
        return list(self)


NO_BALLOT = Ballot(0, "")
"""A ballot below all others; an acceptor starts with it as its promised ballot."""


def group_from_wire(fields: WireGroup) -> tuple[GroupMember, ...]:
    """Read a group from its form on the wire and in a part's state."""
    return tuple(GroupMember.from_wire(member) for member in fields)


def group_to_wire(group: Iterable[GroupMember]) -> list[list[str]]:
    """Return a group in its form on the wire and in a part's state."""
    return [member.to_wire() for member in group]
