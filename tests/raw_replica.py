"""Simulated raw replicas: whole requests in, events out, and ways to go wrong."""

from proving.sim.world import SimWorld
from quillring.kernel.effects import NextHead, NextPart, SendOn, Signal
from quillring.kernel.troubles import BackendTrouble, NotSent, Trouble

SERVICE = "engine"
EVENT_SECONDS = 0.05


def text_of(itemId, count):
    """Return the whole text of an item."""
    return "\n".join(f"{itemId} piece {n}" for n in range(1, count + 1)).encode()


class RawWorld(SimWorld):
    """A simulated world that also speaks to raw replicas."""

    def perform(self, effect):
        """Bring about one effect."""
        if isinstance(effect, SendOn):
            return self.backends.raw.send_on(self, effect)
        if isinstance(effect, (NextHead, NextPart)):
            return effect.handle.wait(self, effect)
        return super().perform(effect)


class RawHandle:
    """One answer under way."""

    def __init__(self):
        self.status, self.headers = None, {}
        self.parts, self.isOver, self.isBroken, self.isClosed = [], False, False, False
        self.signal = Signal()

    def put(self, data=None, status=None, headers=None, isOver=False, isBroken=False):
        """Let the replica's side go on."""
        if status is not None:
            self.status, self.headers = status, headers
        self.parts.extend([data] if data else [])
        self.isOver, self.isBroken = self.isOver or isOver, self.isBroken or isBroken
        signal, self.signal = self.signal, Signal()
        signal.set()

    def wait(self, world, effect):
        """Process: the outcome of NextHead or NextPart."""
        endTime = world.env.now + effect.seconds
        isHead = isinstance(effect, NextHead)
        while True:
            if self.isClosed:
                raise BackendTrouble(reason="closed")
            if isHead and self.status is not None:
                return None
            if not isHead and self.parts:
                return self.parts.pop(0)
            if self.isBroken:
                raise BackendTrouble(reason="broken off")
            if not isHead and self.isOver:
                return None
            if world.env.now >= endTime:
                raise BackendTrouble(reason="stall")
            yield from world.wait(self.signal, endTime - world.env.now)

    def close(self):
        """Close the connection; the replica drops the request."""
        self.isClosed = True
        self.put()


class RawReplica:
    """One raw replica; `way` is a function(replica, item id, last event) -> how to go wrong."""

    def __init__(self, stage, name, zone, slots):
        self.stage, self.name, self.zone, self.slots = stage, name, zone, slots
        self.address = ("10.9.0.1", 7000 + len(stage.replicas))
        self.state, self.sequence, self.active = "ready", 0, 0
        self.isDead = self.isSilent = False
        self.way, self.coldUntil, self.mostActive = None, 0, 0
        stage.env.process(self._beat())

    def _beat(self):
        while not self.isDead:
            self.beat()
            yield self.stage.env.timeout(0.4)

    def beat(self):
        """Send a beat to any node that is up."""
        self.sequence += 1
        body = {
            "name": self.name, "service": SERVICE, "domain": self.zone, "slots": self.slots,
            "address": f"{self.address[0]}:{self.address[1]}", "state": self.state,
            "incarnation": 1, "sequence": self.sequence,
            "cold_ms": max(0, round((self.coldUntil - self.stage.env.now) * 1000)),
        }
        nodes = [node for node in self.stage.sim.nodes.values() if self.stage.sim.is_up(node)]
        if not nodes:
            return
        try:
            self.stage.sim.chance.choice(nodes).find("replicas").on_beat(body)
        except Trouble as trouble:
            raise AssertionError(trouble) from trouble

    def leave(self):
        """End at once and say so."""
        self.state, self.isDead = "gone", True
        self.beat()

    def serve(self, handle, request):
        """Process: answer one request."""
        stage, itemId = self.stage, request["x-inquiry"]
        last = int(request["last-event-id"]) if "last-event-id" in request else None
        head = {"x-inquiry": itemId, "transfer-encoding": "chunked"}
        count, way = stage.counts.get(itemId, 6), self.way and self.way(self, itemId, last)
        if self.active >= self.slots or way == "full":
            return handle.put(status=503, headers={**head, "x-not-run": "1"}, isOver=True)
        if request["x-replica-named"] != self.name:
            return handle.put(status=421, headers=head, isOver=True)
        stage.arrivals.append((stage.env.now, itemId, self.name, last, request))
        if way in (500, 422):
            return handle.put(status=way, headers=head, isOver=True)
        self.active += 1
        self.mostActive = max(self.mostActive, self.active)
        start = 0 if way == "restart" else last or 0
        handle.put(status=200, headers={**head, "x-seal": "s"})
        for number in range(start + 1, count + 1):
            yield stage.env.timeout(EVENT_SECONDS)
            if handle.isClosed or self.isDead:
                break
            while self.isSilent and not handle.isClosed:
                yield stage.env.timeout(0.05)
            if way == "skip" and number == start + 2 < count:
                continue
            if way == "break" and number == start + 3:
                break
            handle.put(f"id: {number}\ndata: {itemId} piece {number}\n\n".encode())
        else:
            handle.put(isOver=True)
            stage.wholeRuns.append(itemId)
        self.active -= 1
        handle.put(isBroken=not handle.isOver)


class RawBackends:
    """The connections to all raw replicas."""

    def __init__(self, stage):
        self.stage = stage

    def send_on(self, world, effect):
        """Process: send a request; returns the handle of its answer."""
        yield self.stage.env.timeout(0.001)
        replica = next(
            (r for r in self.stage.replicas.values() if r.address == tuple(effect.address)), None)
        if replica is None or replica.isDead:
            raise NotSent(reason="refused")
        head, _, body = effect.data.partition(b"\r\n\r\n")
        first, *lines = head.decode().split("\r\n")
        request = {k.lower(): v for k, _, v in (line.partition(": ") for line in lines)}
        handle = RawHandle()
        worker = next(
            name for name, node in self.stage.sim.nodes.items() if node.world is world)
        request = {**request, "": (first, body), "worker": worker}
        self.stage.env.process(self._serve(replica, handle, request))
        return handle

    def _serve(self, replica, handle, request):
        yield self.stage.env.timeout(0.001)
        yield from replica.serve(handle, request) or ()
