"""What a replica is handed of a request's time, and when a request has its final answer."""

import contextlib

import pytest

from proving.sim.scripted_runtime import BREAK, END, SILENT, STALE
from quillring.forward import HeaderNames, Request
from quillring.forward.request_handler import forward_request
from quillring.kernel.errors import QuillringError
from tests.forward_stage import HEAD, PLAIN_HEAD, both, event, make

SHED = [(0.3, (503, {"x-inquiry": "q1", "x-not-run": "1"}))]
TRICKLE = [HEAD, *((0.29, event(n)) for n in range(60)), (0, END)]
FLOOD = [HEAD, *((0.0005, event(n)) for n in range(60_000)), (0, END)]
DRIPS = [PLAIN_HEAD, *((0.29, b"x") for _ in range(60)), (0, END)]
WAYS = {
    "silent": ("repeatable", [[(99, SILENT)]]),
    "silent once": ("once", [[(99, SILENT)]]),
    "late head": ("repeatable", [[(4.99, (200, {})), (0, END)]]),
    "silent body": ("repeatable", [[PLAIN_HEAD, (99, SILENT)]]),
    "dripping body": ("repeatable", [DRIPS]),
    "dripping body once": ("once", [DRIPS]),
    "dead connections": ("repeatable", [[(0.9, STALE)]]),
    "broken off late": ("repeatable", [[(1.4, BREAK)]]),
    "refusals": ("once", [SHED]),
    "trickling stream": ("stream", [TRICKLE]),
    "flooding stream": ("stream", [FLOOD]),
    "stalled stream": ("stream", [[HEAD, (0.01, event(0)), (99, SILENT)]]),
    "broken stream": ("stream", [[HEAD, (0.01, event(0)), (1.4, BREAK)]]),
}
MARGIN = 0.5


def asked(deadline_ms):
    pairs = [("Host", "h"), ("X-Inquiry", "q1")]
    pairs += [("X-Deadline-Ms", deadline_ms)] if deadline_ms is not None else []
    return Request(HeaderNames(), "POST", "/a/x", pairs, b"body")


def given_ms(data):
    """Return the value of each deadline that a sending carries."""
    lines = data.partition(b"\r\n\r\n")[0].lower().split(b"\r\n")
    return [int(line[14:]) for line in lines if line.startswith(b"x-deadline-ms:")]


@pytest.mark.parametrize("resumable", [True, False])
@pytest.mark.parametrize("deadline_ms", [None, "700", "4000", "90000", "soon", "-1", ""])
@pytest.mark.parametrize("way", WAYS)
def test_no_sending_is_given_more_than_is_left_and_the_end_comes_in_time(
    way, deadline_ms, resumable
):
    kind, steps = WAYS[way]
    runtime, node = make(both(*steps * 6), kind=kind, attempts=3, replicas=2, resumable=resumable)
    arrived_at, sendings = node.now(), []
    original = runtime._send

    def send(effect):
        sendings.append((runtime.time, given_ms(effect.data)))
        return original(effect)

    runtime._send = send
    sent = asked(deadline_ms)
    forward = node.find("forwards").find("h", sent.target)
    with contextlib.suppress(QuillringError):
        runtime.run(forward_request(node, forward, sent, arrived_at))
    seconds = 5.0
    if deadline_ms is not None and deadline_ms.isdigit():
        seconds = min(seconds, int(deadline_ms) / 1000)
    assert node.now() - arrived_at < seconds + MARGIN
    assert sendings and all(len(values) == 1 for _, values in sendings)
    for at, (milliseconds,) in sendings:
        assert at + milliseconds / 1000 <= arrived_at + seconds + 0.001
