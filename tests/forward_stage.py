"""Shared setup of the forwarding tests: a node in a scripted runtime, replicas and responses."""

from proving.sim.scripted_runtime import ScriptedRuntime
from quillring.fleet import make_node
from quillring.forward import HeaderNames, Request
from quillring.forward.request_handler import forward_request
from quillring.kernel.bounds import Bounds
from quillring.nifty import Member

STREAM = {"content-type": "text/event-stream", "x-seal": "s", "x-inquiry": "q1"}
PLAIN_HEADERS = {"x-seal": "s", "x-inquiry": "q1"}
HEAD, PLAIN_HEAD = (0.01, (200, STREAM)), (0.01, (200, PLAIN_HEADERS))


def event(number):
    """Return the bytes of one server-sent event."""
    return b"id: %d\ndata: p%d\n\n" % (number, number)


def address(number):
    """Return the address of replica `number`."""
    return ("10.0.0.1", 9000 + number)


def make_stage(answers, kind="stream", resumable=True, attempts=2, replicas=2, **fields):
    """Return a scripted runtime and a node with one route and some replicas.

    `answers` maps replica numbers to scripted responses; `fields` override those of the route.
    """
    runtime = ScriptedRuntime({address(n): lists for n, lists in answers.items()})
    me = Member("edge-1", 1, "edge", "north", "10.0.0.9", 7000, 7001, "")
    node = make_node(me, runtime, [], Bounds())
    configuration = {
        "domains": {},
        "services": {"s": {"kind": "raw", "warm_rate": 8}},
        "forwards": {
            "f": {
                "host": "h",
                "prefix": "/a/",
                "kind": kind,
                "split": [["s", 1]],
                "rounds": attempts,
                "hold_ms": 5000,
                "goal_ms": 250,
                "urgency": 0,
                "resumable": resumable,
                "pause_ms": 300,
                **fields,
            }
        },
    }
    node.find("gossip").publish("layout", [1], [1, 1, configuration, []])
    for number in range(replicas):
        deliver_heartbeat(node, number)
    return runtime, node


def deliver_heartbeat(node, number, sequence=1, **fields):
    """Deliver a heartbeat of replica `number` to the node."""
    node.find("replicas").on_heartbeat(
        {
            "name": f"r{number}",
            "service": "s",
            "domain": "north",
            "address": f"10.0.0.1:{9000 + number}",
            "slots": 8,
            "state": "ready",
            "incarnation": 0,
            "sequence": sequence,
            **fields,
        }
    )


def request(header_names=None, **headers):
    """Return a POST request with default headers and the given ones."""
    pairs = [("Host", "h"), ("X-Inquiry", "q1"), ("X-Deadline-Ms", "4000"), *headers.items()]
    return Request(header_names or HeaderNames(), "POST", "/a/x?y=%20z", pairs, b"body")


def run(runtime, node, sent=None):
    """Forward a request to its end and return the result."""
    sent = sent or request()
    forward = node.find("forwards").find("h", sent.target)
    return runtime.run(forward_request(node, forward, sent, node.now()))


def stream_bytes(runtime):
    """Return all body bytes that were emitted to the client."""
    return b"".join(line if isinstance(line, bytes) else line[2] for line in runtime.emitted)


def same_for_both_replicas(*lists):
    """Return the same scripted responses for both replicas, whichever is chosen first."""
    return {0: [list(steps) for steps in lists], 1: [list(steps) for steps in lists]}
