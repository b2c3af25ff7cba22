"""Dispatch: bounded queues by urgency, prefix affinity, warm-up ramp."""

import hashlib

from quillring.kernel.effects import Signal, Sleep, Wait
from quillring.kernel.troubles import Refused
from quillring.nifty.graph import score

SPILL = 0.75
DEFAULT_QUEUE = 64
WARM_UP_MS = 8000


class Lease:
    """The right to run one inquiry on a replica."""

    __slots__ = ("dispatch", "replica", "is_held")

    def __init__(self, dispatch, replica):
        self.dispatch = dispatch
        self.replica = replica
        self.is_held = True

    def release(self):
        """Give the room back, once."""
        if self.is_held:
            self.is_held = False
            self.dispatch.give_back(self.replica)


class Waiter:
    """One inquiry that waits for room."""

    __slots__ = ("urgency", "order", "service", "prefix", "avoided", "signal", "className")

    def __init__(self, urgency, order, service, prefix, avoided, className):
        self.urgency = urgency
        self.order = order
        self.service = service
        self.prefix = prefix
        self.avoided = avoided
        self.className = className
        self.signal = Signal()


class Dispatch:
    """Chooses replicas for inquiries on this node."""

    __slots__ = ("node", "waiting", "order")

    def __init__(self, node):
        self.node = node
        self.waiting = []
        self.order = 0
        node.find("replicas").on_change.append(self.wake)

    def run(self):
        """Script: look for room now and then, since ramps and stalls move with time."""
        while True:
            yield Sleep(self.node.bounds.chatter * 2)
            self.wake()

    def acquire(self, serviceName, className, promise, prefix, endTime, avoided=()):
        """Script: return a lease, or refuse at once when waiting is hopeless or over."""
        replicas = self.node.find("replicas")
        if not [r for r in replicas.working(serviceName) if r.name not in avoided]:
            raise Refused(reason="no replica", service=serviceName)
        self.order += 1
        waiter = Waiter(
            promise["urgency"], self.order, serviceName, prefix, frozenset(avoided), className
        )
        chosenReplica = None if self._is_outranked(waiter) else self._choose(waiter)
        if chosenReplica is not None:
            return self._lease(chosenReplica)
        queued = sum(w.className == className for w in self.waiting)
        if queued >= promise.get("queue", DEFAULT_QUEUE):
            self.node.count("queue_refusals")
            raise Refused(reason="queue full", class_name=className)
        self.waiting.append(waiter)
        isServed = False
        try:
            yield Wait(waiter.signal, endTime - self.node.now())
            isServed = waiter.signal.is_set
        finally:
            if waiter in self.waiting:
                self.waiting.remove(waiter)
            elif not isServed and waiter.signal.is_set:
                waiter.signal.value.release()
        if not isServed:
            self.node.count("wait_refusals")
            raise Refused(reason="no room in time", class_name=className)
        return waiter.signal.value

    def _is_outranked(self, waiter):
        return any(
            w.service == waiter.service and w.urgency >= waiter.urgency for w in self.waiting
        )

    def wake(self):
        """Give free room to those who wait, the urgent first, then by arrival."""
        for waiter in sorted(self.waiting, key=lambda w: (-w.urgency, w.order)):
            chosenReplica = self._choose(waiter)
            if chosenReplica is not None:
                self.waiting.remove(waiter)
                waiter.signal.set(self._lease(chosenReplica))

    def _lease(self, replica):
        replica.inFlight += 1
        return Lease(self, replica)

    def give_back(self, replica):
        """Take back the room of an ended inquiry."""
        known = self.node.find("replicas").find(replica.name)
        if known is not None:
            known.inFlight = max(0, known.inFlight - 1)
        self.wake()

    def room(self, replica):
        """Return how many inquiries this node may have at the replica: less while cold."""
        layout = self.node.find("layout").layout or {}
        service = layout.get("services", {}).get(replica.service, {})
        warmUp = service.get("warm_up_ms", WARM_UP_MS) / 1000
        age = self.node.now() - replica.bornAt
        if replica.state == "cold":
            return min(replica.slots, max(1, int(replica.slots * min(1, age / warmUp))))
        return replica.slots

    def _choose(self, waiter):
        candidates = [
            replica for replica in self.node.find("replicas").working(waiter.service)
            if replica.name not in waiter.avoided and replica.inFlight < self.room(replica)
        ]
        if not candidates:
            return None
        if waiter.prefix:
            likedReplica = max(candidates, key=lambda r: score(waiter.prefix, r.name))
            if likedReplica.inFlight < self.room(likedReplica) * SPILL:
                return likedReplica
        return min(candidates, key=lambda r: (r.inFlight / self.room(r), score(r.name)))


def prefix_key(text):
    """Return the short key of a shared prompt prefix."""
    return hashlib.sha256(text.encode()).hexdigest()[:16] if text else ""
