"""Load and health of one replica as observed by this node's requests (outlier detection)."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quillring.forward.types import Replica
    from quillring.kernel.bounds import Bounds

EJECTION_GROWTH = 1.6
CERTAIN_FAILURE_WEIGHT = 2


def has_missed_heartbeats(replica: Replica, now: float, seconds: float) -> bool:
    """Return whether `seconds` have passed since the last heartbeat or first sight of a replica."""
    return now - max(replica.last_heartbeat_at, replica.first_seen_at) >= seconds


class ReplicaHealth:
    """Requests in flight, prompt tokens not processed yet, and failures in a row.

    Two failures in a row, or a certain one, eject the replica, with exponential backoff up to twice
    `bounds.propagation`. After that one trial request at a time shows whether it has recovered (a
    half-open circuit breaker).
    """

    __slots__ = (
        "in_flight",
        "pending_prompt_tokens",
        "consecutive_failures",
        "ejected_until",
        "has_trial_request",
        "last_byte_at",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.pending_prompt_tokens = 0
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.has_trial_request = False
        self.last_byte_at = 0.0

    def may_get_request(self, now: float) -> bool:
        """Return whether the replica is neither ejected nor busy with its trial request."""
        return now >= self.ejected_until and not self.has_trial_request

    def record_failure(self, now: float, is_certain: bool, bounds: Bounds) -> None:
        """Record a failure; the second in a row, or a certain one, ejects the replica."""
        self.consecutive_failures += CERTAIN_FAILURE_WEIGHT if is_certain else 1
        self.has_trial_request = False
        if self.consecutive_failures > 1:
            backoff = bounds.heartbeat_interval / 2 * EJECTION_GROWTH**self.consecutive_failures
            self.ejected_until = now + min(bounds.propagation * 2, backoff)
