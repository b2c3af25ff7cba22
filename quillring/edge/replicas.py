"""This node's table of replicas: heartbeats, failure detection by timeout, and ejection."""

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
        """The heartbeat of a replica as sent over HTTP and gossip."""

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


NAME = {"type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,80}$"}
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
            "name": NAME,
            "service": {"type": "string", "maxLength": 80},
            "domain": NAME,
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
MAX_SHOWN_SILENCE_SECONDS = 1e6


class Replica:
    """The state of one replica as known to this node.

    The first announcement of a replica may be old, as a node that joins receives all updates at
    once; the replica counts as alive only from the second one on.
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
        self, announcement: Announcement, now: float, former: Replica | None = None
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
        self.last_heartbeat_at = now if former is not None else -math.inf
        self.first_seen_at = now
        self.in_flight = 0
        self.full_until = 0.0
        self.ejected_until = 0.0
        if former is not None and former.incarnation == self.incarnation:
            self.first_seen_at = former.first_seen_at
            self.in_flight = former.in_flight
            self.full_until = former.full_until
            self.ejected_until = former.ejected_until

    def has_ended_before(self, announcement: Announcement) -> bool:
        """Return whether an announcement would revive an incarnation that has ended."""
        return (
            self.state in ENDED_STATES
            and announcement["state"] not in ENDED_STATES
            and self.incarnation == announcement["incarnation"]
        )

    def is_mere_heartbeat(self, announcement: Announcement, now: float) -> bool:
        """Return whether an announcement changes nothing but the heartbeat sequence."""
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
        """Return whether the replica still warms up by its last announcement."""
        return now < self.cold_until

    def path(self, path: str, **parameters: Any) -> str:
        """Return a path whose query names this incarnation, which alone runs the request."""
        return f"{path}?{urlencode({**parameters, 'incarnation': self.incarnation})}"

    def to_json(self, now: float) -> dict[str, Any]:
        """Return the JSON object of the replica for operators."""
        silent_seconds = min(now - self.last_heartbeat_at, MAX_SHOWN_SILENCE_SECONDS)
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
    """All replicas by name; owns their state, updated by heartbeats here and by gossip."""

    __slots__ = (
        "node",
        "table",
        "on_change",
        "table_version",
        "misdirected_names",
        "heartbeat_relay",
    )

    def __init__(self, node: Node) -> None:
        self.node = node
        self.table: dict[str, Replica] = {}
        self.table_version = 0
        self.misdirected_names: frozenset[str] = frozenset()
        self.on_change: list[Callable[[], None]] = []
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
        if known is not None and known.is_mere_heartbeat(announcement, self.node.now()):
            is_news = is_newer and not self.heartbeat_relay.report(heartbeat)
            self.note_heartbeat(*heartbeat)
        else:
            is_news = is_newer and (known is None or not known.has_ended_before(announcement))
        if is_news:
            self._spread(announcement)
        return {"taken": True}

    def _spread(self, announcement: Announcement) -> None:
        """Publish an announcement in gossip; if it is new, also send it to all nodes directly."""
        key = f"replica/{announcement['name']}"
        version = [announcement["incarnation"], announcement["sequence"]]
        if self.node.find("gossip").publish(key, version, announcement):
            for name in self.node.find("nifty").graph.routes:
                self.node.send_oneway(name, "gossip.news", [[key, version, announcement]])

    def note_heartbeat(self, name: str, incarnation: int, sequence: int) -> None:
        """Record a heartbeat of the known incarnation of a replica; ignore an older one."""
        known = self.table.get(name)
        if known is None or known.incarnation != incarnation or known.sequence >= sequence:
            return
        was_alive = self.is_alive(name)
        known.sequence, known.last_heartbeat_at = sequence, self.node.now()
        if not was_alive:
            self._notify_listeners()

    def _on_announcement(self, key: str, announcement: Announcement) -> None:
        former = self.table.get(announcement["name"])
        if former is not None and former.has_ended_before(announcement):
            return
        replica = Replica(announcement, self.node.now(), former)
        self.table[replica.name] = replica
        if former is None or (former.state, former.address, former.slots) != (
            replica.state,
            replica.address,
            replica.slots,
        ):
            self.table_version += 1
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in self.on_change:
            listener()

    def find(self, name: str) -> Replica | None:
        """Return the replica of this name, or None."""
        return self.table.get(name)

    def is_alive(self, name: str) -> bool:
        """Return whether a heartbeat of the replica came within `bounds.replica_timeout`."""
        replica = self.table.get(name)
        if replica is None:
            return False
        silent_seconds: float = self.node.now() - replica.last_heartbeat_at
        return silent_seconds < self.node.bounds.replica_timeout

    def is_usable(self, replica: Replica) -> bool:
        """Return whether a replica is alive, not stopping, and in a zone that is not drained."""
        return (
            replica.state not in ENDED_STATES
            and self.is_alive(replica.name)
            and not self.node.find("layout").is_emptied(replica.zone)
        )

    def may_receive_requests(self, replica: Replica) -> bool:
        """Return whether a replica may be sent a request, whether alive or not."""
        known = self.table.get(replica.name)
        return (
            known is not None
            and known.state not in ENDED_STATES
            and replica.name not in self.misdirected_names
            and not self.node.find("layout").is_emptied(replica.zone)
        )

    def note_misdirected(self, replica: Replica) -> None:
        """Record that another replica answered at its address; it gets no more requests."""
        self.misdirected_names = self.misdirected_names | {replica.name}
        self.table_version += 1

    def is_available(self, replica: Replica) -> bool:
        """Return whether a replica may get new requests: usable and not ejected."""
        return self.is_usable(replica) and self.node.now() >= replica.ejected_until

    def available(self, service: str) -> list[Replica]:
        """Return the replicas of a service that may get new requests now."""
        return [r for r in self.available_before(service, math.inf) if self.is_available(r)]

    def available_before(self, service: str, end_time: float) -> list[Replica]:
        """Return the usable replicas of a service whose ejection ends before `end_time`."""
        return [
            replica
            for replica in self.table.values()
            if replica.service == service
            and self.is_usable(replica)
            and replica.ejected_until < end_time
        ]

    def note_full(self, replica: Replica) -> None:
        """Send no new request for one gossip interval to a replica without a free slot."""
        known = self.table.get(replica.name)
        if known is not None:
            known.full_until = self.node.now() + self.node.bounds.gossip_interval

    def eject(self, replica: Replica) -> None:
        """Send no new request for `bounds.propagation` to a replica that stalled or failed."""
        known = self.table.get(replica.name)
        if known is not None and known.incarnation == replica.incarnation:
            known.ejected_until = self.node.now() + self.node.bounds.propagation
