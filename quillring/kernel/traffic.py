"""Counts messages and bytes between a node and its peers, by message kind and zone of the peer."""

from __future__ import annotations

from quillring.kernel.records import NamedTuple

HEARTBEAT = "heartbeat"
REPLY = "reply"
RELAYED = "relayed"
REPLICA_REQUEST = "replica.request"
REPLICA_RESPONSE = "replica.response"


class TrafficKey(NamedTuple):
    """Key of a counter: a message kind and the zone of the peer."""

    kind: str
    zone: str


class TrafficRow(NamedTuple):
    """Counter values for a message kind and zone; payload excludes headers of TCP, UDP and IP."""

    kind: str
    zone: str
    messages: int
    payload_bytes: int


class TrafficCounters:
    """Numbers of messages and payload bytes by kind and zone since the start of the process.

    Messages between nodes are counted by the sender; responses of replicas by the receiving node,
    because replicas have no counters. In the sum over all nodes, each byte is counted once.
    """

    __slots__ = ("message_counts", "byte_counts")

    def __init__(self) -> None:
        self.message_counts: dict[TrafficKey, int] = {}
        self.byte_counts: dict[TrafficKey, int] = {}

    def record(self, kind: str, zone: str, byte_count: int, message_count: int = 1) -> None:
        """Add messages of a kind, to or from a zone, to the counters."""
        key = TrafficKey(kind, zone)
        self.message_counts[key] = self.message_counts.get(key, 0) + message_count
        self.byte_counts[key] = self.byte_counts.get(key, 0) + byte_count

    def rows(self) -> list[TrafficRow]:
        """Return the counters in descending order of bytes."""
        ordered = sorted(self.byte_counts, key=lambda key: (-self.byte_counts[key], key))
        return [
            TrafficRow(key.kind, key.zone, self.message_counts[key], self.byte_counts[key])
            for key in ordered
        ]
