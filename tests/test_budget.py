"""Deadlines: the time left that is sent to replicas, and the time of the final response."""

import contextlib

import pytest

from proving.sim.scripted_runtime import BREAK, END, SILENT, STALE
from quillring.forward import HeaderNames, Request
from quillring.forward.request_handler import forward_request
from quillring.kernel.errors import QuillringError
from tests.forward_stage import HEAD, PLAIN_HEAD, event, make_stage, same_for_both_replicas

NOT_RUN = [(0.3, (503, {"x-inquiry": "q1", "x-not-run": "1"}))]
SLOW_STREAM = [HEAD, *((0.29, event(n)) for n in range(60)), (0, END)]
FAST_STREAM = [HEAD, *((0.0005, event(n)) for n in range(60_000)), (0, END)]
SLOW_BODY = [PLAIN_HEAD, *((0.29, b"x") for _ in range(60)), (0, END)]
SCENARIOS = {
    "silent": ("repeatable", [[(99, SILENT)]]),
    "silent once": ("once", [[(99, SILENT)]]),
    "late head": ("repeatable", [[(4.99, (200, {})), (0, END)]]),
    "silent body": ("repeatable", [[PLAIN_HEAD, (99, SILENT)]]),
    "dripping body": ("repeatable", [SLOW_BODY]),
    "dripping body once": ("once", [SLOW_BODY]),
    "dead connections": ("repeatable", [[(0.9, STALE)]]),
    "broken off late": ("repeatable", [[(1.4, BREAK)]]),
    "refusals": ("once", [NOT_RUN]),
    "trickling stream": ("stream", [SLOW_STREAM]),
    "flooding stream": ("stream", [FAST_STREAM]),
    "stalled stream": ("stream", [[HEAD, (0.01, event(0)), (99, SILENT)]]),
    "broken stream": ("stream", [[HEAD, (0.01, event(0)), (1.4, BREAK)]]),
}
MARGIN_SECONDS = 0.5


def request_with_deadline(deadline_ms):
    pairs = [("Host", "h"), ("X-Inquiry", "q1")]
    pairs += [("X-Deadline-Ms", deadline_ms)] if deadline_ms is not None else []
    return Request(HeaderNames(), "POST", "/a/x", pairs, b"body")


def deadline_header_values(data):
    """Return the value, in milliseconds, of each deadline header of a serialized request."""
    lines = data.partition(b"\r\n\r\n")[0].lower().split(b"\r\n")
    return [int(line[14:]) for line in lines if line.startswith(b"x-deadline-ms:")]


@pytest.mark.parametrize("resumable", [True, False])
@pytest.mark.parametrize("deadline_ms", [None, "700", "4000", "90000", "soon", "-1", ""])
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_deadline_sent_to_a_replica_fits_the_time_left_and_the_request_ends_in_time(
    scenario, deadline_ms, resumable
):
    kind, steps = SCENARIOS[scenario]
    runtime, node = make_stage(
        same_for_both_replicas(*steps * 6), kind=kind, attempts=3, replicas=2, resumable=resumable
    )
    arrived_at, sent_requests = node.now(), []
    original_send = runtime._send

    def send(effect):
        sent_requests.append((runtime.time, deadline_header_values(effect.data)))
        return original_send(effect)

    runtime._send = send
    sent = request_with_deadline(deadline_ms)
    forward = node.find("forwards").find("h", sent.target)
    with contextlib.suppress(QuillringError):
        runtime.run(forward_request(node, forward, sent, arrived_at))
    seconds = 5.0
    if deadline_ms is not None and deadline_ms.isdigit():
        seconds = min(seconds, int(deadline_ms) / 1000)
    assert node.now() - arrived_at < seconds + MARGIN_SECONDS
    assert sent_requests and all(len(values) == 1 for _, values in sent_requests)
    for sent_at, (milliseconds,) in sent_requests:
        assert sent_at + milliseconds / 1000 <= arrived_at + seconds + 0.001
