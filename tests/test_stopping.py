"""A machine told to stop: not ready at once, it serves on, and takes nothing that it may cut."""

from unittest import mock

import pytest

from proving.sim.scripted_runtime import END
from quillring.forward import HeaderNames
from quillring.kernel.bounds import Bounds
from quillring.kernel.http_messages import HttpRequest
from quillring.verbs import process
from tests import platform_path  # noqa: F401
from tests.forward_stage import PLAIN_HEAD, both, make_stage

from system_edge import handle_client, handle_ready  # isort: skip

WHOLE = [PLAIN_HEAD, (0.01, b"ok"), (0, END)]
LATEST_TAKEN, GRACE = 3.0, 8.0


def status_of(runtime, node, handle, method="POST", target="/a/x", **more):
    lines = [("Host", "h"), ("X-Inquiry", "q1"), *more.items()]
    raw = HttpRequest(method, target, lines, b"", True, node.now())
    status, headers, _ = runtime.run(handle(node, raw))
    return status, dict(headers)


class Watch:
    """Notes what the machine answers while `drain` lets time pass."""

    def __init__(self, grace):
        self.runtime, self.node = make_stage(both(*[WHOLE] * 99), kind="repeatable", attempts=1)
        self.node.offer("dialect", HeaderNames())
        self.node.bounds = Bounds(grace_period=grace)
        self.node.under_way = 1
        self.seen = []

    def sleep(self, seconds):
        end_time = self.runtime.time + seconds
        while self.runtime.time < end_time - 0.001:
            self.look()
            self.runtime.time += min(0.1, end_time - self.runtime.time)

    def look(self):
        at = round(self.runtime.time - 1000, 3)
        ready = status_of(self.runtime, self.node, handle_ready)[0]
        served, headers = status_of(self.runtime, self.node, handle_client)
        self.seen.append((at, ready, served, "Retry-After" in headers))


@pytest.mark.parametrize("grace", [GRACE, 20.0])
def test_a_stopping_machine_is_not_ready_at_once_serves_on_and_then_refuses_with_a_promise(grace):
    watch = Watch(grace)
    assert status_of(watch.runtime, watch.node, handle_ready)[0] == 200
    servers = [mock.Mock()]
    with mock.patch.object(process.gevent, "sleep", watch.sleep):
        process.drain(watch.node, servers)
    assert {ready for _, ready, _, _ in watch.seen} == {503}
    early = {row[2:] for row in watch.seen if row[0] < LATEST_TAKEN - 0.2}
    late = {row[2:] for row in watch.seen if row[0] > LATEST_TAKEN}
    assert early == {(200, False)} and late == {(503, True)}
    assert watch.seen[-1][0] > grace / 2 and servers[0].stop.called
