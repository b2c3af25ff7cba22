"""All time constants of a process, derived from the bounds in its settings."""

from __future__ import annotations

HEARTBEATS_PER_PROPAGATION = 4
MISSED_HEARTBEATS = 3
GOSSIP_ROUNDS_PER_HEARTBEAT = 10
FRESHNESS_RATIO = 0.85
REPLICA_TIMEOUT_RATIO = 0.75
REPLICA_TIMEOUT_HEARTBEATS = 2.7

ATTRIBUTE_OF_SETTING = {
    "news": "propagation",
    "emptying": "evacuation",
    "ending": "shutdown",
    "reading": "read_timeout",
    "return_": "recovery",
    "sync": "resync",
    "grace": "grace_period",
    "replica_beat": "replica_heartbeat",
}
"""The bounds by their names in the settings file, which stay as released."""


class Bounds:
    """The time bounds promised to users, in seconds, and the constants that follow from them.

    Attributes
    ----------
    propagation : until an update has reached every connected node
    evacuation : until a drained zone or node gets no new requests
    shutdown : until a process has ended after SIGTERM or SIGINT
    read_timeout : longest read of replicated state
    recovery : until service is restored after the loss of a node
    resync : until a part is fully replicated again after the loss of a store, None if unset
    grace_period : longest time in which a stopping process finishes requests, None if unset
    replica_heartbeat : period in which replicas send heartbeats
    """

    __slots__ = (
        "propagation",
        "evacuation",
        "shutdown",
        "read_timeout",
        "recovery",
        "resync",
        "grace_period",
        "replica_heartbeat",
    )

    def __init__(
        self,
        propagation: float = 2.0,
        evacuation: float = 5.0,
        shutdown: float = 3.0,
        read_timeout: float = 1.0,
        recovery: float = 12.0,
        resync: float | None = None,
        grace_period: float | None = None,
        replica_heartbeat: float = 0.5,
    ) -> None:
        self.propagation = propagation
        self.evacuation = evacuation
        self.shutdown = shutdown
        self.read_timeout = read_timeout
        self.recovery = recovery
        self.resync = resync
        self.grace_period = grace_period
        self.replica_heartbeat = replica_heartbeat

    @classmethod
    def from_settings(cls, fields: dict[str, float]) -> Bounds:
        """Read the section `bounds` of a checked settings file."""
        return cls(**{ATTRIBUTE_OF_SETTING[name]: seconds for name, seconds in fields.items()})

    @property
    def heartbeat_interval(self) -> float:
        """Return the period of heartbeats between nodes, in seconds."""
        return self.propagation / HEARTBEATS_PER_PROPAGATION

    @property
    def link_timeout(self) -> float:
        """Return the seconds without a heartbeat after which a link counts as down."""
        return self.heartbeat_interval * MISSED_HEARTBEATS

    @property
    def gossip_interval(self) -> float:
        """Return the period of gossip, in seconds."""
        return self.heartbeat_interval / GOSSIP_ROUNDS_PER_HEARTBEAT

    @property
    def call_timeout(self) -> float:
        """Return the default timeout of a call between nodes, in seconds."""
        return self.heartbeat_interval

    @property
    def configuration_freshness(self) -> float:
        """Return how old, in seconds, an edge's last contact with a majority of stores may be."""
        return self.propagation * FRESHNESS_RATIO

    @property
    def replica_timeout(self) -> float:
        """Return the seconds without a heartbeat after which a replica gets no new requests."""
        return max(
            self.propagation * REPLICA_TIMEOUT_RATIO,
            self.replica_heartbeat * REPLICA_TIMEOUT_HEARTBEATS,
        )

    @property
    def report_delay(self) -> float:
        """Return how many seconds heartbeats of replicas are batched before they are sent on.

        It is half of what is left of `replica_timeout` after two heartbeat periods.
        """
        return (self.replica_timeout - self.replica_heartbeat * 2) / 2
