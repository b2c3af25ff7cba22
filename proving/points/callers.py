"""Scenarios about forwarding: surplus answers on reused connections, resets and timeouts."""

import random

from proving.sim.scripted_runtime import BREAK, SILENT, STALE, ScriptedAnswer, ScriptedRuntime
from proving.tools.scripted_connection import END, RESET, FakeConnections
from quillring.fleet import make_node
from quillring.forward import Request
from quillring.forward.request_handler import forward_request
from quillring.forward.route_table import ForwardRoute
from quillring.kernel.bounds import Bounds
from quillring.kernel.connection_pool import ConnectionPool
from quillring.kernel.effects import SendRequest
from quillring.kernel.errors import BackendError, OutcomeUnknown, QuillringError, Refused
from quillring.kernel.http_client import ClientExchange, send_request
from quillring.nifty import Member

ADDRESS = ("10.0.0.1", 9000)
ID_HEADER = "request-id"
EXCHANGE_COUNT, REQUEST_COUNT = 600, 400
MAX_ATTEMPTS, REPLICA_COUNT = 2, 4
START_TIME, DEADLINE_SECONDS, DEADLINE_TOLERANCE_SECONDS = 1000.0, 4, 0.25


def surplus_answers(seed):
    """Replicas send late duplicates, answers to other requests and truncated answers.

    Connections are pooled, so a surplus answer may still be unread when the next request reuses
    its connection. No request may receive the answer to another one.
    """
    rng, wire = random.Random(seed), FakeConnections()
    wire.start()
    try:
        return _exchange_all(rng, wire)
    finally:
        wire.stop()


def _exchange_all(rng, wire):
    """Make the exchanges one after another; return (violations, figures)."""
    violations, figures, sent_by_socket = [], {"whole": 0, "broken": 0}, {}
    for number in range(EXCHANGE_COUNT):
        name = f"r{number if rng.random() < 0.8 else rng.randrange(number + 1)}"
        expected_body = b"answer to sending %d" % number
        request = f"POST / HTTP/1.1\r\nRequest-Id: {name}\r\nContent-Length: 0\r\n\r\n".encode()
        may_reuse = rng.random() < 0.9
        handle = send_request(SendRequest(ADDRESS, request, 1, may_reuse, (ID_HEADER, name)))
        sock = handle.connection.sock
        if not may_reuse and len(sock.written) > 1:
            violations.append(f"exchange {number} was sent on a reused connection")
        answer = answer_bytes(name, expected_body)
        previous_answers = sent_by_socket.setdefault(sock, [])
        _answer_with_faults(rng, sock, answer, previous_answers)
        previous_answers.append(answer)
        received = _read(handle)
        figures["broken" if received is None else "whole"] += 1
        if received is not None and received != expected_body:
            violations.append(f"exchange {number} got {received!r}")
        if rng.random() < 0.2 and not sock.is_closed:
            sock.put(rng.choice(previous_answers))
    return violations, {**figures, "connections": len(wire.sockets)}


def _answer_with_faults(rng, sock, answer, previous_answers):
    """Send the expected answer, at random preceded by surplus answers or truncated.

    `previous_answers` are the answers sent on this socket so far.
    """
    cuts = [rng.randrange(200) for _ in range(rng.randrange(3))]
    if previous_answers and rng.random() < 0.3:
        sock.put(rng.choice(previous_answers), cuts)
    if rng.random() < 0.1:
        sock.put(b"HTTP/1.1 100 Continue\r\n\r\n" + answer_bytes("foreign", b"of another"), cuts)
    if rng.random() < 0.1:
        sock.put(answer[: rng.randrange(len(answer))])
        sock.incoming.append(rng.choice([END, RESET]))
        return
    sock.put(answer, cuts)


def answer_bytes(name, body):
    """Return a complete HTTP answer that carries the request id `name`."""
    head = f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def _read(handle):
    """Return the body of an answer, or None if the answer is incomplete."""
    parts = []
    try:
        handle.read_head(1)
        while (part := handle.read_body_part(1)) is not None:
            parts.append(part)
    except BackendError:
        return None
    finally:
        handle.close()
    return b"".join(parts)


class FaultyRuntime(ScriptedRuntime):
    """A scripted runtime whose replicas fail in a randomly chosen way on each send."""

    def __init__(self, seed):
        super().__init__(seed=seed)
        self.rng = random.Random(seed)
        self.may_have_run = []

    def _send(self, effect):
        script = self.rng.choice(FAULT_SCRIPTS)
        self.sent.append((effect.address, effect.data, effect.may_reuse))
        if script is NOT_RUN_SCRIPT:
            return ScriptedAnswer(self, script)
        self.may_have_run.append((tuple(effect.address), effect.may_reuse))
        return ScriptedAnswer(
            self, STALE_SCRIPT if effect.may_reuse and script is RESET_SCRIPT else script
        )


