"""Counters of the bytes that a node sends and receives, by kind of message and zone of the peer."""

from __future__ import annotations

from quillring.kernel.records import NamedTuple

HEARTBEAT = "heartbeat"
REPLY = "reply"
RELAYED = "relayed"
REPLICA_REQUEST = "replica.request"
REPLICA_RESPONSE = "replica.response"


class TrafficKey(NamedTuple):
    """What a counter counts: messages of one kind to or from the nodes of one zone."""

    kind: str
    zone: str


class TrafficRow(NamedTuple):
    """The messages of one kind and zone, and their payload bytes without headers of TCP and IP."""

    kind: str
    zone: str
    messages: int
    payload_bytes: int


class TrafficCounters:
    """Counts messages and payload bytes by kind and zone since the start of the process.

    Messages between nodes are counted where they are sent; responses of replicas where they are
    received, as replicas do not count. Summed over all nodes, each byte is counted once.
    """

    __slots__ = ("message_counts", "byte_counts")

    def __init__(self) -> None:
        self.message_counts: dict[TrafficKey, int] = {}
        self.byte_counts: dict[TrafficKey, int] = {}

    def record(self, kind: str, zone: str, byte_count: int, message_count: int = 1) -> None:
        """Add messages of one kind, to or from one zone, to the counters."""
        key = TrafficKey(kind, zone)
        self.message_counts[key] = self.message_counts.get(key, 0) + message_count
        self.byte_counts[key] = self.byte_counts.get(key, 0) + byte_count

    def rows(self) -> list[TrafficRow]:
        """Return the counters, the most bytes first."""
        ordered = sorted(self.byte_counts, key=lambda key: (-self.byte_counts[key], key))
        return [
            TrafficRow(key.kind, key.zone, self.message_counts[key], self.byte_counts[key])
            for key in ordered
        ]
