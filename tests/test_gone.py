"""A client that disconnects leaves no request, connection or slot in use."""

import gevent
import pytest

from proving.sim.scripted_runtime import BREAK, END, SILENT, STALE
from quillring.forward.request_handler import forward_request
from quillring.kernel.effects import SendToClient
from quillring.kernel.errors import BackendError, QuillringError
from tests.forward_stage import HEAD, PLAIN_HEAD, event, make_stage, request, same_for_both_replicas
from tests.test_raw_clients import PausedStreamHandler
from tests.test_raw_server import Client, serve  # noqa: F401

NOT_RUN_RESPONSE = [(0.01, (503, {"x-inquiry": "q1", "x-not-run": "1"}))]
INTERRUPTED_STREAM = [HEAD, (0.01, event(0) + b"id: 1\nda"), (0.01, BREAK)]
SCENARIOS = {
    "whole": ("repeatable", [[PLAIN_HEAD, (0.01, b"o"), (0.01, b"k"), (0, END)]]),
    "silent": ("repeatable", [[(9, SILENT)]]),
    "between tries": ("repeatable", [[PLAIN_HEAD, (0.01, BREAK)]]),
    "dead connection": ("repeatable", [[(0, STALE)], [PLAIN_HEAD, (0.01, b"ok"), (0, END)]]),
    "refused": ("repeatable", [NOT_RUN_RESPONSE]),
    "resumed stream": ("stream", [INTERRUPTED_STREAM]),
    "stalled stream": ("stream", [[HEAD, (0.01, event(0)), (9, SILENT)]]),
    "no replica": ("stream", []),
}


def run_until(runtime, coroutine, stop_at):
    """Run a coroutine up to its effect number `stop_at`; return whether it was reached."""
    value, error = None, None
    for count in range(stop_at + 1):
        try:
            effect = coroutine.throw(error) if error else coroutine.send(value)
        except (StopIteration, QuillringError):
            return False
        value, error = None, None
        if count == stop_at:
            return True
        try:
            value = runtime.perform(effect)
        except BackendError as raised_error:
            error = raised_error
    return False


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_client_disconnecting_at_any_point_leaks_no_connection_and_no_slot(scenario):
    kind, steps = SCENARIOS[scenario]
    for stop_at in range(200):
        answers = same_for_both_replicas(*steps) if steps else {}
        runtime, node = make_stage(answers, kind=kind, attempts=2, replicas=2 if steps else 0)
        sent = request()
        forward = node.find("forwards").find("h", sent.target)
        coroutine = forward_request(node, forward, sent, node.now())
        was_reached = run_until(runtime, coroutine, stop_at)
        coroutine.close()
        assert all(handle.is_closed for handle in runtime.handles)
        assert all(
            health.in_flight == 0 for health in node.find("placement").health_by_replica.values()
        )
        assert all(
            health.work.wait_seconds(runtime.time) == 0 and not health.expected_first_token_times
            for health in node.find("placement").health_by_replica.values()
        )
        if not was_reached:
            break
    assert not was_reached and stop_at > 0


@pytest.mark.parametrize(
    "trailing_bytes",
    [b"", b"Connection: Upgrade\r\nUpgrade: x\r\n", b"NONSENSE"],
    ids=["nothing", "upgrade headers", "malformed request"],
)
def test_client_disconnect_cancels_its_request_whatever_bytes_follow_it(serve, trailing_bytes):  # noqa: F811
    stream = PausedStreamHandler()
    client = Client(serve(stream.handle))
    is_header_line = trailing_bytes.endswith(b"\r\n")
    client.send(
        b"GET /stream HTTP/1.1\r\nHost: h\r\n"
        + (trailing_bytes if is_header_line else b"")
        + b"\r\n"
    )
    assert stream.has_begun.wait(5)
    if not is_header_line:
        client.send(trailing_bytes + b"\r\n\r\n" if trailing_bytes else b"")
    for _ in range(20):
        gevent.idle()
    client.sock.close()
    assert stream.has_ended.wait(5)


def test_request_before_a_malformed_one_is_still_answered(serve):  # noqa: F811
    def handle(node, raw):
        yield SendToClient((200, [], b"one"))

    client = Client(serve(handle))
    client.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\nNONSENSE\r\n\r\n")
    response = client.read()
    assert response.startswith(b"HTTP/1.1 200") and b"HTTP/1.1 400" in response
