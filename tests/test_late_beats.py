"""Heartbeats of a replica that arrive late, twice or out of order, at any core."""

import pytest

from tests.fleet_stage import SelfFoundingFleet
from tests.system_calls import HEARTBEAT, call

REPLICA_ID = "i-1"


def send_heartbeat(stage, core, calls, **fields):
    """Send a heartbeat of the replica to a core; return the status of the answer."""
    path = f"/Replicas.Heartbeat/{REPLICA_ID}"
    return call(stage, core, "POST", path, {**HEARTBEAT, "calls": calls, **fields})[0]


def replica_states(stage):
    """Return the set of states that the nodes have for the replica."""
    return {node.find("replicas").find(REPLICA_ID).state for node in stage.sim.nodes.values()}


def test_a_late_heartbeat_does_not_override_a_newer_one():
    stage = SelfFoundingFleet(2)
    assert send_heartbeat(stage, "core-1", 1, warm_left_ms=300) == 200
    stage.run(1)
    for calls in range(4, 40):
        assert send_heartbeat(stage, f"core-{calls % 4 + 1}", calls) == 200
        stage.run(0.1)
    assert replica_states(stage) == {"ready"}
    late_fields = {"warm_left_ms": 60_000, "addr": "10.9.9.9:1"}
    assert send_heartbeat(stage, "core-3", 20, **late_fields) == 200
    stage.run(1)
    assert replica_states(stage) == {"ready"}
    addresses = {n.find("replicas").find(REPLICA_ID).address for n in stage.sim.nodes.values()}
    assert addresses == {("10.128.0.9", 8080)}


@pytest.mark.parametrize("seed", [1, 2])
def test_a_draining_replica_does_not_become_ready_again_by_late_calls(seed):
    stage = SelfFoundingFleet(seed)
    send_heartbeat(stage, "core-1", 1)
    send_heartbeat(stage, "core-2", 5)
    stage.run(0.5)
    assert send_heartbeat(stage, "core-2", 9, state="draining") == 200
    late_calls = [
        lambda core: send_heartbeat(stage, core, 7),
        lambda core: send_heartbeat(stage, core, 8, slots=9),
        lambda core: send_heartbeat(stage, core, 10),
        lambda core: send_heartbeat(stage, core, 9, state="draining"),
        lambda core: call(stage, core, "POST", f"/Replicas.Deregister/{REPLICA_ID}")[0],
        lambda core: send_heartbeat(stage, core, 2000),
    ]
    stage.sim.chance.shuffle(late_calls)
    for number, send in enumerate(late_calls):
        assert send(f"core-{number % 4 + 1}") == 200
        stage.run(0.2)
        assert "ready" not in replica_states(stage)
    stage.run(0.5)
    assert replica_states(stage) <= {"leaving", "gone"}


def test_a_replica_deregistered_before_its_first_heartbeat_receives_no_requests():
    stage = SelfFoundingFleet(3)
    stage.run(6)
    assert call(stage, "core-2", "POST", f"/Replicas.Deregister/{REPLICA_ID}")[0] == 200
    stage.run(0.5)
    for number, calls in enumerate((1, 2, 9)):
        assert send_heartbeat(stage, f"core-{number + 1}", calls) == 200
        stage.run(0.5)
        replicas = [node.find("replicas") for node in stage.sim.nodes.values()]
        assert not [
            r for r in replicas if r.find(REPLICA_ID) and r.may_receive_requests(r.find(REPLICA_ID))
        ]


def test_a_deregistered_replica_stays_gone_although_its_heartbeats_continue():
    stage = SelfFoundingFleet(4)
    send_heartbeat(stage, "core-1", 1)
    send_heartbeat(stage, "core-1", 5)
    stage.run(0.5)
    assert call(stage, "core-2", "POST", f"/Replicas.Deregister/{REPLICA_ID}")[0] == 200
    for calls in (4, 6, 7, 8, 30):
        assert send_heartbeat(stage, f"core-{calls % 4 + 1}", calls) == 200
        stage.run(0.4)
    assert replica_states(stage) == {"gone"}
