"""Simulated replicas: the fake replica logic with simulated time, network and crashes."""

from urllib.parse import parse_qsl

from proving.tools.fake_replica_logic import (
    FakeReplica,
    piece_count,
    piece_text,
    seat_confirmation,
    tile_content,
)
from quillring.kernel.effects import Signal
from quillring.kernel.errors import BackendError, NotSent, QuillringError

PIECE_SECONDS = 0.03


class SimHandle:
    """The client side of an open streamed response."""

    def __init__(self, status):
        self.status = status
        self.lines = []
        self.is_closed = False
        self.signal = Signal()

    def put(self, line):
        """Add a line and wake the reader."""
        self.lines.append(line)
        self.signal.set()

    def close(self):
        """Close the connection and wake the reader."""
        self.is_closed = True
        self.signal.set()


class SimReplica:
    """One replica process.

    `is_dark` makes it unreachable; `is_frozen` lets it accept connections without answering.
    `mixes_up` sends lines of another inquiry, `breaks_off` ends streams halfway as if complete, and
    `is_noisy` puts the run and position into each piece, so that no two runs give the same text.
    """

    def __init__(self, sim, row, incarnation):
        self.sim = sim
        self.row = row
        host, port = row["address"].rsplit(":", 1)
        self.address = (host, int(port))
        self.logic = FakeReplica(row["name"], row["slots"], row.get("warm", 3.0), sim.env.now)
        self.logic.incarnation = incarnation
        self.is_dead = False
        self.is_dark = False
        self.mixes_up = False
        self.breaks_off = False
        self.is_noisy = False
        self.is_frozen = False
        self.handles = []
        self.sequence = 0
        sim.env.process(self._send_heartbeats())

    def _send_heartbeats(self):
        rng = self.sim.chance
        while not self.is_dead:
            if not self.is_frozen:
                self.logic.update_concurrency_limit(self.sim.env.now)
                self.send_heartbeat()
            yield self.sim.env.timeout(0.4 * rng.uniform(0.9, 1.1))

    def send_heartbeat(self):
        """Send a heartbeat to the first node, in random order, that accepts it."""
        if self.is_dark or self.is_dead:
            return
        self.sequence += 1
        body = self.logic.heartbeat_body(
            self.row["service"],
            self.row["domain"],
            self.row["address"],
            self.sequence,
        )
        nodes = [n for n in self.sim.nodes.values() if self.sim.is_up(n)]
        self.sim.chance.shuffle(nodes)
        for node in nodes:
            if self.sim.net.passes(self.address, node.me.address):
                try:
                    node.find("replicas").on_heartbeat(body)
                except QuillringError:
                    continue
                return

    def leave(self):
        """Announce that the replica leaves; requests in progress are finished."""
        self.logic.leave(self.sim.env.now)
        self.send_heartbeat()

    def kill(self):
        """End the process at once."""
        self.is_dead = True


