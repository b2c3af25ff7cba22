"""Calls to a node without a configuration, and concurrent orders whose answers may be lost."""

import json

import pytest

from proving.sim.scripted_runtime import ScriptedRuntime
from quillring.fleet import make_node
from quillring.forward import HeaderNames
from quillring.kernel.bounds import Bounds
from quillring.kernel.http_messages import HttpRequest
from quillring.nifty import Member
from tests.fleet_stage import SelfFoundingFleet
from tests.system_calls import FULL_CONFIGURATION, handle_ctl, replace_configuration

from system_edge import handle_client, handle_ready  # isort: skip

OUTCOME_UNKNOWN_STATUS = 503
CALLS = [
    ("POST", "/a/x"),
    ("GET", "/nowhere"),
    ("POST", "/bulk/1"),
    ("GET", "/lots/1?start_after=3"),
    ("DELETE", "/lots/1"),
    ("GET", "/items/1?id=2"),
]


@pytest.mark.parametrize("method, target", CALLS)
def test_a_node_without_a_configuration_answers_503_with_retry_after_and_is_not_ready(
    method, target
):
    runtime = ScriptedRuntime()
    node = make_node(
        Member("e", 1, "edge", "north", "10.0.0.9", 7000, 7001, ""), runtime, [], Bounds()
    )
    node.offer("dialect", HeaderNames())
    raw = HttpRequest(method, target, [("Host", "h"), ("X-Inquiry", "1")], b"{}", True, node.now())
    status, headers, _ = runtime.run(handle_client(node, raw))
    assert status == 503 and "Retry-After" in dict(headers)
    assert runtime.run(handle_ready(node, raw))[0] == 503


@pytest.mark.parametrize("seed", range(3))
def test_eight_concurrent_orders_are_all_accepted_and_acknowledged_when_resent(seed):
    stage = SelfFoundingFleet(10 + seed)
    assert replace_configuration(stage, "core-1", FULL_CONFIGURATION, 0)[0] == 200
    stage.run(1)
    amendment = json.dumps({"ver": 90, "upsert": {}, "remove": {}}).encode()
    orders = [(f"/Evacuate.Begin/z{n % 2}", {}, b"") for n in range(4)]
    orders += [(f"/Evacuate.Finish/y{n}", {}, b"") for n in range(2)]
    orders += [("/Config.Amend", {"base-version": str(FULL_CONFIGURATION["ver"])}, amendment)]
    orders += [("/Retire.Begin/2", {}, b'{"within_s": 10}')]
    assert len(orders) == 8
    attempts = []
    for _ in range(4):
        tasks = []
        for path, headers, body in orders:
            node = stage.sim.nodes[f"core-{stage.sim.chance.randint(1, 4)}"]
            coroutine = handle_ctl(node, "POST", path, headers, body)
            tasks.append(stage.env.process(stage.sim.run_coroutine(node, coroutine)))
        stage.run(1)
        attempts.append([task.value[0][0] for task in tasks])
    assert all(
        status in (200, OUTCOME_UNKNOWN_STATUS) for statuses in attempts for status in statuses
    )
    assert attempts[-1] == [200] * 8
