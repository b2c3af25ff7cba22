"""Load and health of a replica as observed by this node's requests, for outlier ejection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.forward.work_queue import WorkQueue

if TYPE_CHECKING:
    from quillring.forward.types import Replica
    from quillring.kernel.bounds import Bounds

EJECTION_BACKOFF_FACTOR = 1.6
CERTAIN_FAILURE_WEIGHT = 2


def has_missed_heartbeats(replica: Replica, now: float, seconds: float) -> bool:
    """Return whether a replica's last heartbeat, or its discovery, is at least `seconds` ago."""
    return now - max(replica.last_heartbeat_at, replica.first_seen_at) >= seconds


class ReplicaHealth:
    """Requests in flight, estimated prompt queue and consecutive failures of one replica.

    Two consecutive failures, or one certain failure, eject the replica, with exponential backoff up
    to twice `bounds.propagation`. Afterwards, one trial request at a time tests whether the replica
    has recovered (a half-open circuit breaker).
    """

    __slots__ = (
        "in_flight",
        "batch_in_flight",
        "work",
        "expected_first_token_times",
        "consecutive_failures",
        "ejected_until",
        "has_trial_request",
        "last_byte_at",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.batch_in_flight = 0
        self.work = WorkQueue()
        self.expected_first_token_times: dict[int, float] = {}
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.has_trial_request = False
        self.last_byte_at = 0.0

    def may_get_request(self, now: float) -> bool:
        """Return whether the replica is neither ejected nor running its trial request."""
        return now >= self.ejected_until and not self.has_trial_request

    def overdue_seconds(self, now: float) -> float:
        """Return by how many seconds the earliest expected first token of this node is overdue.

        Used as an estimate of the replica's further delay: it is assumed to last as long again.
        """
        if not self.expected_first_token_times:
            return 0.0
        return max(0.0, now - min(self.expected_first_token_times.values()))

    def record_failure(self, now: float, is_certain: bool, bounds: Bounds) -> None:
        """Record a failure; a second consecutive one, or a certain one, ejects the replica."""
        self.consecutive_failures += CERTAIN_FAILURE_WEIGHT if is_certain else 1
        self.has_trial_request = False
        if self.consecutive_failures > 1:
            backoff = (
                bounds.heartbeat_interval / 2 * EJECTION_BACKOFF_FACTOR**self.consecutive_failures
            )
            self.ejected_until = now + min(bounds.propagation * 2, backoff)
