"""Versioned news: pushed to a few, mended by digest comparison."""

import hashlib
import math

import cbor2

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import BadWire

FANOUT = 3


class Gossip:
    """The news table of a node; a key only ever moves to a higher version."""

    __slots__ = (
        "node",
        "table",
        "fresh",
        "listeners",
        "digest",
        "synced_at",
        "started_at",
    )

    def __init__(self, node):
        self.node = node
        self.table = {}
        self.fresh = {}
        self.listeners = {}
        self.digest = None
        self.synced_at = {}
        self.started_at = node.now()
        node.handle("gossip.news", self.on_news)
        node.handle("gossip.digest", self.on_digest)
        node.handle("gossip.versions", self.on_versions)

    def listen(self, prefix, listener):
        """Call listener(key, value) whenever a key under the prefix moves on."""
        self.listeners.setdefault(prefix, []).append(listener)

    def get(self, key):
        """Return the value of a key, or None."""
        return self.table[key][1] if key in self.table else None

    def under(self, prefix):
        """Return {key: value} of all keys under the prefix."""
        return {k: value for k, (_, value) in self.table.items() if k.startswith(prefix)}

    def put(self, key, version, value):
        """Take news; False when the version is no newer than the known one."""
        version = tuple(version)
        if key in self.table and self.table[key][0] >= version:
            return False
        former = self.table.get(key)
        self.table[key] = (version, value)
        try:
            self._tell(key, value)
        except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
            self.table = {k: kept for k, kept in self.table.items() if k != key}
            if former is not None:
                self.table[key] = former
            raise BadWire(reason="news", key=key) from error
        self.digest = None
        member_count = self.node.find("nifty").member_count()
        self.fresh[key] = math.ceil(math.log2(member_count + 1)) + 1
        return True

    def _tell(self, key, value):
        for prefix, prefix_listeners in self.listeners.items():
            if key.startswith(prefix):
                for listener in prefix_listeners:
                    listener(key, value)

    def run(self):
        """Coroutine: pass fresh news on, and compare digests once a beat."""
        ticks = 0
        while True:
            yield Sleep(self.node.bounds.gossip_interval)
            ticks += 1
            self.push_news()
            self.ask_for_all()
            if (
                ticks
                % round(self.node.bounds.heartbeat_interval / self.node.bounds.gossip_interval)
                == 0
            ):
                for name in self._some_members(1):
                    self.node.send_oneway(name, "gossip.digest", self.table_digest())

    def push_news(self):
        """Send the fresh keys to a few members; each key goes out a few times."""
        if not self.fresh or not self.node.find("nifty").graph.routes:
            return
        items = [[key, list(self.table[key][0]), self.table[key][1]] for key in self.fresh]
        for name in self._some_members(FANOUT):
            self.node.send_oneway(name, "gossip.news", items)
        self.fresh = {key: left - 1 for key, left in self.fresh.items() if left > 1}

    def _some_members(self, count):
        reached_names = sorted(self.node.find("nifty").graph.routes)
        return self.node.runtime.random.sample(reached_names, min(count, len(reached_names)))

    def table_digest(self):
        """Return the digest over all keys and versions."""
        if self.digest is None:
            versions = sorted((key, list(version)) for key, (version, _) in self.table.items())
            self.digest = hashlib.sha256(cbor2.dumps(versions)).digest()[:8]
        return self.digest

    def ask_for_all(self):
        """At the start, while no layout is known, ask members in reach for all that is lacking."""
        if (
            "layout" in self.table
            or self.node.now() - self.started_at > self.node.bounds.propagation
        ):
            return
        versions = {key: list(version) for key, (version, _) in self.table.items()}
        nifty, chance = self.node.find("nifty"), self.node.runtime.random
        members = nifty.roster.members
        reached_names = sorted(name for name in nifty.graph.routes if name in members)
        store_names = [name for name in reached_names if members[name].role == "store"]
        for names in (store_names, reached_names):
            for name in chance.sample(names, min(2, len(names))):
                self.node.send_oneway(name, "gossip.versions", [versions, False])

    def mend_with(self, name):
        """Compare the whole table with one member in reach, at most once a beat."""
        now = self.node.now()
        if not self.node.find("nifty").reaches(name):
            return
        if now - self.synced_at.get(name, -math.inf) >= self.node.bounds.heartbeat_interval / 2:
            self.synced_at[name] = now
            self.node.send_oneway(name, "gossip.digest", self.table_digest())

    def on_news(self, items, origin):
        """Take pushed news; what others tell here too needs to be told less often."""
        for key, version, value in items:
            if not self.put(key, version, value) and key in self.fresh:
                self._told_again(key, tuple(version))

    def _told_again(self, key, version):
        if self.table[key][0] == version:
            self.fresh[key] -= 1
            self.fresh = {known: left for known, left in self.fresh.items() if left > 0}

    def on_digest(self, digest, origin):
        """Answer a differing digest with the versions held here."""
        if digest != self.table_digest():
            versions = {key: list(version) for key, (version, _) in self.table.items()}
            self.node.send_oneway(origin, "gossip.versions", [versions, True])

    def on_versions(self, body, origin):
        """Send what the other side lacks; let it send what is lacking here."""
        other_versions, wants_back = body
        newer_items = [
            [key, list(version), value]
            for key, (version, value) in self.table.items()
            if tuple(other_versions.get(key, ())) < version
        ]
        if newer_items:
            self.node.send_oneway(origin, "gossip.news", newer_items)
        is_behind = any(
            key not in self.table or self.table[key][0] < tuple(version)
            for key, version in other_versions.items()
        )
        if wants_back and is_behind:
            versions = {key: list(version) for key, (version, _) in self.table.items()}
            self.node.send_oneway(origin, "gossip.versions", [versions, False])
