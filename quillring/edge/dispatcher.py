"""Request dispatcher: bounded priority queues, prefix affinity, class limits, preemption."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

from quillring.edge.queue_wait import QueueWaitEstimator
from quillring.edge.slot_lease import QueuedRequest, SlotLease
from quillring.kernel.effects import Sleep, Wait
from quillring.kernel.errors import Refused
from quillring.nifty.graph import rendezvous_score

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quillring.edge.replicas import Replica
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

AFFINITY_LOAD_LIMIT = 0.75
"""Share of slots in use below which a replica is preferred for requests with its prefix."""
DEFAULT_MAX_QUEUE_LENGTH = 64
PREFIX_KEY_DIGITS = 16


class Dispatcher:
    """Chooses replicas for the requests of this node; owns the queue and the slot leases."""

    __slots__ = ("node", "queue", "last_arrival_number", "leases", "queue_wait")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.queue: list[QueuedRequest] = []
        self.last_arrival_number = 0
        self.leases: dict[SlotLease, None] = {}
        self.queue_wait = QueueWaitEstimator()
        node.find("replicas").change_listeners.append(self.assign_free_slots)
        node.find("taker").on_new_quota = self.assign_free_slots

    def run(self) -> Coroutine:
        """Assign free slots and refuse unservable requests every two gossip intervals.

        The expiry of a warm-up or an ejection frees slots without any other event.
        """
        while True:
            yield Sleep(self.node.bounds.gossip_interval * 2)
            self.assign_free_slots()
            self._refuse_unservable()

    def _refuse_unservable(self) -> None:
        """Refuse the queued requests that are not expected to get a slot in time."""
        for request in list(self.queue):
            refusal = self.refusal_if_hopeless(request)
            if refusal is not None:
                self.queue.remove(request)
                request.signal.set(refusal)

    def count_demand(self, service: str) -> dict[str, int]:
        """Return {class: number of requests running or queued on this node} for a service."""
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
        terms: dict[str, Any],
        prefix: str,
        deadline: float,
        excluded_names: Iterable[str] = (),
        was_preempted: bool = False,
        is_preemptible: bool = False,
    ) -> Coroutine:
        """Wait for a free slot and return its SlotLease.

        Parameters
        ----------
        terms
            Terms of the class of service: urgency, queue length, time limit for the first piece.
        prefix
            Key of a shared prompt prefix, or the empty string.
        deadline
            Deadline of the request, in seconds of the node's clock.
        excluded_names
            Replicas on which the request must not run.
        was_preempted
            The request already ran and lost its slot; the limit of the queue length does not apply.
        is_preemptible
            The request can be resumed, so its slot may be preempted between two pieces.

        Raises
        ------
        Refused
            The queue is full, no replica is usable, or no slot is expected or became free before
            the deadline.
        """
        self.last_arrival_number += 1
        request = QueuedRequest(
            terms,
            self.last_arrival_number,
            service,
            prefix,
            excluded_names,
            class_name,
            is_preemptible,
            deadline,
        )
        replica = None if self._is_outranked(request) else self._choose(request)
        if replica is not None:
            return self._start_lease(request, replica)
        refusal = self.refusal_if_hopeless(request)
        if refusal is not None:
            raise refusal
        if not was_preempted:
            self._check_queue_length(class_name, terms)
        return (yield from self._wait_in_queue(request))

    def _check_queue_length(self, class_name: str, terms: dict[str, Any]) -> None:
        """Raise Refused if the queue of the class has reached its maximum length."""
        queued = sum(request.class_name == class_name for request in self.queue)
        if queued >= terms.get("queue", DEFAULT_MAX_QUEUE_LENGTH):
            self.node.count("queue_refusals")
            raise Refused(
                reason="queue full",
                class_name=class_name,
                come_back_s=max(self.node.bounds.propagation, terms["first_piece_ms"] / 1000),
            )

    def _wait_in_queue(self, request: QueuedRequest) -> Coroutine:
        """Queue a request and return its lease; if cancelled, release a lease already assigned."""
        self.queue.append(request)
        has_wait_ended = False
        try:
            yield Wait(request.signal, request.deadline - self.node.now())
            has_wait_ended = True
        finally:
            if request in self.queue:
                self.queue.remove(request)
            elif not has_wait_ended and isinstance(request.signal.value, SlotLease):
                request.signal.value.release()
        if isinstance(request.signal.value, SlotLease):
            return request.signal.value
        self.node.count("wait_refusals")
        raise request.signal.value or Refused(
            reason="no room in time", class_name=request.class_name
        )

    def refusal_if_hopeless(self, request: QueuedRequest) -> Refused | None:
        """Return a Refused if the request is not expected to get a slot before its deadline."""
        replicas = self.node.find("replicas")
        if not any(
            replica.name not in request.excluded_names
            for replica in replicas.available_before(request.service, request.deadline)
        ):
            return Refused(reason="no replica", service=request.service)
        limit = self.node.find("taker").limit(request.service, request.class_name)
        slots = sum(replica.slots for replica in replicas.available(request.service))
        seconds = self.queue_wait.expected_wait(request, self.queue, self.leases, limit, slots)
        if seconds is not None and self.node.now() + seconds > request.deadline:
            return Refused(
                reason="no room in time",
                class_name=request.class_name,
                come_back_s=max(self.node.bounds.propagation, seconds),
            )
        return None

    def _is_outranked(self, request: QueuedRequest) -> bool:
        """Return whether a request of the same service and at least this urgency is queued."""
        return any(
            queued.service == request.service and queued.urgency >= request.urgency
            for queued in self.queue
        )

    def assign_free_slots(self) -> None:
        """Assign free slots to queued requests by priority, then preempt running ones if needed."""
        for request in sorted(self.queue, key=lambda queued: queued.priority):
            replica = self._choose(request)
            if replica is not None:
                self.queue.remove(request)
                request.signal.set(self._start_lease(request, replica))
        for service in sorted({x.replica.service for x in self.leases if x.is_preemptible}):
            self._preempt_over_limit(service)

    def _preempt_over_limit(self, service: str) -> None:
        """Preempt preemptible requests of the classes that exceed their limit."""
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
            excess_count = len(leases) - limit - sum(lease.is_preempted for lease in leases)
            candidates = [
                class_lease
                for class_lease in leases
                if class_lease.is_preemptible and not class_lease.is_preempted
            ]
            for lease in candidates[: max(0, excess_count)]:
                self._preempt(lease)

    def _preempt_by_urgency(self, service: str) -> None:
        """Preempt the least urgent requests for more urgent queued ones, without a recent quota."""
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
        """Request the release of a lease after its current piece."""
        lease.is_preempted = True
        self.node.count("pauses")

    def _start_lease(self, request: QueuedRequest, replica: Replica) -> SlotLease:
        """Occupy a slot of a replica for a request and return the lease."""
        replica.in_flight += 1
        lease = SlotLease(self, replica, request)
        self.leases[lease] = None
        return lease

    def release(self, lease: SlotLease) -> None:
        """Free the slot of a finished request and reassign free slots."""
        self.leases.pop(lease, None)
        occupied_seconds = self.node.now() - lease.acquired_at
        self.queue_wait.record_occupancy(lease.replica.service, occupied_seconds)
        known = self.node.find("replicas").find(lease.replica.name)
        if known is not None and known.incarnation == lease.replica.incarnation:
            known.in_flight = max(0, known.in_flight - 1)
        self.assign_free_slots()

    def release_later(self, lease: SlotLease) -> Coroutine:
        """Free the slot of an aborted request after one heartbeat interval, once it has stopped."""
        yield Sleep(self.node.bounds.heartbeat_interval)
        self.release(lease)

    def capacity(self, replica: Replica) -> int:
        """Return how many requests this node may run on a replica.

        For a cold replica, that is the number of slots granted to this node.
        """
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
            if replica.name not in request.excluded_names
            and replica.in_flight < self.capacity(replica)
            and now >= replica.full_until
        ]
        if not candidates:
            return None
        if request.prefix:
            preferred = max(candidates, key=lambda r: rendezvous_score(request.prefix, r.name))
            if preferred.in_flight < self.capacity(preferred) * AFFINITY_LOAD_LIMIT:
                return preferred
        return min(
            candidates, key=lambda r: (r.in_flight / self.capacity(r), rendezvous_score(r.name))
        )

    def _count_running(self, request: QueuedRequest) -> int:
        """Return the leases of this node for the request's class and service."""
        return sum(
            lease.class_name == request.class_name and lease.replica.service == request.service
            for lease in self.leases
        )


def prefix_key(text: str) -> str:
    """Return the affinity key of a shared prompt prefix: a truncated SHA-256; "" for none."""
    return hashlib.sha256(text.encode()).hexdigest()[:PREFIX_KEY_DIGITS] if text else ""
