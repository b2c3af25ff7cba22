"""All time constants of a process, as ratios to the bounds that its settings name."""

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
    propagation : how soon an update is known at every node in touch
    evacuation : how soon a zone or node that is drained gets nothing new
    shutdown : how soon a process has ended after the signal to do so
    read_timeout : how long a read of replicated state may take
    recovery : how soon service is back after the loss of a node
    resync : how soon a part is replicated in full again after the loss of a store, None if unset
    grace_period : how long a stopping process may finish what is in flight, None if unset
    replica_heartbeat : the period in which replicas send heartbeats
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
        """The period in which nodes send each other heartbeats."""
        return self.propagation / HEARTBEATS_PER_PROPAGATION

    @property
    def link_timeout(self) -> float:
        """Time without a heartbeat after which a link counts as broken."""
        return self.heartbeat_interval * MISSED_HEARTBEATS

    @property
    def gossip_interval(self) -> float:
        """The period in which fresh updates are passed on."""
        return self.heartbeat_interval / GOSSIP_ROUNDS_PER_HEARTBEAT

    @property
    def call_timeout(self) -> float:
        """How long one call to a few nodes may take before it is retried."""
        return self.heartbeat_interval

    @property
    def configuration_freshness(self) -> float:
        """How old an edge's last contact with a majority of config stores may be."""
        return self.propagation * FRESHNESS_RATIO

    @property
    def replica_timeout(self) -> float:
        """Time without a heartbeat after which a replica gets nothing new: two or more missed."""
        return max(
            self.propagation * REPLICA_TIMEOUT_RATIO,
            self.replica_heartbeat * REPLICA_TIMEOUT_HEARTBEATS,
        )

    @property
    def report_delay(self) -> float:
        """How long replicas' heartbeats are gathered for one report to other edges.

        After one missed heartbeat this much of the replica's time-out is left.
        """
        return (self.replica_timeout - self.replica_heartbeat * 2) / 2
