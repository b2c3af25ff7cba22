"""Beats of a replica that come late, doubled or out of order, at whatever node."""

import pytest

from tests.fleet_stage import SelfFoundingFleet
from tests.system_calls import BEAT, call

ID = "i-1"


def beat(stage, core, calls, **fields):
    path = f"/Replicas.Heartbeat/{ID}"
    return call(stage, core, "POST", path, {**BEAT, "calls": calls, **fields})[0]


def states(stage):
    return {node.find("replicas").find(ID).state for node in stage.sim.nodes.values()}


def test_a_late_beat_does_not_take_back_what_a_newer_sign_of_life_told():
    stage = SelfFoundingFleet(2)
    assert beat(stage, "core-1", 1, warm_left_ms=300) == 200
    stage.run(1)
    for calls in range(4, 40):
        assert beat(stage, f"core-{calls % 4 + 1}", calls) == 200
        stage.run(0.1)
    assert states(stage) == {"ready"}
    late = {"warm_left_ms": 60_000, "addr": "10.9.9.9:1"}
    assert beat(stage, "core-3", 20, **late) == 200
    stage.run(1)
    assert states(stage) == {"ready"}
    addresses = {n.find("replicas").find(ID).address for n in stage.sim.nodes.values()}
    assert addresses == {("10.128.0.9", 8080)}


@pytest.mark.parametrize("seed", [1, 2])
def test_a_replica_that_leaves_stays_away_whatever_comes_late(seed):
    stage = SelfFoundingFleet(seed)
    beat(stage, "core-1", 1)
    beat(stage, "core-2", 5)
    stage.run(0.5)
    assert beat(stage, "core-2", 9, state="draining") == 200
    late = [
        lambda core: beat(stage, core, 7),
        lambda core: beat(stage, core, 8, slots=9),
        lambda core: beat(stage, core, 10),
        lambda core: beat(stage, core, 9, state="draining"),
        lambda core: call(stage, core, "POST", f"/Replicas.Deregister/{ID}")[0],
        lambda core: beat(stage, core, 2000),
    ]
    stage.sim.chance.shuffle(late)
    for number, send in enumerate(late):
        assert send(f"core-{number % 4 + 1}") == 200
        stage.run(0.2)
        assert "ready" not in states(stage)
    stage.run(0.5)
    assert states(stage) <= {"leaving", "gone"}


def test_a_first_beat_that_comes_after_the_replicas_end_brings_nothing_back():
    stage = SelfFoundingFleet(3)
    stage.run(6)
    assert call(stage, "core-2", "POST", f"/Replicas.Deregister/{ID}")[0] == 200
    stage.run(0.5)
    for number, calls in enumerate((1, 2, 9)):
        assert beat(stage, f"core-{number + 1}", calls) == 200
        stage.run(0.5)
        replicas = [node.find("replicas") for node in stage.sim.nodes.values()]
        assert not [r for r in replicas if r.find(ID) and r.may_receive_requests(r.find(ID))]


def test_a_replica_that_gives_notice_first_is_gone_though_it_beats_on():
    stage = SelfFoundingFleet(4)
    beat(stage, "core-1", 1)
    beat(stage, "core-1", 5)
    stage.run(0.5)
    assert call(stage, "core-2", "POST", f"/Replicas.Deregister/{ID}")[0] == 200
    for calls in (4, 6, 7, 8, 30):
        assert beat(stage, f"core-{calls % 4 + 1}", calls) == 200
        stage.run(0.4)
    assert states(stage) == {"gone"}
