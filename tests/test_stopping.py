"""Draining: a process reports not ready at once, serves for a while, then refuses new requests.

It must not accept a request late in the grace period, which could be cut off at the end.
"""

from unittest import mock

import pytest

from proving.sim.scripted_runtime import END
from quillring.forward import HeaderNames
from quillring.kernel.bounds import Bounds
from quillring.kernel.http_messages import HttpRequest
from quillring.verbs import process
from tests import platform_path  # noqa: F401
from tests.forward_stage import PLAIN_HEAD, make_stage, same_for_both_replicas

from system_edge import handle_client, handle_ready  # isort: skip

COMPLETE_RESPONSE = [PLAIN_HEAD, (0.01, b"ok"), (0, END)]
ACCEPTING_SECONDS, GRACE_SECONDS = 3.0, 8.0


def status_of(runtime, node, handle, method="POST", target="/a/x", **extra_headers):
    """Handle a request; return the (status, headers) of its response."""
    lines = [("Host", "h"), ("X-Inquiry", "q1"), *extra_headers.items()]
    raw = HttpRequest(method, target, lines, b"", True, node.now())
    status, headers, _ = runtime.run(handle(node, raw))
    return status, dict(headers)


class DrainObserver:
    """Records the responses of the node while `drain` sleeps."""

    def __init__(self, grace_seconds):
        self.runtime, self.node = make_stage(
            same_for_both_replicas(*[COMPLETE_RESPONSE] * 99), kind="repeatable", attempts=1
        )
        self.node.offer("dialect", HeaderNames())
        self.node.bounds = Bounds(grace_period=grace_seconds)
        self.node.requests_in_flight = 1
        self.observations = []

    def sleep(self, seconds):
        end_time = self.runtime.time + seconds
        while self.runtime.time < end_time - 0.001:
            self.observe()
            self.runtime.time += min(0.1, end_time - self.runtime.time)

    def observe(self):
        elapsed_seconds = round(self.runtime.time - 1000, 3)
        ready = status_of(self.runtime, self.node, handle_ready)[0]
        served, headers = status_of(self.runtime, self.node, handle_client)
        self.observations.append((elapsed_seconds, ready, served, "Retry-After" in headers))


@pytest.mark.parametrize("grace_seconds", [GRACE_SECONDS, 20.0])
def test_draining_process_is_not_ready_still_serves_then_refuses_with_retry_after(grace_seconds):
    observer = DrainObserver(grace_seconds)
    assert status_of(observer.runtime, observer.node, handle_ready)[0] == 200
    servers = [mock.Mock()]
    with mock.patch.object(process.gevent, "sleep", observer.sleep):
        process.drain(observer.node, servers)
    assert {ready for _, ready, _, _ in observer.observations} == {503}
    early_responses = {row[2:] for row in observer.observations if row[0] < ACCEPTING_SECONDS - 0.2}
    late_responses = {row[2:] for row in observer.observations if row[0] > ACCEPTING_SECONDS}
    assert early_responses == {(200, False)} and late_responses == {(503, True)}
    assert observer.observations[-1][0] > grace_seconds / 2 and servers[0].stop.called
