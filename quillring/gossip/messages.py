"""Gossip messages and their wire forms."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

Version = tuple[Any, ...]
"""The version of a key's value: versions are compared as tuples, the higher is newer."""

UPDATES = "gossip.news"
DIGEST = "gossip.digest"
VERSIONS = "gossip.versions"


class Update(NamedTuple):
    """A key with its value and version: an item of `gossip.news`."""

    key: str
    version: Version
    value: Any


def updates_to_wire(updates: Iterable[Update]) -> list[list[Any]]:
    """Return the body of `gossip.news`: [[key, version, value], ...]."""
    return [[update.key, list(update.version), update.value] for update in updates]


def updates_from_wire(body: list[Any]) -> Iterator[Update]:
    """Parse the items of a `gossip.news` body; raise TypeError or ValueError for a bad one."""
    for key, version, value in body:
        yield Update(key, version, value)


class VersionsMessage(NamedTuple):
    """`gossip.versions`: the sender's {key: version}, and whether it wants the receiver's."""

    versions: dict[str, Version]
    wants_reply: bool

    @classmethod
    def from_wire(cls, body: list[Any]) -> VersionsMessage:
        """Parse the message from its wire form."""
        versions, wants_reply = body
        return cls({key: tuple(version) for key, version in versions.items()}, wants_reply)

    def to_wire(self) -> list[Any]:
        """Return the message in its wire form: [{key: version}, whether a reply is wanted]."""
        return [{key: list(version) for key, version in self.versions.items()}, self.wants_reply]
