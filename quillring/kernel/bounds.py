"""The time bounds from the settings and the timeouts and intervals derived from them."""

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
"""Maps the names of the bounds in the settings file, a released interface, to attributes."""


class Bounds:
    """The time bounds guaranteed to users, and the intervals and timeouts derived from them.

    Attributes
    ----------
    propagation : seconds until an update has reached every connected node
    evacuation : seconds until a drained zone or node gets no new requests
    shutdown : seconds until a process has exited after SIGTERM or SIGINT
    read_timeout : longest duration of a read of replicated state, in seconds
    recovery : seconds until service is restored after the loss of a node
    resync : seconds until a part is fully replicated again after the loss of a store, None if unset
    grace_period : seconds that a stopping process has to finish its requests, None if unset
    replica_heartbeat : interval between the heartbeats of a replica, in seconds
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
        """Return the bounds of the section `bounds` of a validated settings file."""
        return cls(**{ATTRIBUTE_OF_SETTING[name]: seconds for name, seconds in fields.items()})

    @property
    def heartbeat_interval(self) -> float:
        """Return the interval between heartbeats of a node to its peers, in seconds."""
        return self.propagation / HEARTBEATS_PER_PROPAGATION

    @property
    def link_timeout(self) -> float:
        """Return the seconds without a heartbeat after which a link counts as down."""
        return self.heartbeat_interval * MISSED_HEARTBEATS

    @property
    def gossip_interval(self) -> float:
        """Return the interval between gossip rounds, in seconds."""
        return self.heartbeat_interval / GOSSIP_ROUNDS_PER_HEARTBEAT

    @property
    def call_timeout(self) -> float:
        """Return the default timeout of a call between nodes, in seconds."""
        return self.heartbeat_interval

    @property
    def configuration_freshness(self) -> float:
        """Return the maximum age in seconds of an edge's last contact with a store majority."""
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
        """Return the seconds for which heartbeats of replicas are batched before they are relayed.

        It is half of the time that remains of `replica_timeout` after two heartbeat intervals.
        """
        return (self.replica_timeout - self.replica_heartbeat * 2) / 2
