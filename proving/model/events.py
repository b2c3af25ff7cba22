"""What a process tells about itself after a step; the invariants are decided over these."""

from typing import NamedTuple


class Applied(NamedTuple):
    """A process holds the state after `index` entries as committed."""

    index: int
    digest: str
    group: tuple


class Established(NamedTuple):
    """A core owns the part under a ballot."""

    ballot: tuple
    index: int


class ProposedUnasked(NamedTuple):
    """An owner proposed an entry to a group that phase one had not asked under its ballot."""

    ballot: tuple
    index: int


class Acknowledged(NamedTuple):
    """An operator's command was confirmed by the owner of this ballot."""

    ballot: tuple
    index: int
    operator: str
    base_version: int | None
    version: int | None


class ReadBegan(NamedTuple):
    """A reader asked."""

    reader: str


class ReadEnded(NamedTuple):
    """A reader was answered with a state of this digest, or a configuration of this version."""

    reader: str
    digest: str | None
    version: int | None


class WrongVote(NamedTuple):
    """A store answered for an identity that is not its own."""

    store: str
    service: str


class Founded(NamedTuple):
    """A founder was told that the fleet is founded under this secret."""

    fleet: str
