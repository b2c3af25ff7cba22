"""Gossip of versioned updates: pushed to FANOUT random members, repaired by anti-entropy.

Source: Demers et al., "Epidemic algorithms for replicated database maintenance", PODC 1987: rumor
mongering for new updates, anti-entropy for missed ones.
"""

from __future__ import annotations

import hashlib
import math
from typing import TYPE_CHECKING, Any

import cbor2

from quillring.gossip.messages import (
    DIGEST,
    UPDATES,
    VERSIONS,
    Update,
    Version,
    VersionsMessage,
    updates_from_wire,
    updates_to_wire,
)
from quillring.kernel.effects import Sleep
from quillring.kernel.errors import BadWire
from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

    Subscriber = Callable[[str, Any], None]

FANOUT = 3
STARTUP_FANOUT = 2
DIGEST_BYTES = 8
PARSE_ERRORS = (KeyError, TypeError, ValueError, IndexError, AttributeError)


class Entry(NamedTuple):
    """The newest known value of a key, and its version."""

    version: Version
    value: Any


class Gossip:
    """The gossip table of a node; the version of a key never decreases.

    Attributes
    ----------
    table : the newest known value and version of each key
    remaining_sends : number of further gossip rounds that push a key, by key
    subscribers : called with (key, value) of newer values, by the prefix of the key
    digest : digest of `table`, or None if it is out of date
    digest_sent_at : when `start_anti_entropy` last sent the digest, by member, in seconds
    started_at : when this object was created, in seconds on this node's clock
    """

    __slots__ = (
        "node",
        "table",
        "remaining_sends",
        "subscribers",
        "digest",
        "digest_sent_at",
        "started_at",
    )

    def __init__(self, node: Node) -> None:
        self.node = node
        self.table: dict[str, Entry] = {}
        self.remaining_sends: dict[str, int] = {}
        self.subscribers: dict[str, list[Subscriber]] = {}
        self.digest: bytes | None = None
        self.digest_sent_at: dict[str, float] = {}
        self.started_at = node.now()
        node.handle(UPDATES, self.on_updates)
        node.handle(DIGEST, self.on_digest)
        node.handle(VERSIONS, self.on_versions)

    def subscribe(self, prefix: str, subscriber: Subscriber) -> None:
        """Call subscriber(key, value) for each newer value of a key that starts with the prefix."""
        self.subscribers.setdefault(prefix, []).append(subscriber)

    def get(self, key: str) -> Any:
        """Return the value of a key, or None if the key is unknown."""
        return self.table[key].value if key in self.table else None

    def values_with_prefix(self, prefix: str) -> dict[str, Any]:
        """Return {key: value} of all keys that start with the prefix."""
        return {key: entry.value for key, entry in self.table.items() if key.startswith(prefix)}

    def publish(self, key: str, version: Sequence[Any], value: Any) -> bool:
        """Store an update and schedule it for gossip; return False unless its version is newer.

        Raises BadWire for a value that a subscriber can't parse; the table is unchanged then.
        """
        version = tuple(version)
        previous = self.table.get(key)
        if previous is not None and previous.version >= version:
            return False
        self.table[key] = Entry(version, value)
        try:
            self._notify_subscribers(key, value)
        except PARSE_ERRORS as error:
            self.table = {k: entry for k, entry in self.table.items() if k != key}
            if previous is not None:
                self.table[key] = previous
            raise BadWire(reason="news", key=key) from error
        self.digest = None
        member_count = self.node.find("nifty").member_count()
        self.remaining_sends[key] = math.ceil(math.log2(member_count + 1)) + 1
        return True

    def _notify_subscribers(self, key: str, value: Any) -> None:
        """Call the subscribers whose prefix the key starts with."""
        for prefix, subscribers in self.subscribers.items():
            if key.startswith(prefix):
                for subscriber in subscribers:
                    subscriber(key, value)

    def run(self) -> Coroutine:
        """Push updates every gossip interval; compare digests with one member per heartbeat."""
        bounds, rounds = self.node.bounds, 0
        while True:
            yield Sleep(bounds.gossip_interval)
            rounds += 1
            self.push_updates()
            self.request_missing()
            if rounds % round(bounds.heartbeat_interval / bounds.gossip_interval) == 0:
                for name in self._random_members(1):
                    self.node.send_oneway(name, DIGEST, self.table_digest())

    def push_updates(self) -> None:
        """Send the updates that have remaining sends to FANOUT random members."""
        if not self.remaining_sends or not self.node.find("nifty").graph.routes:
            return
        updates = updates_to_wire(Update(key, *self.table[key]) for key in self.remaining_sends)
        for name in self._random_members(FANOUT):
            self.node.send_oneway(name, UPDATES, updates)
        self.remaining_sends = {
            key: count - 1 for key, count in self.remaining_sends.items() if count > 1
        }

    def _random_members(self, count: int) -> list[str]:
        """Return the names of at most `count` random members that have a route from this node."""
        reached_names = sorted(self.node.find("nifty").graph.routes)
        return self.node.runtime.random.sample(reached_names, min(count, len(reached_names)))

    def table_digest(self) -> bytes:
        """Return the first DIGEST_BYTES bytes of the SHA-256 of all keys and versions."""
        if self.digest is None:
            versions = sorted((key, list(entry.version)) for key, entry in self.table.items())
            self.digest = hashlib.sha256(cbor2.dumps(versions)).digest()[:DIGEST_BYTES]
        return self.digest

    def _versions(self) -> dict[str, Version]:
        """Return {key: version} of all keys in the table."""
        return {key: entry.version for key, entry in self.table.items()}

    def request_missing(self) -> None:
        """Request missing updates from reachable members while no configuration is known.

        Does nothing later than `bounds.propagation` seconds after the start.
        """
        age_seconds = self.node.now() - self.started_at
        if "layout" in self.table or age_seconds > self.node.bounds.propagation:
            return
        body = VersionsMessage(self._versions(), wants_reply=False).to_wire()
        nifty, rng = self.node.find("nifty"), self.node.runtime.random
        members = nifty.roster.members
        reached_names = sorted(name for name in nifty.graph.routes if name in members)
        store_names = [name for name in reached_names if members[name].role == "store"]
        for names in (store_names, reached_names):
            for name in rng.sample(names, min(STARTUP_FANOUT, len(names))):
                self.node.send_oneway(name, VERSIONS, body)

    def start_anti_entropy(self, name: str) -> None:
        """Send the digest to a reachable member, at most twice per heartbeat interval."""
        if not self.node.find("nifty").reaches(name):
            return
        now, min_pause_seconds = self.node.now(), self.node.bounds.heartbeat_interval / 2
        if now - self.digest_sent_at.get(name, -math.inf) >= min_pause_seconds:
            self.digest_sent_at[name] = now
            self.node.send_oneway(name, DIGEST, self.table_digest())

    def on_updates(self, body: list[Any], origin: str) -> None:
        """Publish received updates; a copy of a known one decrements its remaining sends.

        Raises BadWire for the first value that a subscriber can't parse, TypeError or ValueError
        for a malformed item; the updates before it are published.
        """
        for key, version, value in updates_from_wire(body):
            if not self.publish(key, version, value) and key in self.remaining_sends:
                self._count_received_copy(key, tuple(version))

    def _count_received_copy(self, key: str, version: Version) -> None:
        """Decrement the remaining sends of a key if the copy has the version in the table."""
        if self.table[key].version == version:
            self.remaining_sends[key] -= 1
            self.remaining_sends = {
                known: count for known, count in self.remaining_sends.items() if count > 0
            }

    def on_digest(self, digest: bytes, origin: str) -> None:
        """Reply with the versions in this table if the received digest differs."""
        if digest != self.table_digest():
            body = VersionsMessage(self._versions(), wants_reply=True).to_wire()
            self.node.send_oneway(origin, VERSIONS, body)

    def on_versions(self, body: list[Any], origin: str) -> None:
        """Send the updates that the origin lacks, and request those that this table lacks."""
        message = VersionsMessage.from_wire(body)
        newer_updates = [
            Update(key, *entry)
            for key, entry in self.table.items()
            if message.versions.get(key, ()) < entry.version
        ]
        if newer_updates:
            self.node.send_oneway(origin, UPDATES, updates_to_wire(newer_updates))
        if message.wants_reply and self._lacks_any(message.versions):
            reply = VersionsMessage(self._versions(), wants_reply=False).to_wire()
            self.node.send_oneway(origin, VERSIONS, reply)

    def _lacks_any(self, versions: dict[str, Version]) -> bool:
        """Return whether this table is behind any of the versions."""
        return any(
            key not in self.table or self.table[key].version < version
            for key, version in versions.items()
        )
