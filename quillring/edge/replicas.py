"""Replica table of a node: heartbeats, failure detection by timeout, and ejection."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from quillring.edge.heartbeat_relay import Heartbeat, HeartbeatRelay
from quillring.kernel.checks import StrictValidator
from quillring.kernel.errors import Conflict
from quillring.kernel.request_checks import check_body

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import NotRequired, TypedDict

    from quillring.kernel.node import Node

    class Announcement(TypedDict):
        """A replica's heartbeat with its state, as sent over HTTP and gossip."""

        name: str
        service: str
        domain: str
        address: str
        slots: int
        busy: NotRequired[int]
        state: str
        incarnation: int
        sequence: int
        cold_ms: NotRequired[float]


NAME_SCHEMA = {"type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,80}$"}
HEARTBEAT_SCHEMA = StrictValidator(
    {
        "type": "object",
        "additionalProperties": False,
        "required": [
            "name",
            "service",
            "domain",
            "address",
            "slots",
            "state",
            "incarnation",
            "sequence",
        ],
        "properties": {
            "name": NAME_SCHEMA,
            "service": {"type": "string", "maxLength": 80},
            "domain": NAME_SCHEMA,
            "address": {"type": "string", "pattern": r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"},
            "slots": {"type": "integer", "minimum": 1, "maximum": 10_000},
            "busy": {"type": "integer", "minimum": 0},
            "state": {"enum": ["cold", "ready", "leaving", "gone"]},
            "incarnation": {"type": "integer", "minimum": 0},
            "sequence": {"type": "integer", "minimum": 0},
            "cold_ms": {"type": "number", "minimum": 0},
        },
    }
)
ENDED_STATES = ("leaving", "gone")
COLD_TOLERANCE_SECONDS = 0.05
MAX_REPORTED_SILENCE_SECONDS = 1e6


class Replica:
    """The state of one replica as known to this node.

    A node that joins receives the last announcement of every replica, however old. A replica
    therefore counts as alive only from its second announcement on.
    """

    __slots__ = (
        "name",
        "service",
        "zone",
        "address",
        "slots",
        "state",
        "incarnation",
        "sequence",
        "last_heartbeat_at",
        "first_seen_at",
        "in_flight",
        "ejected_until",
        "full_until",
        "cold_until",
    )

    def __init__(
        self, announcement: Announcement, now: float, previous: Replica | None = None
    ) -> None:
        self.name = announcement["name"]
        self.service = announcement["service"]
        self.zone = announcement["domain"]
        host, port = announcement["address"].rsplit(":", 1)
        self.address = (host, int(port))
        self.slots = announcement["slots"]
        self.state = announcement["state"]
        self.incarnation = announcement["incarnation"]
        self.sequence = announcement["sequence"]
        self.cold_until = now + announcement.get("cold_ms", 0) / 1000
        self.last_heartbeat_at = now if previous is not None else -math.inf
        self.first_seen_at = now
        self.in_flight = 0
        self.full_until = 0.0
        self.ejected_until = 0.0
        if previous is not None and previous.incarnation == self.incarnation:
            self.first_seen_at = previous.first_seen_at
            self.in_flight = previous.in_flight
            self.full_until = previous.full_until
            self.ejected_until = previous.ejected_until

    def would_be_revived_by(self, announcement: Announcement) -> bool:
        """Return whether an announcement would revive this incarnation after it has ended."""
        return (
            self.state in ENDED_STATES
            and announcement["state"] not in ENDED_STATES
            and self.incarnation == announcement["incarnation"]
        )

    def is_unchanged_by(self, announcement: Announcement, now: float) -> bool:
        """Return whether an announcement changes at most the heartbeat sequence.

        The end of the warm-up may be later by up to COLD_TOLERANCE_SECONDS.
        """
        return (
            self.incarnation == announcement["incarnation"]
            and self.service == announcement["service"]
            and self.zone == announcement["domain"]
            and self.state == announcement["state"]
            and self.slots == announcement["slots"]
            and "{}:{}".format(*self.address) == announcement["address"]
            and now + announcement.get("cold_ms", 0) / 1000
            <= max(now, self.cold_until) + COLD_TOLERANCE_SECONDS
        )

    def is_cold(self, now: float) -> bool:
        """Return whether the replica is still warming up, according to its announcements."""
        return now < self.cold_until

    def path(self, path: str, **parameters: Any) -> str:
        """Return a path whose query names this incarnation; no other one may run the request."""
        return f"{path}?{urlencode({**parameters, 'incarnation': self.incarnation})}"

    def to_json(self, now: float) -> dict[str, Any]:
        """Return the JSON object that operators see for the replica."""
        silent_seconds = min(now - self.last_heartbeat_at, MAX_REPORTED_SILENCE_SECONDS)
        return {
            "name": self.name,
            "service": self.service,
            "domain": self.zone,
            "address": f"{self.address[0]}:{self.address[1]}",
            "state": self.state,
            "slots": self.slots,
            "incarnation": self.incarnation,
            "in_flight_here": self.in_flight,
            "silent_s": round(silent_seconds, 3),
        }


class ReplicaTable:
    """All replicas by name; owns their state, which heartbeats and gossip update.

    `change_listeners` are called after changes. `table_version` changes if a replica is added, is
    found misdirected, or changes its state, address or slots.
    """

    __slots__ = (
        "node",
        "table",
        "change_listeners",
        "table_version",
        "misdirected_names",
        "heartbeat_relay",
    )

    def __init__(self, node: Node) -> None:
        self.node = node
        self.table: dict[str, Replica] = {}
        self.table_version = 0
        self.misdirected_names: frozenset[str] = frozenset()
        self.change_listeners: list[Callable[[], None]] = []
        self.heartbeat_relay = HeartbeatRelay(node)
        node.find("gossip").subscribe("replica/", self._on_announcement)

    def on_heartbeat(self, announcement: Announcement) -> dict[str, bool]:
        """Handle a heartbeat that a replica sent to this node.

        Raises
        ------
        BadRequest
            The heartbeat violates its schema.
        Conflict
            A later incarnation of the replica is known.
        """
        check_body(HEARTBEAT_SCHEMA, announcement)
        name = announcement["name"]
        heartbeat = Heartbeat(name, announcement["incarnation"], announcement["sequence"])
        known = self.table.get(name)
        if known is not None and known.incarnation > heartbeat.incarnation:
            raise Conflict(field="incarnation", winning_incarnation=known.incarnation)
        is_newer = known is None or (heartbeat.incarnation, heartbeat.sequence) > (
            known.incarnation,
            known.sequence,
        )
        if known is not None and known.is_unchanged_by(announcement, self.node.now()):
            must_publish = is_newer and not self.heartbeat_relay.report(heartbeat)
            self.record_heartbeat(*heartbeat)
        else:
            must_publish = is_newer and (
                known is None or not known.would_be_revived_by(announcement)
            )
        if must_publish:
            self._broadcast(announcement)
        return {"taken": True}

    def _broadcast(self, announcement: Announcement) -> None:
        """Publish an announcement in gossip; if new, also send it directly to reachable nodes."""
        key = f"replica/{announcement['name']}"
        version = [announcement["incarnation"], announcement["sequence"]]
        if self.node.find("gossip").publish(key, version, announcement):
            for name in self.node.find("nifty").graph.routes:
                self.node.send_oneway(name, "gossip.news", [[key, version, announcement]])

    def record_heartbeat(self, name: str, incarnation: int, sequence: int) -> None:
        """Record a heartbeat; ignore it if it is outdated or of another incarnation."""
        known = self.table.get(name)
        if known is None or known.incarnation != incarnation or known.sequence >= sequence:
            return
        was_alive = self.is_alive(name)
        known.sequence, known.last_heartbeat_at = sequence, self.node.now()
        if not was_alive:
            self._notify_listeners()

    def _on_announcement(self, key: str, announcement: Announcement) -> None:
        """Apply an announcement from gossip, unless it would revive an ended incarnation."""
        previous = self.table.get(announcement["name"])
        if previous is not None and previous.would_be_revived_by(announcement):
            return
        replica = Replica(announcement, self.node.now(), previous)
        self.table[replica.name] = replica
        if previous is None or (previous.state, previous.address, previous.slots) != (
            replica.state,
            replica.address,
            replica.slots,
        ):
            self.table_version += 1
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        """Call all change listeners."""
        for listener in self.change_listeners:
            listener()

    def find(self, name: str) -> Replica | None:
        """Return the replica of this name, or None."""
        return self.table.get(name)

    def is_alive(self, name: str) -> bool:
        """Return whether a heartbeat of the replica arrived within `bounds.replica_timeout`."""
        replica = self.table.get(name)
        if replica is None:
            return False
        silent_seconds: float = self.node.now() - replica.last_heartbeat_at
        return silent_seconds < self.node.bounds.replica_timeout

    def is_usable(self, replica: Replica) -> bool:
        """Return whether a replica is alive, not stopping, and not in a drained zone."""
        return (
            replica.state not in ENDED_STATES
            and self.is_alive(replica.name)
            and not self.node.find("layout").is_drained(replica.zone)
        )

    def may_receive_requests(self, replica: Replica) -> bool:
        """Return whether a replica may be sent a request; it need not be alive."""
        known = self.table.get(replica.name)
        return (
            known is not None
            and known.state not in ENDED_STATES
            and replica.name not in self.misdirected_names
            and not self.node.find("layout").is_drained(replica.zone)
        )

    def mark_misdirected(self, replica: Replica) -> None:
        """Record that another replica answers at its address; no more requests are sent to it."""
        self.misdirected_names = self.misdirected_names | {replica.name}
        self.table_version += 1

    def is_available(self, replica: Replica) -> bool:
        """Return whether a replica may get new requests: it is usable and not ejected."""
        return self.is_usable(replica) and self.node.now() >= replica.ejected_until

    def available(self, service: str) -> list[Replica]:
        """Return the replicas of a service that may get new requests now."""
        return [r for r in self.available_before(service, math.inf) if self.is_available(r)]

    def available_before(self, service: str, deadline: float) -> list[Replica]:
        """Return the usable replicas of a service whose ejection ends before `deadline`."""
        return [
            replica
            for replica in self.table.values()
            if replica.service == service
            and self.is_usable(replica)
            and replica.ejected_until < deadline
        ]

    def mark_full(self, replica: Replica) -> None:
        """Send no new requests for one gossip interval to a replica that reported no free slot."""
        known = self.table.get(replica.name)
        if known is not None:
            known.full_until = self.node.now() + self.node.bounds.gossip_interval

    def eject(self, replica: Replica) -> None:
        """Send no new requests for `bounds.propagation` to a replica that stalled or failed."""
        known = self.table.get(replica.name)
        if known is not None and known.incarnation == replica.incarnation:
            known.ejected_until = self.node.now() + self.node.bounds.propagation
