"""Simulated raw replicas: complete HTTP requests in, streamed events out, injectable failures."""

from proving.sim.runtime import SimRuntime
from quillring.kernel.effects import ReadBody, ReadHead, SendRequest, Signal
from quillring.kernel.errors import BackendError, NotSent, QuillringError

SERVICE = "engine"
EVENT_SECONDS = 0.05
LATE_HEAD_SECONDS = 1.0
FRAMING = {"transfer-encoding": "chunked"}


def text_of(item_id, count):
    """Return the complete result text of an item of `count` events."""
    return "\n".join(f"{item_id} piece {n}" for n in range(1, count + 1)).encode()


class RawRuntime(SimRuntime):
    """A simulated runtime that can also send requests to raw replicas."""

    def perform(self, effect):
        """Process: execute an effect and return its result."""
        if isinstance(effect, SendRequest):
            return self.backends.raw.send_request(self, effect)
        if isinstance(effect, (ReadHead, ReadBody)):
            return effect.handle.wait(self, effect)
        return super().perform(effect)


class RawHandle:
    """The response to one request while it is streamed."""

    def __init__(self):
        self.status, self.headers = None, {}
        self.parts, self.is_over, self.is_broken, self.is_closed = [], False, False, False
        self.signal = Signal()

    def put(self, data=None, status=None, headers=None, is_over=False, is_broken=False):
        """Add data, the head, the end or a failure on the replica's side, and wake the reader."""
        if status is not None:
            self.status, self.headers = status, headers
        self.parts.extend([data] if data else [])
        self.is_over, self.is_broken = self.is_over or is_over, self.is_broken or is_broken
        signal, self.signal = self.signal, Signal()
        signal.set()

    def wait(self, runtime, effect):
        """Process: wait for and return the result of a ReadHead or ReadBody effect."""
        end_time = runtime.env.now + effect.seconds
        is_head = isinstance(effect, ReadHead)
        while True:
            if self.is_closed:
                raise BackendError(reason="closed")
            if is_head and self.status is not None:
                return None
            if not is_head and self.parts:
                return self.parts.pop(0)
            if self.is_broken:
                raise BackendError(reason="broken off")
            if not is_head and self.is_over:
                return None
            if runtime.env.now >= end_time:
                raise BackendError(reason="stall")
            yield from runtime.wait(self.signal, end_time - runtime.env.now)

    def close(self):
        """Close the connection; the replica then stops the request."""
        self.is_closed = True
        self.put()


class RawReplica:
    """One raw replica.

    `failure` is None or a function(replica, item id, last event id) that returns None or how
    to fail: 500, 422, "full", "unframed", "late head", "restart", "skip" or "break".
    """

    def __init__(self, stage, name, zone, slots):
        self.stage, self.name, self.zone, self.slots = stage, name, zone, slots
        self.address = ("10.9.0.1", 7000 + len(stage.replicas))
        self.state, self.sequence, self.active = "ready", 0, 0
        self.is_dead = self.is_silent = False
        self.failure, self.cold_until, self.max_active = None, 0, 0
        stage.env.process(self._send_heartbeats())

    def _send_heartbeats(self):
        """Process: send a heartbeat every 0.4 s until the replica ends."""
        while not self.is_dead:
            self.beat()
            yield self.stage.env.timeout(0.4)

    def beat(self):
        """Send a heartbeat to a random running node."""
        self.sequence += 1
        body = {
            "name": self.name,
            "service": SERVICE,
            "domain": self.zone,
            "slots": self.slots,
            "address": f"{self.address[0]}:{self.address[1]}",
            "state": self.state,
            "incarnation": 1,
            "sequence": self.sequence,
            "cold_ms": max(0, round((self.cold_until - self.stage.env.now) * 1000)),
        }
        nodes = [node for node in self.stage.sim.nodes.values() if self.stage.sim.is_up(node)]
        if not nodes:
            return
        try:
            self.stage.sim.chance.choice(nodes).find("replicas").on_heartbeat(body)
        except QuillringError as error:
            raise AssertionError(error) from error

    def leave(self):
        """Stop at once and announce it in a last heartbeat."""
        self.state, self.is_dead = "gone", True
        self.beat()

    def _delay_late_head(self, failure):
        if failure == "late head":
            yield self.stage.env.timeout(LATE_HEAD_SECONDS)

    def serve(self, handle, request):
        """Process: answer one request, failing as `failure` says."""
        stage, item_id = self.stage, request["x-inquiry"]
        last_event_id = int(request["last-event-id"]) if "last-event-id" in request else None
        event_count, failure = (
            stage.counts.get(item_id, 6),
            self.failure and self.failure(self, item_id, last_event_id),
        )
        head = {"x-inquiry": item_id, **({} if failure == "unframed" else FRAMING)}
        if self.active >= self.slots or failure == "full":
            return handle.put(status=503, headers={**head, "x-not-run": "1"}, is_over=True)
        if request["x-replica-named"] != self.name:
            return handle.put(status=421, headers=head, is_over=True)
        stage.arrivals.append((stage.env.now, item_id, self.name, last_event_id, request))
        if failure in (500, 422):
            return handle.put(status=failure, headers=head, is_over=True)
        self.active += 1
        self.max_active = max(self.max_active, self.active)
        resume_after = 0 if failure == "restart" else last_event_id or 0
        yield from self._delay_late_head(failure)
        handle.put(status=200, headers={**head, "x-seal": "s"})
        for number in range(resume_after + 1, event_count + 1):
            yield stage.env.timeout(EVENT_SECONDS)
            if handle.is_closed or self.is_dead:
                break
            while self.is_silent and not handle.is_closed:
                yield stage.env.timeout(0.05)
            if failure == "skip" and number == resume_after + 2 < event_count:
                continue
            if failure == "break" and number == resume_after + 3:
                break
            handle.put(f"id: {number}\ndata: {item_id} piece {number}\n\n".encode())
        else:
            handle.put(is_over=True)
            stage.completed_runs.append(item_id)
        self.active -= 1
        handle.put(is_broken=not handle.is_over)


class RawBackends:
    """The connections from the nodes to all raw replicas."""

    def __init__(self, stage):
        self.stage = stage

    def send_request(self, runtime, effect):
        """Process: send a request; return the handle of its response."""
        yield self.stage.env.timeout(0.001)
        replica = next(
            (r for r in self.stage.replicas.values() if r.address == tuple(effect.address)), None
        )
        if replica is None or replica.is_dead:
            raise NotSent(reason="refused")
        head, _, body = effect.data.partition(b"\r\n\r\n")
        first, *lines = head.decode().split("\r\n")
        request = {k.lower(): v for k, _, v in (line.partition(": ") for line in lines)}
        handle = RawHandle()
        worker = next(
            name for name, node in self.stage.sim.nodes.items() if node.runtime is runtime
        )
        request = {**request, "": (first, body), "worker": worker}
        self.stage.env.process(self._serve(replica, handle, request))
        return handle

    def _serve(self, replica, handle, request):
        yield self.stage.env.timeout(0.001)
        yield from replica.serve(handle, request) or ()
