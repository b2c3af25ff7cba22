"""Gossip of versioned updates: pushed to FANOUT random members, completed by anti-entropy.

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
MALFORMED = (KeyError, TypeError, ValueError, IndexError, AttributeError)


class Entry(NamedTuple):
    """The newest known value of a key, and its version."""

    version: Version
    value: Any


class Gossip:
    """The gossip table of a node; the version of a key only ever increases.

    `remaining_sends` is {key: how many more gossip rounds push it}, `compared_at` {member: when its
    digest was last compared on request, in seconds}, `digest` that of `table`; None: out of date.
    """

    __slots__ = (
        "node",
        "table",
        "remaining_sends",
        "subscribers",
        "digest",
        "compared_at",
        "started_at",
    )

    def __init__(self, node: Node) -> None:
        self.node = node
        self.table: dict[str, Entry] = {}
        self.remaining_sends: dict[str, int] = {}
        self.subscribers: dict[str, list[Subscriber]] = {}
        self.digest: bytes | None = None
        self.compared_at: dict[str, float] = {}
        self.started_at = node.now()
        node.handle(UPDATES, self.on_updates)
        node.handle(DIGEST, self.on_digest)
        node.handle(VERSIONS, self.on_versions)

    def subscribe(self, prefix: str, subscriber: Subscriber) -> None:
        """Call subscriber(key, value) for each newer value of a key that starts with the prefix."""
        self.subscribers.setdefault(prefix, []).append(subscriber)

    def get(self, key: str) -> Any:
        """Return the value of a key, or None."""
        return self.table[key].value if key in self.table else None

    def values_with_prefix(self, prefix: str) -> dict[str, Any]:
        """Return {key: value} of all keys that start with the prefix."""
        return {key: entry.value for key, entry in self.table.items() if key.startswith(prefix)}

    def publish(self, key: str, version: Sequence[Any], value: Any) -> bool:
        """Store an update and schedule it for gossip; return False unless its version is newer.

        Raises BadWire, with the table as before, for a value that a subscriber can't parse.
        """
        version = tuple(version)
        former = self.table.get(key)
        if former is not None and former.version >= version:
            return False
        self.table[key] = Entry(version, value)
        try:
            self._notify_subscribers(key, value)
        except MALFORMED as error:
            self.table = {k: entry for k, entry in self.table.items() if k != key}
            if former is not None:
                self.table[key] = former
            raise BadWire(reason="news", key=key) from error
        self.digest = None
        member_count = self.node.find("nifty").member_count()
        self.remaining_sends[key] = math.ceil(math.log2(member_count + 1)) + 1
        return True

    def _notify_subscribers(self, key: str, value: Any) -> None:
        for prefix, subscribers in self.subscribers.items():
            if key.startswith(prefix):
                for subscriber in subscribers:
                    subscriber(key, value)

    def run(self) -> Coroutine:
        """Push updates every gossip interval; compare digests with one member every heartbeat."""
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
        """Send the keys with remaining sends to FANOUT random members."""
        if not self.remaining_sends or not self.node.find("nifty").graph.routes:
            return
        updates = updates_to_wire(Update(key, *self.table[key]) for key in self.remaining_sends)
        for name in self._random_members(FANOUT):
            self.node.send_oneway(name, UPDATES, updates)
        self.remaining_sends = {
            key: count - 1 for key, count in self.remaining_sends.items() if count > 1
        }

    def _random_members(self, count: int) -> list[str]:
        reached_names = sorted(self.node.find("nifty").graph.routes)
        return self.node.runtime.random.sample(reached_names, min(count, len(reached_names)))

    def table_digest(self) -> bytes:
        """Return the first DIGEST_BYTES of the SHA-256 over all keys and versions."""
        if self.digest is None:
            versions = sorted((key, list(entry.version)) for key, entry in self.table.items())
            self.digest = hashlib.sha256(cbor2.dumps(versions)).digest()[:DIGEST_BYTES]
        return self.digest

    def _versions(self) -> dict[str, Version]:
        return {key: entry.version for key, entry in self.table.items()}

    def request_missing(self) -> None:
        """Request missing updates from reachable members while no configuration is known.

        Only within `bounds.propagation` seconds of the start.
        """
        age_seconds = self.node.now() - self.started_at
        if "layout" in self.table or age_seconds > self.node.bounds.propagation:
            return
        body = VersionsMessage(self._versions(), wants_reply=False).to_wire()
        nifty, chance = self.node.find("nifty"), self.node.runtime.random
        members = nifty.roster.members
        reached_names = sorted(name for name in nifty.graph.routes if name in members)
        store_names = [name for name in reached_names if members[name].role == "store"]
        for names in (store_names, reached_names):
            for name in chance.sample(names, min(STARTUP_FANOUT, len(names))):
                self.node.send_oneway(name, VERSIONS, body)

    def start_anti_entropy(self, name: str) -> None:
        """Compare digests with a reachable member, at most twice a heartbeat interval."""
        if not self.node.find("nifty").reaches(name):
            return
        now, min_pause = self.node.now(), self.node.bounds.heartbeat_interval / 2
        if now - self.compared_at.get(name, -math.inf) >= min_pause:
            self.compared_at[name] = now
            self.node.send_oneway(name, DIGEST, self.table_digest())

    def on_updates(self, body: list[Any], origin: str) -> None:
        """Publish pushed updates; a copy of one that is known reduces its remaining sends by one.

        Raises BadWire at the first value that a subscriber can't parse, TypeError or ValueError at
        a malformed item; updates before it are published.
        """
        for key, version, value in updates_from_wire(body):
            if not self.publish(key, version, value) and key in self.remaining_sends:
                self._count_received_copy(key, tuple(version))

    def _count_received_copy(self, key: str, version: Version) -> None:
        if self.table[key].version == version:
            self.remaining_sends[key] -= 1
            self.remaining_sends = {
                known: count for known, count in self.remaining_sends.items() if count > 0
            }

    def on_digest(self, digest: bytes, origin: str) -> None:
        """Reply to a digest that differs with the versions of this table."""
        if digest != self.table_digest():
            body = VersionsMessage(self._versions(), wants_reply=True).to_wire()
            self.node.send_oneway(origin, VERSIONS, body)

    def on_versions(self, body: list[Any], origin: str) -> None:
        """Send the updates that the other side lacks, and request those that this table lacks."""
        message = VersionsMessage.from_wire(body)
        newer_updates = [
            Update(key, *entry)
            for key, entry in self.table.items()
            if message.versions.get(key, ()) < entry.version
        ]
        if newer_updates:
            self.node.send_oneway(origin, UPDATES, updates_to_wire(newer_updates))
        if message.wants_reply and self._is_behind(message.versions):
            reply = VersionsMessage(self._versions(), wants_reply=False).to_wire()
            self.node.send_oneway(origin, VERSIONS, reply)

    def _is_behind(self, versions: dict[str, Version]) -> bool:
        return any(
            key not in self.table or self.table[key].version < version
            for key, version in versions.items()
        )
