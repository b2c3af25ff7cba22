import random

import pytest

from proving.sim.disk import SimDisk
from proving.sim.scripted_runtime import ScriptedRuntime
from quillring.edge.replica_snapshot import ReplicaSnapshot
from quillring.fleet import make_node
from quillring.forward.request_handler import check_ready
from quillring.kernel.bounds import Bounds
from quillring.kernel.errors import Refused
from quillring.nifty import Member
from tests.forward_stage import beat, make, request


def test_a_cold_replica_bears_its_rate_over_the_whole_fleet():
    runtime, node = make({}, replicas=0)
    beat(node, 0, cold_ms=60_000)
    placement, count = node.find("placement"), 0
    for step in range(400):
        runtime.time = 2000 + step / 100
        node.find("replicas").table["r0"].cold_until = runtime.time + 9
        count += placement.choose("s", request()) is not None
    assert 8 * 4 * 0.9 <= count <= 8 * 4 + 2


def test_long_shared_parts_keep_to_their_replica_until_it_reads_too_much():
    runtime, node = make({}, replicas=6)
    placement = node.find("placement")
    long = request(**{"X-Prompt-Chain": "ab:13000,cd:900", "X-Token-Count": "13900,80"})
    chosen = [placement.choose("s", long) for _ in range(20)]
    assert len({replica.name for replica in chosen}) == 1
    for _ in range(3):
        placement.start_request(chosen[0], long)
    assert placement.choose("s", long).name != chosen[0].name


def test_the_longest_prefix_of_the_host_counts():
    runtime, node = make({})
    configuration = node.find("layout").configuration
    forwards = {
        "a": {**configuration["forwards"]["f"], "prefix": "/"},
        "b": {**configuration["forwards"]["f"], "prefix": "/a/b/"},
        "c": {**configuration["forwards"]["f"], "prefix": "/a/"},
    }
    node.find("gossip").publish("layout", [2], [2, 2, {**configuration, "forwards": forwards}, []])
    table = node.find("forwards")
    found = {path: table.find("H", path) for path in ("/a/b/c?d=/x/", "/a/b", "/q", "/a/")}
    assert {path: f.name for path, f in found.items()} == {
        "/a/b/c?d=/x/": "b",
        "/a/b": "c",
        "/q": "a",
        "/a/": "c",
    }
    assert table.find("other", "/a/") is None


def test_a_node_without_a_configuration_refuses_and_never_says_that_nothing_is_there():
    runtime = ScriptedRuntime()
    me = Member("edge-1", 1, "edge", "north", "10.0.0.9", 7, 8, "")
    node = make_node(me, runtime, [], Bounds())
    with pytest.raises(Refused) as refusal:
        check_ready(node)
    assert refusal.value.status == 503 and refusal.value.detail["come_back_s"] > 0
    check_ready(make({})[1])


def test_a_store_knows_the_replicas_again_after_power_was_lost():
    disk = SimDisk(random.Random(1))
    runtime, node = make({}, replicas=3)
    snapshot = ReplicaSnapshot(node, disk)
    beat(node, 1, 2, state="leaving")
    snapshot._write()
    beat(node, 3)
    snapshot._write()
    disk.lose_power()
    disk.durable["replicas.0"] = disk.durable["replicas.0"][:-1]
    runtime, node = make({}, replicas=0)
    ReplicaSnapshot(node, disk).restore()
    known = node.find("replicas").table
    assert {name: replica.state for name, replica in known.items()} == {
        "r0": "ready",
        "r1": "leaving",
        "r2": "ready",
    }
    assert {r.name for r in node.find("placement").replicas("s")} == {"r0", "r2"}
    beat(node, 0, 5)
    placement = node.find("placement")
    assert {placement.choose("s", request()).name for _ in range(40)} == {"r0", "r2"}
    runtime.time += node.bounds.replica_timeout
    beat(node, 0, 6)
    assert {placement.choose("s", request()).name for _ in range(40)} == {"r0"}
