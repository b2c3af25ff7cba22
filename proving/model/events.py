"""Events that processes report after a step; the invariants are checked on these."""

from typing import NamedTuple


class Applied(NamedTuple):
    """A process learned that the state after `index` entries is committed."""

    index: int
    digest: str
    group: tuple


class Established(NamedTuple):
    """A core won the election and owns the part under a ballot."""

    ballot: tuple
    index: int


class ProposedWithoutPrepare(NamedTuple):
    """An owner proposed an entry to a group that had not promised its ballot in phase one."""

    ballot: tuple
    index: int


class Acknowledged(NamedTuple):
    """The owner under this ballot acknowledged an operator's command."""

    ballot: tuple
    index: int
    operator: str
    base_version: int | None
    version: int | None


class ReadStarted(NamedTuple):
    """A read started."""

    reader: str


class ReadEnded(NamedTuple):
    """A read ended with a state of this digest, or a configuration of this version.

    Both are None if the read failed.
    """

    reader: str
    digest: str | None
    version: int | None


class AnsweredAsFormerIdentity(NamedTuple):
    """A store answered a request that was addressed to another identity than its own."""

    store: str
    service: str


class Founded(NamedTuple):
    """A founder learned that the fleet with this ID is founded."""

    fleet: str
