"""A simulated fleet with raw replicas: whole requests in, events out, and ways to go wrong."""

from unittest import mock

from proving.points_base import SMALL
from proving.sim import fleet as sim_fleet
from proving.sim.fleet import SimFleet
from proving.sim.world import SimWorld
from quillring.kernel.effects import NextHead, NextPart, SendOn, Signal
from quillring.kernel.troubles import BackendTrouble, NotSent, Trouble
from quillring.lots import raw_front

HOST, SERVICE, FORWARD = "Lots.example", "engine", "bulk"
ZONES = ("gates", "halls", "shops")
SIZES = {**SMALL, "replicas": [("words", 1, 4), ("map", 1, 4)]}
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
        if request["x-expect-replica"] != self.name:
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


class RawStage:
    """A small founded fleet with a forward of lots and three replicas, at second 8 of its life."""

    def __init__(self, seed, slots=8, replicas=3, **fields):
        with mock.patch.object(sim_fleet, "SimWorld", RawWorld):
            self.sim = SimFleet("ferrowa", seed, SIZES)
        self.env, self.replicas, self.counts = self.sim.env, {}, {}
        self.arrivals, self.wholeRuns = [], []
        self.sim.backends.raw = RawBackends(self)
        self.edition, self.patch = 0, mock.patch.object(sim_fleet, "SimWorld", RawWorld)
        self.patch.start()
        self.sim.start_all()
        domains = sorted({node.me.domain for node in self.sim.nodes.values()})
        for number in range(replicas):
            name = f"i-{number}"
            zone = domains[number % len(domains)]
            self.replicas[name] = RawReplica(self, name, zone, slots)
        self.env.process(self.sim.found())
        self.env.run(until=6)
        self.configure(**fields)
        self.run(2)

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        self.patch.stop()

    def configure(self, isGone=False, **fields):
        """Adopt a layout with one forward of lots, or with none."""
        forward = {
            "host": HOST, "prefix": "/bulk/", "kind": "lot", "split": [[SERVICE, 1]],
            "rounds": 3, "goal_ms": 400, "due_ms": 8000, "retain_ms": 40_000, "most_tokens": 0,
            **fields,
        }
        service = {"kind": "raw", "warm_rate": 10, "warm_up_ms": 0, "engine": {"slots": 8}}
        command = {
            "do": "edition.adopt", "id": f"e{self.edition + 1}", "edition": self.edition + 1,
            "base_edition": self.edition, "whole": False, "services": {SERVICE: service},
            "forwards": {} if isGone else {FORWARD: forward}, "limits": None,
            "removed": {"forwards": [FORWARD]} if isGone else None,
            "extras": None,
        }
        self.edition += 1
        value, trouble = self.do(
            self.up("core"), lambda node: node.find("duty").submit("config", command, 8))
        assert trouble is None, trouble

    def run(self, seconds):
        """Let time pass."""
        self.env.run(until=self.env.now + seconds)

    def up(self, role):
        """Return a node of a role that is up."""
        return self.sim.chance.choice(self.sim.up_nodes(role))

    def begin(self, node, make):
        """Start a script on a node; return its process."""
        return self.env.process(self.sim.run_script(node, make(node)))

    def do(self, node, make, seconds=20):
        """Run a script on a node; return (its value, None) or (None, its trouble)."""
        process = self.begin(node, make)
        self.env.run(until=process | self.env.timeout(seconds))
        assert process.triggered, "the script did not end in time"
        return process.value

    def items(self, name, count, tokens=10, body=b"body"):
        """Return the items of a lot."""
        return [
            [f"{name}-{n}", f"/bulk/{n}?q=1", [["Model", "m"]], body, tokens]
            for n in range(count)]

    def hand_in(self, name, count, node=None, tokens=10):
        """Hand a lot in at an edge; return (answer, trouble)."""
        items = self.items(name, count, tokens)
        return self.do(
            node or self.up("edge"),
            lambda node: raw_front.accept_raw_lot(node, FORWARD, name, items))

    def read(self, name, start=0, hold=0.0, node=None):
        """Read results at an edge; return (answer, trouble)."""
        return self.do(
            node or self.up("edge"),
            lambda node: raw_front.read_raw_results(node, HOST, name, start, hold))

    def read_all(self, name, seconds=30):
        """Read until every item has a result; return the rows."""
        endTime, answer = self.env.now + seconds, None
        while self.env.now < endTime:
            answer, trouble = self.read(name)
            if trouble is None and answer["next"] == answer["items"]:
                return answer["results"]
            self.run(0.2)
        raise AssertionError(f"{name} has no result for every item: {answer}, {trouble}")

    def owner(self):
        """Return the node that owns the lots' part."""
        node = self.up("edge")
        part = raw_front.part_of_host(node, HOST)
        return self.sim.nodes[node.find("gossip").get(f"owner/{part}")["owner"]]

    def counted(self, name):
        """Return a counter summed over all nodes."""
        return sum(node.counts.get(name, 0) for node in self.sim.nodes.values())