class Backends:
    """The HTTP interface of all replicas, by address."""

    def __init__(self, sim):
        self.sim = sim
        self.replicas = {}

    def _find(self, runtime, effect):
        """Process: return the replica at the effect's address; NotSent if it can't be reached."""
        replica = self.replicas.get(tuple(effect.address))
        yield self.sim.env.timeout(self.sim.net.delay())
        if replica is None or replica.is_dead:
            raise NotSent(reason="refused")
        if replica.is_frozen:
            yield from self._wait_frozen(replica, effect.seconds)
        if replica.is_dark or not self.sim.net.passes(runtime.address, replica.address):
            yield self.sim.env.timeout(min(1.0, max(0, effect.seconds)))
            raise NotSent(reason="connect")
        return replica

    def _wait_frozen(self, replica, seconds):
        """Process: wait until a replica thaws, whose machine accepts connections meanwhile."""
        end_time = self.sim.env.now + max(0, seconds)
        while replica.is_frozen:
            if self.sim.env.now >= end_time:
                raise BackendError(reason="time")
            yield self.sim.env.timeout(0.05)

    def _start(self, replica, name, prefix, work, parameters):
        """Start a request; return the seconds of its prefill, or None if the replica refuses it."""
        if parameters["incarnation"] != str(replica.logic.incarnation):
            self.sim.history.count("former_starts")
            return None
        seconds = replica.logic.begin(name, prefix, self.sim.env.now)
        if seconds is not None:
            self.sim.history.ran(work, replica, name)
        return seconds

    def fetch(self, runtime, effect):
        """Process: serve a tile, a seat confirmation or a stop; return (status, body)."""
        replica = yield from self._find(runtime, effect)
        path, _, query = effect.path.partition("?")
        parameters = dict(parse_qsl(query))
        name = parameters["inquiry"]
        if path == "/v1/stop":
            for request_name, handle in replica.handles:
                if request_name.startswith(effect.body["inquiries_of"]):
                    handle.close()
            return 200, {"stopped": True}
        work = effect.body["key"] if effect.body else path
        if self._start(replica, name, "", work, parameters) is None:
            return 503, {"trouble": "busy"}
        yield self.sim.env.timeout(0.003)
        replica.logic.finish()
        if replica.is_dead or replica.is_dark:
            yield self.sim.env.timeout(0 if replica.is_dead else max(0, effect.seconds))
            raise BackendError(reason="broken off")
        if effect.body:
            return 200, {"inquiry": name, "confirmed": seat_confirmation(work, effect.body["seat"])}
        return 200, {"inquiry": name, "tile": tile_content(path)}

    def open(self, runtime, effect):
        """Process: start a generation; return the handle of its streamed response."""
        replica = yield from self._find(runtime, effect)
        body = effect.body
        parameters = dict(parse_qsl(effect.path.partition("?")[2]))
        seconds = self._start(replica, body["inquiry"], body["prefix"], body["prompt"], parameters)
        if seconds is None:
            return SimHandle(503)
        handle = SimHandle(200)
        replica.handles.append((body["inquiry"], handle))
        self.sim.env.process(self._generate(replica, handle, body, seconds))
        return handle

    def _generate(self, replica, handle, body, seconds):
        """Process: stream the pieces of an answer to `handle` after `seconds` of prefill."""
        yield self.sim.env.timeout(seconds)
        count = piece_count(body["prompt"], body["max_pieces"])
        number = body["from"]
        while not handle.is_closed and not replica.is_dead and number < count:
            yield self.sim.env.timeout(PIECE_SECONDS)
            while replica.is_frozen:
                yield self.sim.env.timeout(0.05)
            number += 1
            if replica.is_dead or replica.is_dark:
                break
            handle.put(self._line(replica, body, number))
            if replica.breaks_off and number >= count // 2:
                handle.put({"inquiry": body["inquiry"], "end": True, "pieces": count})
                break
        replica.logic.finish()
        replica.handles.remove((body["inquiry"], handle))
        self.sim.history.stopped(body["prompt"], replica)
        if number == count and not replica.is_dark and not replica.is_dead:
            handle.put({"inquiry": body["inquiry"], "end": True, "pieces": count})
        elif replica.is_dead:
            handle.close()

    def _line(self, replica, body, number):
        """Return the line with piece `number`, altered if the replica is faulty or noisy."""
        name, piece = body["inquiry"], piece_text(body["prompt"], number)
        if replica.mixes_up and number % 3 == 0:
            name, piece = "another-inquiry", "another sender's piece "
        if replica.is_noisy:
            run = len(self.sim.history.runs[body["prompt"]])
            piece = f"run {body.setdefault('run', run)} from {body['from']} at {number}"
        return {"inquiry": name, "n": number, "piece": piece}

    def next(self, runtime, effect):
        """Process: return the next line, or None when the stream was closed."""
        handle = effect.handle
        if not handle.lines:
            handle.signal = Signal()
            if not handle.is_closed:
                yield from runtime.wait(handle.signal, effect.seconds)
        if handle.lines:
            return handle.lines.pop(0)
        if handle.is_closed:
            return None
        raise BackendError(reason="stall")
