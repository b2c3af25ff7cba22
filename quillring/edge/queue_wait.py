"""An estimate of how long a queued request waits for a slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from quillring.edge.slot_lease import QueuedRequest, SlotLease

SMOOTHING = 1 / 8
"""Weight of the newest sample in the moving average."""
MIN_SAMPLES = 8
OPTIMISM = 1.2
"""The estimate is divided by this: a request is refused only when it is hopeless."""


class QueueWaitEstimator:
    """The mean time for which requests of each service occupied a slot on this node.

    An exponentially weighted moving average, in seconds, by service.
    """

    __slots__ = ("mean_seconds", "sample_counts")

    def __init__(self) -> None:
        self.mean_seconds: dict[str, float] = {}
        self.sample_counts: dict[str, int] = {}

    def record_hold_time(self, service: str, seconds: float) -> None:
        """Add a sample: the seconds for which a slot was occupied."""
        mean = self.mean_seconds.get(service, seconds)
        self.mean_seconds = {
            **self.mean_seconds,
            service: mean + (seconds - mean) * SMOOTHING,
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
        """Return a low estimate of the seconds until the request's turn, or None if unknown.

        The requests ahead of it, minus the running ones it may preempt and the free slots, are
        divided by the slots of its class on this node. If a core granted the class a `limit`, that
        replaces `slots`, and free slots do not count. Unknown: fewer than MIN_SAMPLES samples.
        """
        if self.sample_counts.get(request.service, 0) < MIN_SAMPLES:
            return None
        running = [lease for lease in leases if lease.replica.service == request.service]
        preemptible = sum(x.is_preemptible and x.urgency < request.urgency for x in running)
        priority = request.priority
        before = sum(
            queued.service == request.service
            and queued is not request
            and queued.priority < priority
            for queued in queue
        )
        capacity = max(len(running), slots if limit is None else limit, 1)
        free = max(0, slots - len(running)) if limit is None else 0
        turns = max(0, before + 1 - preemptible - free)
        return turns / capacity * self.mean_seconds[request.service] / OPTIMISM
