"""The dispatcher: bounded priority queues, prefix affinity, class limits, preemption."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

from quillring.edge.queue_wait import QueueWaitEstimator
from quillring.edge.slot_lease import QueuedRequest, SlotLease
from quillring.kernel.effects import Sleep, Wait
from quillring.kernel.errors import Refused
from quillring.nifty.graph import score

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quillring.edge.replicas import Replica
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

AFFINITY_LOAD_LIMIT = 0.75
"""Share of a replica's slots up to which requests keep to it for their prefix."""
DEFAULT_QUEUE_LENGTH = 64
PREFIX_KEY_DIGITS = 16


class Dispatcher:
    """Chooses replicas for the requests of this node; owns their queue and their slot leases."""

    __slots__ = ("node", "queue", "last_order", "leases", "queue_wait")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.queue: list[QueuedRequest] = []
        self.last_order = 0
        self.leases: dict[SlotLease, None] = {}
        self.queue_wait = QueueWaitEstimator()
        node.find("replicas").on_change.append(self.wake)
        node.find("taker").on_quota = self.wake

    def run(self) -> Coroutine:
        """Assign free slots every two gossip intervals, as warm-ups and ejections expire."""
        while True:
            yield Sleep(self.node.bounds.gossip_interval * 2)
            self.wake()
            self._refuse_hopeless()

    def _refuse_hopeless(self) -> None:
        for request in list(self.queue):
            refusal = self.refusal_if_hopeless(request)
            if refusal is not None:
                self.queue.remove(request)
                request.signal.set(refusal)

    def demands(self, service: str) -> dict[str, int]:
        """Return {class: requests running or queued here} for a service."""
        counts: dict[str, int] = {}
        for lease in self.leases:
            if lease.replica.service == service:
                counts[lease.class_name] = counts.get(lease.class_name, 0) + 1
        for request in self.queue:
            if request.service == service:
                counts[request.class_name] = counts.get(request.class_name, 0) + 1
        return counts

    def acquire(
        self,
        service: str,
        class_name: str,
        promise: dict[str, Any],
        prefix: str,
        end_time: float,
        avoided_names: Iterable[str] = (),
        was_preempted: bool = False,
        is_preemptible: bool = False,
    ) -> Coroutine:
        """Wait for a free slot and return its SlotLease.

        Parameters
        ----------
        promise
            Terms of the class of service: urgency, queue length, time to the first piece.
        prefix
            Key of a shared prompt prefix, or the empty string.
        end_time
            Deadline of the request, in seconds of the node's clock.
        was_preempted
            The request ran already and lost its slot, so the queue length does not apply to it.

        Raises
        ------
        Refused
            The queue is full, the expected wait exceeds the deadline, or the deadline passed.
        """
        self.last_order += 1
        request = QueuedRequest(
            promise,
            self.last_order,
            service,
            prefix,
            avoided_names,
            class_name,
            is_preemptible,
            end_time,
        )
        replica = None if self._is_outranked(request) else self._choose(request)
        if replica is not None:
            return self._start(request, replica)
        refusal = self.refusal_if_hopeless(request)
        if refusal is not None:
            raise refusal
        if not was_preempted:
            self._check_queue_length(class_name, promise)
        return (yield from self._wait_in_queue(request))

    def _check_queue_length(self, class_name: str, promise: dict[str, Any]) -> None:
        queued = sum(request.class_name == class_name for request in self.queue)
        if queued >= promise.get("queue", DEFAULT_QUEUE_LENGTH):
            self.node.count("queue_refusals")
            raise Refused(
                reason="queue full",
                class_name=class_name,
                come_back_s=max(self.node.bounds.propagation, promise["first_piece_ms"] / 1000),
            )

    def _wait_in_queue(self, request: QueuedRequest) -> Coroutine:
        """Return the lease of a queued request; release it if the request was cancelled."""
        self.queue.append(request)
        is_over = False
        try:
            yield Wait(request.signal, request.end_time - self.node.now())
            is_over = True
        finally:
            if request in self.queue:
                self.queue.remove(request)
            elif not is_over and isinstance(request.signal.value, SlotLease):
                request.signal.value.release()
        if isinstance(request.signal.value, SlotLease):
            return request.signal.value
        self.node.count("wait_refusals")
        raise request.signal.value or Refused(
            reason="no room in time", class_name=request.class_name
        )

    def refusal_if_hopeless(self, request: QueuedRequest) -> Refused | None:
        """Return the Refused of a request that can't get a slot before its deadline, or None."""
        replicas = self.node.find("replicas")
        if not any(
            replica.name not in request.avoided_names
            for replica in replicas.available_before(request.service, request.end_time)
        ):
            return Refused(reason="no replica", service=request.service)
        limit = self.node.find("taker").limit(request.service, request.class_name)
        slots = sum(replica.slots for replica in replicas.available(request.service))
        seconds = self.queue_wait.expected_wait(request, self.queue, self.leases, limit, slots)
        if seconds is not None and self.node.now() + seconds > request.end_time:
            return Refused(
                reason="no room in time",
                class_name=request.class_name,
                come_back_s=max(self.node.bounds.propagation, seconds),
            )
        return None

    def _is_outranked(self, request: QueuedRequest) -> bool:
        return any(
            queued.service == request.service and queued.urgency >= request.urgency
            for queued in self.queue
        )

    def wake(self) -> None:
        """Assign free slots to queued requests by priority; then preempt running ones if needed."""
        for request in sorted(self.queue, key=lambda queued: queued.priority):
            replica = self._choose(request)
            if replica is not None:
                self.queue.remove(request)
                request.signal.set(self._start(request, replica))
        for service in sorted({x.replica.service for x in self.leases if x.is_preemptible}):
            self._preempt_over_limit(service)

    def _preempt_over_limit(self, service: str) -> None:
        """Preempt resumable requests of the classes that exceed their limit."""
        quotas = self.node.find("taker")
        if not quotas.has_recent_quota(service):
            self._preempt_by_urgency(service)
            return
        by_class: dict[str, list[SlotLease]] = {}
        for lease in self.leases:
            if lease.replica.service == service:
                by_class.setdefault(lease.class_name, []).append(lease)
        for class_name, leases in by_class.items():
            limit = quotas.limit(service, class_name)
            if limit is None:
                continue
            surplus = len(leases) - limit - sum(lease.is_preempted for lease in leases)
            candidates = [x for x in leases if x.is_preemptible and not x.is_preempted]
            for lease in candidates[: max(0, surplus)]:
                self._preempt(lease)

    def _preempt_by_urgency(self, service: str) -> None:
        """Preempt the least urgent requests for queued urgent ones while no core sets limits."""
        running = [lease for lease in self.leases if lease.replica.service == service]
        preempted_count = sum(lease.is_preempted for lease in running)
        candidates = sorted(
            (lease for lease in running if lease.is_preemptible and not lease.is_preempted),
            key=lambda lease: lease.urgency,
        )
        urgencies = sorted(
            (request.urgency for request in self.queue if request.service == service),
            reverse=True,
        )
        for urgency, lease in zip(urgencies[preempted_count:], candidates, strict=False):
            if lease.urgency < urgency:
                self._preempt(lease)

    def _preempt(self, lease: SlotLease) -> None:
        lease.is_preempted = True
        self.node.count("pauses")

    def _start(self, request: QueuedRequest, replica: Replica) -> SlotLease:
        replica.in_flight += 1
        lease = SlotLease(self, replica, request)
        self.leases[lease] = None
        return lease

    def release(self, lease: SlotLease) -> None:
        """Free the slot of a finished request and assign it again."""
        self.leases.pop(lease, None)
        hold_seconds = self.node.now() - lease.acquired_at
        self.queue_wait.record_hold_time(lease.replica.service, hold_seconds)
        known = self.node.find("replicas").find(lease.replica.name)
        if known is not None and known.incarnation == lease.replica.incarnation:
            known.in_flight = max(0, known.in_flight - 1)
        self.wake()

    def release_later(self, lease: SlotLease) -> Coroutine:
        """Free the slot one heartbeat interval after an aborted request, when it has stopped."""
        yield Sleep(self.node.bounds.heartbeat_interval)
        self.release(lease)

    def capacity(self, replica: Replica) -> int:
        """Return how many requests this node may run at the replica; a grant if it is cold."""
        if replica.state == "cold":
            granted: int = self.node.find("taker").cold_slots(replica)
            return granted
        return replica.slots

    def _choose(self, request: QueuedRequest) -> Replica | None:
        """Return the replica for a request, or None if no slot is free for it."""
        limit = self.node.find("taker").limit(request.service, request.class_name)
        if limit is not None and self._count_running(request) >= limit:
            return None
        now = self.node.now()
        candidates: list[Replica] = [
            replica
            for replica in self.node.find("replicas").available(request.service)
            if replica.name not in request.avoided_names
            and replica.in_flight < self.capacity(replica)
            and now >= replica.full_until
        ]
        if not candidates:
            return None
        if request.prefix:
            preferred = max(candidates, key=lambda r: score(request.prefix, r.name))
            if preferred.in_flight < self.capacity(preferred) * AFFINITY_LOAD_LIMIT:
                return preferred
        return min(candidates, key=lambda r: (r.in_flight / self.capacity(r), score(r.name)))

    def _count_running(self, request: QueuedRequest) -> int:
        return sum(
            lease.class_name == request.class_name and lease.replica.service == request.service
            for lease in self.leases
        )


def prefix_key(text: str) -> str:
    """Return the affinity key of a shared prompt prefix (a truncated SHA-256), or ""."""
    return hashlib.sha256(text.encode()).hexdigest()[:PREFIX_KEY_DIGITS] if text else ""