SEALED = {"x-seal": "s", "x-inquiry": "q"}
STREAM = {**SEALED, "content-type": "text/event-stream"}
EVENT = b"id: 0\ndata: p\n\n"
NOT_RUN_SCRIPT = [(0.01, (503, {"x-inquiry": "q", "x-not-run": "1"}))]
RESET_SCRIPT, STALE_SCRIPT = [(0.01, BREAK)], [(0.01, STALE)]
KINDS = [("once", False), ("stream", False), ("stream", True), ("repeatable", False)]
FAULT_SCRIPTS = [
    NOT_RUN_SCRIPT,
    RESET_SCRIPT,
    [(9, SILENT)],
    [(0.01, (503, SEALED)), (0, None)],
    [(0.01, (200, SEALED)), (0.01, b"part"), (0.01, BREAK)],
    [(0.01, (200, STREAM)), (0.01, EVENT), (0.01, BREAK)],
    [(0.01, (200, STREAM)), (0.01, EVENT), (9, SILENT)],
    [(0.01, (200, SEALED)), (0.01, b"whole"), (0, None)],
]


def resets_and_silences(seed):
    """Replicas reset connections, stop answering or refuse, for requests of every kind.

    A request that may not repeat must reach a replica at most once, on a new connection.
    """
    rng, violations, outcomes = random.Random(seed), [], {}
    for number in range(REQUEST_COUNT):
        kind, is_resumable = rng.choice(KINDS)
        runtime = FaultyRuntime(rng.random())
        outcome = _forward(runtime, kind, is_resumable)
        runs = runtime.may_have_run
        is_unrepeatable = kind == "once" or (kind == "stream" and not is_resumable)
        if is_unrepeatable and len(runs) > 1:
            violations.append(f"request {number} ({kind}) may have run {len(runs)} times")
        if is_unrepeatable and any(may_reuse for _, may_reuse in runs):
            violations.append(f"request {number} ({kind}) was sent on a reused connection")
        if is_unrepeatable and runs and outcome == "refused":
            violations.append(f"request {number} ({kind}) may have run and was refused")
        if len({address for address, _ in runs}) > MAX_ATTEMPTS:
            violations.append(f"request {number} ({kind}) ran on too many replicas")
        if runtime.now() > START_TIME + DEADLINE_SECONDS + DEADLINE_TOLERANCE_SECONDS:
            violations.append(f"request {number} ({kind}) ended after its deadline")
        name = f"{'once' if is_unrepeatable else 'repeatable'}/{outcome}"
        outcomes[name] = outcomes.get(name, 0) + 1
    return violations, dict(sorted(outcomes.items()))


def _forward(runtime, kind, is_resumable):
    """Forward one request; return the outcome that its client sees."""
    node = make_node(
        Member("edge-1", 1, "edge", "north", "10.0.0.9", 7000, 7001, ""), runtime, [], Bounds()
    )
    node.find("gossip").publish("layout", [1], [1, 1, _configuration(kind, is_resumable), []])
    for number in range(REPLICA_COUNT):
        node.find("replicas").on_heartbeat(_heartbeat(number))
    pairs = [("Host", "h"), ("X-Inquiry", "q"), ("X-Deadline-Ms", str(DEADLINE_SECONDS * 1000))]
    request = Request(node.find("dialect"), "POST", "/a/x", pairs, b"")
    try:
        answer = runtime.run(
            forward_request(node, node.find("forwards").find("h", "/a/x"), request, START_TIME)
        )
    except Refused:
        return "refused"
    except OutcomeUnknown:
        return "outcome unknown"
    except QuillringError as error:
        return error.kind
    return "complete" if answer is None else str(answer[0])


def _configuration(kind, is_resumable):
    forward = {
        "host": "h",
        "prefix": "/a/",
        "kind": kind,
        "split": [["s", 1]],
        "rounds": MAX_ATTEMPTS,
        "hold_ms": 5000,
        "goal_ms": 250,
        "resumable": is_resumable,
        "pause_ms": 300,
    }
    services = {"s": {"kind": "raw", "warm_rate": 8}}
    return {"domains": {}, "services": services, "forwards": {"f": forward}}


def _heartbeat(number):
    return {
        "name": f"r{number}",
        "service": "s",
        "domain": "north",
        "address": f"10.0.0.1:{9000 + number}",
        "slots": 8,
        "state": "ready",
        "incarnation": 0,
        "sequence": 1,
    }


def take_any(pool, address, response_id=None):
    """Replaces the guard: an idle connection is reused even with unread data or the same id."""
    idle_connections = pool.idle.get(address)
    return idle_connections.pop() if idle_connections else None


ALWAYS = property(lambda forward: True)
POINTS = [
    (
        "an answer never reaches another caller",
        surplus_answers,
        [
            (ClientExchange, "_bears_our_id", lambda answer: True),
            (ConnectionPool, "take", take_any),
        ],
    ),
    (
        "what may not repeat is sent once through resets and silences",
        resets_and_silences,
        [(ForwardRoute, "is_retryable", ALWAYS)],
    ),
]
