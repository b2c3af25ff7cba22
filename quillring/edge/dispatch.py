"""Dispatch: bounded queues by urgency, prefix affinity, grants, pausing of borrowers."""

import hashlib

from quillring.edge.queue_wait import Pace
from quillring.edge.slot_lease import Lease, Waiter
from quillring.kernel.effects import Sleep, Wait
from quillring.kernel.errors import Refused
from quillring.nifty.graph import score

SPILL = 0.75
DEFAULT_QUEUE = 64


class Dispatch:
    """Chooses replicas for inquiries on this node."""

    __slots__ = ("node", "waiting", "order", "leases", "pace")

    def __init__(self, node):
        self.node = node
        self.waiting = []
        self.order = 0
        self.leases = {}
        self.pace = Pace()
        node.find("replicas").on_change.append(self.wake)
        node.find("taker").on_grant = self.wake

    def run(self):
        """Coroutine: look for room now and then, since ramps and stalls move with time."""
        while True:
            yield Sleep(self.node.bounds.gossip_interval * 2)
            self.wake()
            self._end_hopeless()

    def _end_hopeless(self):
        for waiter in list(self.waiting):
            hopelessness = self.why_hopeless(waiter)
            if hopelessness is not None:
                self.waiting.remove(waiter)
                waiter.signal.set(hopelessness)

    def demands(self, service):
        """Return {class: inquiries running or waiting here} for a service."""
        counts = {}
        for lease in self.leases:
            if lease.replica.service == service:
                counts[lease.class_name] = counts.get(lease.class_name, 0) + 1
        for waiter in self.waiting:
            if waiter.service == service:
                counts[waiter.class_name] = counts.get(waiter.class_name, 0) + 1
        return counts

    def acquire(
        self,
        service_name,
        class_name,
        promise,
        prefix,
        end_time,
        avoided=(),
        is_paused=False,
        may_pause=False,
    ):
        """Coroutine: return a lease, or refuse at once when waiting is hopeless or over."""
        self.order += 1
        waiter = Waiter(
            promise,
            self.order,
            service_name,
            prefix,
            avoided,
            class_name,
            may_pause,
            end_time,
        )
        chosen_replica = None if self._is_outranked(waiter) else self._choose(waiter)
        if chosen_replica is not None:
            return self._lease(waiter, chosen_replica)
        hopelessness = self.why_hopeless(waiter)
        if hopelessness is not None:
            raise hopelessness
        queued = sum(w.class_name == class_name for w in self.waiting)
        if not is_paused and queued >= promise.get("queue", DEFAULT_QUEUE):
            self.node.count("queue_refusals")
            raise Refused(
                reason="queue full",
                class_name=class_name,
                come_back_s=max(self.node.bounds.propagation, promise["first_piece_ms"] / 1000),
            )
        self.waiting.append(waiter)
        is_over = False
        try:
            yield Wait(waiter.signal, end_time - self.node.now())
            is_over = True
        finally:
            if waiter in self.waiting:
                self.waiting.remove(waiter)
            elif not is_over and isinstance(waiter.signal.value, Lease):
                waiter.signal.value.release()
        if isinstance(waiter.signal.value, Lease):
            return waiter.signal.value
        self.node.count("wait_refusals")
        raise waiter.signal.value or Refused(reason="no room in time", class_name=class_name)

    def why_hopeless(self, waiter):
        """Return the refusal of an inquiry that can't get room in time any more, or None."""
        replicas = self.node.find("replicas")
        if not any(
            r.name not in waiter.avoided
            for r in replicas.available_before(waiter.service, waiter.end_time)
        ):
            return Refused(reason="no replica", service=waiter.service)
        limit = self.node.find("taker").limit(waiter.service, waiter.class_name)
        slots = sum(replica.slots for replica in replicas.available(waiter.service))
        seconds = self.pace.expected_wait(waiter, self.waiting, self.leases, limit, slots)
        if seconds is not None and self.node.now() + seconds > waiter.end_time:
            return Refused(
                reason="no room in time",
                class_name=waiter.class_name,
                come_back_s=max(self.node.bounds.propagation, seconds),
            )
        return None

    def _is_outranked(self, waiter):
        return any(
            w.service == waiter.service and w.urgency >= waiter.urgency for w in self.waiting
        )

    def wake(self):
        """Give free room to those who wait, the urgent first; ask borrowers to pause."""
        for waiter in sorted(self.waiting, key=lambda w: (-w.urgency, w.order)):
            chosen_replica = self._choose(waiter)
            if chosen_replica is not None:
                self.waiting.remove(waiter)
                waiter.signal.set(self._lease(waiter, chosen_replica))
        for service in sorted({x.replica.service for x in self.leases if x.may_pause}):
            self._pause_borrowers(service)

    def _pause_borrowers(self, service):
        """Want room back from resumable work of the classes that run over their limit."""
        taker = self.node.find("taker")
        if not taker.is_decided(service):
            self._pause_by_urgency(service)
            return
        by_class = {}
        for lease in self.leases:
            if lease.replica.service == service:
                by_class.setdefault(lease.class_name, []).append(lease)
        for class_name, class_leases in by_class.items():
            limit = taker.limit(service, class_name)
            if limit is None:
                continue
            over = len(class_leases) - limit - sum(lease.is_wanted_back for lease in class_leases)
            pausable = [x for x in class_leases if x.may_pause and not x.is_wanted_back]
            for lease in pausable[: max(0, over)]:
                lease.is_wanted_back = True
                self.node.count("pauses")

    def _pause_by_urgency(self, service):
        """While no core decides, the urgent that wait want room back from the least urgent."""
        waiting = [w for w in self.waiting if w.service == service]
        wanted = sum(x.is_wanted_back for x in self.leases if x.replica.service == service)
        pausable = sorted(
            (
                x
                for x in self.leases
                if x.replica.service == service and x.may_pause and not x.is_wanted_back
            ),
            key=lambda lease: lease.urgency,
        )
        urgent = sorted((w.urgency for w in waiting), reverse=True)[wanted:]
        for urgency, lease in zip(urgent, pausable, strict=False):
            if lease.urgency < urgency:
                lease.is_wanted_back = True
                self.node.count("pauses")

    def _lease(self, waiter, replica):
        replica.in_flight += 1
        lease = Lease(self, replica, waiter)
        self.leases[lease] = None
        return lease

    def give_back(self, lease):
        """Take back the room of an ended inquiry."""
        self.leases.pop(lease, None)
        self.pace.note(lease.replica.service, self.node.now() - lease.since)
        known = self.node.find("replicas").find(lease.replica.name)
        if known is not None and known.incarnation == lease.replica.incarnation:
            known.in_flight = max(0, known.in_flight - 1)
        self.wake()

    def give_back_later(self, lease):
        """Coroutine: take the room back once a broken off inquiry has surely stopped."""
        yield Sleep(self.node.bounds.heartbeat_interval)
        self.give_back(lease)

    def room(self, replica):
        """Return how many inquiries this node may have at the replica; cold ones by grant."""
        if replica.state == "cold":
            return self.node.find("taker").cold_room(replica)
        return replica.slots

    def _choose(self, waiter):
        limit = self.node.find("taker").limit(waiter.service, waiter.class_name)
        if limit is not None and self._running(waiter) >= limit:
            return None
        now = self.node.now()
        candidates = [
            replica
            for replica in self.node.find("replicas").available(waiter.service)
            if replica.name not in waiter.avoided
            and replica.in_flight < self.room(replica)
            and now >= replica.full_until
        ]
        if not candidates:
            return None
        if waiter.prefix:
            liked_replica = max(candidates, key=lambda r: score(waiter.prefix, r.name))
            if liked_replica.in_flight < self.room(liked_replica) * SPILL:
                return liked_replica
        return min(candidates, key=lambda r: (r.in_flight / self.room(r), score(r.name)))

    def _running(self, waiter):
        return sum(
            lease.class_name == waiter.class_name and lease.replica.service == waiter.service
            for lease in self.leases
        )


def prefix_key(text):
    """Return the short key of a shared prompt prefix."""
    return hashlib.sha256(text.encode()).hexdigest()[:16] if text else ""
