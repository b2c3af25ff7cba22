"""Estimate of how long a queued request waits for a slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from quillring.edge.slot_lease import QueuedRequest, SlotLease

SMOOTHING_FACTOR = 1 / 8
"""Weight of the newest sample in the exponentially weighted moving average."""
MIN_SAMPLES = 8
ESTIMATE_DIVISOR = 1.2
"""The estimate is divided by this, since a request that might be served must not be refused."""


class QueueWaitEstimator:
    """Tracks the mean time for which requests occupy a slot on this node, by service.

    `mean_occupied_seconds` is an exponentially weighted moving average for each service.
    """

    __slots__ = ("mean_occupied_seconds", "sample_counts")

    def __init__(self) -> None:
        self.mean_occupied_seconds: dict[str, float] = {}
        self.sample_counts: dict[str, int] = {}

    def record_occupancy(self, service: str, seconds: float) -> None:
        """Add a sample: the seconds for which a request occupied a slot."""
        mean = self.mean_occupied_seconds.get(service, seconds)
        self.mean_occupied_seconds = {
            **self.mean_occupied_seconds,
            service: mean + (seconds - mean) * SMOOTHING_FACTOR,
        }
        self.sample_counts[service] = self.sample_counts.get(service, 0) + 1

    def expected_wait(
        self,
        request: QueuedRequest,
        queue: Collection[QueuedRequest],
        leases: Collection[SlotLease],
        limit: int | None,
        slots: int,
    ) -> float | None:
        """Return a low estimate of the seconds until the request gets a slot, or None if unknown.

        The number of requests up to and including it, minus the running ones that it may preempt
        and the free slots, is divided by the slots of its class on this node and multiplied by the
        mean occupancy. If a core granted the class a `limit`, it replaces `slots`, and free slots
        do not count. The wait is unknown while the service has fewer than MIN_SAMPLES samples.
        """
        if self.sample_counts.get(request.service, 0) < MIN_SAMPLES:
            return None
        running = [lease for lease in leases if lease.replica.service == request.service]
        preemptible_count = sum(
            other.is_preemptible and other.urgency < request.urgency for other in running
        )
        priority = request.priority
        ahead_count = sum(
            queued.service == request.service
            and queued is not request
            and queued.priority < priority
            for queued in queue
        )
        capacity = max(len(running), slots if limit is None else limit, 1)
        free_count = max(0, slots - len(running)) if limit is None else 0
        slots_needed = max(0, ahead_count + 1 - preemptible_count - free_count)
        return (
            slots_needed / capacity * self.mean_occupied_seconds[request.service] / ESTIMATE_DIVISOR
        )
