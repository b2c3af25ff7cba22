import random
from collections import Counter

import pytest

from proving.sim.disk import SimDisk
from proving.sim.scripted_runtime import ScriptedRuntime
from quillring.edge.replica_snapshot import ReplicaSnapshot
from quillring.fleet import make_node
from quillring.forward.load_balancer import LatencyGoals
from quillring.forward.load_messages import LoadReport, PromptStart
from quillring.forward.request import PromptPart
from quillring.forward.request_handler import check_ready
from quillring.kernel.bounds import Bounds
from quillring.kernel.errors import Refused
from quillring.nifty import Member
from tests.forward_stage import deliver_heartbeat, make_stage, request, run


def test_requests_to_a_cold_replica_stay_close_to_its_rate():
    runtime, node = make_stage({}, replicas=0)
    deliver_heartbeat(node, 0, cold_ms=60_000)
    placement, count = node.find("placement"), 0
    for step in range(400):
        runtime.time = 2000 + step / 100
        node.find("replicas").table["r0"].cold_until = runtime.time + 9
        count += placement.choose("s", request()) is not None
    assert 8 * 4 * 0.9 <= count <= 8 * 4 + 2


LONG = {"X-Prompt-Chain": "ab:13000,cd:900", "X-Token-Count": "13900,80"}
GOALS = LatencyGoals(0.25, 0.3)


def chosen_names(placement, sent, count=20):
    """Choose a replica `count` times for the same request; return the names."""
    return {placement.choose("s", sent, goals=GOALS).name for _ in range(count)}


def test_requests_with_a_cached_long_prefix_go_to_its_replica_until_it_is_overloaded():
    runtime, node = make_stage({}, replicas=6)
    placement, long = node.find("placement"), request(**LONG)
    first = placement.choose("s", long, goals=GOALS)
    placement.start_request(first, long).record_body_bytes(1)
    assert chosen_names(placement, long) == {first.name}
    other = request(**{"X-Prompt-Chain": "ef:30000,cd:900", "X-Token-Count": "30900,80"})
    placement.start_request(first, other)
    assert first.name not in chosen_names(placement, long)
    runtime.time += 5
    assert first.name not in chosen_names(placement, long), (
        "the first token of its request is overdue"
    )


def test_long_prompt_reported_by_a_peer_adds_queued_work_and_a_cached_prefix():
    runtime, node = make_stage({}, replicas=3)
    placement = node.find("placement")
    start = PromptStart("r1", 40_000, (PromptPart("ab", 13_000),))
    report = LoadReport("edge-2", 1, 1, {"r1": 1}, {}, [], [start], [])
    placement.exchange.on_load_report(report.to_wire(), "edge-2")
    short = request(**{"X-Token-Count": "500,80"})
    assert "r1" not in chosen_names(placement, short)
    assert "r1" not in chosen_names(placement, request(**LONG))
    runtime.time += 2
    assert chosen_names(placement, request(**LONG)) == {"r1"}, (
        "r1 has processed the prompt and has it cached"
    )


def test_requests_in_flight_of_peers_count_as_load():
    _, node = make_stage({}, replicas=3)
    placement = node.find("placement")
    report = LoadReport("north", 1, 1, {"r0": 8, "r2": 9}, {}, [], [], [])
    placement.exchange.on_zone_load_report(report.to_wire(), "core-1")
    assert chosen_names(placement, request()) == {"r1"}


def test_another_zone_is_chosen_only_if_its_cached_prefix_saves_much_time():
    _, node = make_stage({}, replicas=0)
    deliver_heartbeat(node, 0)
    deliver_heartbeat(node, 1, domain="south")
    placement = node.find("placement")
    assert chosen_names(placement, request()) == {"r0"}
    table = node.find("replicas").table
    large = request(**{"X-Prompt-Chain": "gh:30000,cd:900", "X-Token-Count": "30900,80"})
    small = request(**{"X-Prompt-Chain": "kl:2100,cd:90", "X-Token-Count": "2190,80"})
    for sent in (large, small):
        placement.start_request(table["r1"], sent).record_body_bytes(1)
    assert chosen_names(placement, large) == {"r1"}
    assert chosen_names(placement, small) == {"r0"}


def test_slow_replica_is_avoided_after_long_times_to_first_token():
    runtime, node = make_stage({}, replicas=2)
    placement, table = node.find("placement"), node.find("replicas").table
    for number in range(8):
        for name, seconds in (("r0", 0.6), ("r1", 0.1)):
            sent = request(
                **{"X-Prompt-Chain": f"{number}{name}:9000,cd:900", "X-Token-Count": "9900,80"}
            )
            in_flight = placement.start_request(table[name], sent)
            runtime.time += seconds
            in_flight.record_body_bytes(1)
            in_flight.finish()
        placement.exchange._report_zone_load()
    assert chosen_names(placement, request(**LONG)) == {"r1"}


def test_silent_replica_is_unresponsive_unless_it_answers_a_peer_or_processes_a_prompt():
    runtime, node = make_stage({}, replicas=1)
    placement, replica = node.find("placement"), node.find("replicas").table["r0"]
    placement.health(replica).last_byte_at = runtime.time
    runtime.time += 0.5
    assert placement.is_unresponsive(replica, 0.36)
    report = LoadReport("north", 1, 1, {"r0": 1}, {}, ["r0"], [], [])
    placement.exchange.on_zone_load_report(report.to_wire(), "core-1")
    assert placement.is_unresponsive(replica, 0.36), "it is silent towards the peers too"
    report = LoadReport("north", 1, 2, {"r0": 1}, {}, [], [], [])
    placement.exchange.on_zone_load_report(report.to_wire(), "core-1")
    assert not placement.is_unresponsive(replica, 0.36), "it responds to a peer"
    runtime.time += 0.5
    assert placement.is_unresponsive(replica, 0.36)
    placement.health(replica).work.add(0.4, runtime.time - 0.5)
    assert not placement.is_unresponsive(replica, 0.36), "it is processing a prompt"
    runtime.time += 0.5
    assert placement.is_unresponsive(replica, 0.36)


def test_new_trial_request_starts_only_after_the_previous_trial_finished():
    runtime, node = make_stage({}, replicas=1)
    placement, replica = node.find("placement"), node.find("replicas").table["r0"]
    failed_request = placement.start_request(replica, request())
    placement.record_failure(replica, is_certain=True)
    runtime.time += 60
    trial = placement.start_request(placement.choose("s", request()), request())
    failed_request.finish()
    assert placement.choose("s", request()) is None
    trial.finish()
    assert placement.choose("s", request()) is replica


def test_not_run_response_to_a_long_prompt_does_not_change_speed_estimates():
    not_run = [(0.001, (503, {"x-not-run": "1", "x-inquiry": "q1"}))]
    runtime, node = make_stage({0: [not_run, not_run]}, replicas=1, attempts=2)
    placement, replica = node.find("placement"), node.find("replicas").table["r0"]
    before = placement.speed(replica).prompt_cost.seconds(13_900)
    with pytest.raises(Refused):
        run(runtime, node, request(**LONG))
    placement.exchange._report_zone_load()
    assert placement.speed(replica).prompt_cost.seconds(13_900) == before
    assert placement.health(replica).work.slowdown == 1
    assert placement.health(replica).work.wait_seconds(runtime.time) == 0


def test_work_of_a_request_that_ends_before_its_first_token_is_removed():
    runtime, node = make_stage({}, replicas=1)
    placement, replica = node.find("placement"), node.find("replicas").table["r0"]
    in_flight = placement.start_request(replica, request(**LONG))
    health = placement.health(replica)
    assert health.work.wait_seconds(runtime.time) > 0 and health.expected_first_token_times
    in_flight.finish()
    assert health.work.wait_seconds(runtime.time) == 0 and not health.expected_first_token_times


def test_state_of_removed_replicas_is_dropped():
    _, node = make_stage({}, replicas=2)
    placement, table = node.find("placement"), node.find("replicas").table
    for name in ("r0", "r1"):
        placement.start_request(table[name], request(**LONG)).finish()
    del table["r0"]
    deliver_heartbeat(node, 7)
    placement.choose("s", request())
    assert set(placement.prefix_directory.cache_by_replica) == {"r1"}
    assert set(placement.health_by_replica) == {"r1", "r7"}


@pytest.mark.parametrize("seed", range(5))
def test_requests_spread_evenly_over_replicas_without_any_load_report(seed):
    runtime, node = make_stage({}, replicas=8)
    runtime.random.seed(seed)
    placement, counts = node.find("placement"), Counter()
    for _ in range(64):
        replica = placement.choose("s", request(), goals=GOALS)
        placement.start_request(replica, request())
        counts[replica.name] += 1
    assert max(counts.values()) - min(counts.values()) <= 4


def test_route_with_the_longest_matching_prefix_of_the_host_is_found():
    runtime, node = make_stage({})
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


def test_node_without_a_configuration_responds_503_instead_of_not_found():
    runtime = ScriptedRuntime()
    me = Member("edge-1", 1, "edge", "north", "10.0.0.9", 7, 8, "")
    node = make_node(me, runtime, [], Bounds())
    with pytest.raises(Refused) as refusal:
        check_ready(node)
    assert refusal.value.status == 503 and refusal.value.detail["come_back_s"] > 0
    check_ready(make_stage({})[1])


def test_replica_snapshot_is_restored_after_a_power_loss_with_a_truncated_file():
    disk = SimDisk(random.Random(1))
    runtime, node = make_stage({}, replicas=3)
    snapshot = ReplicaSnapshot(node, disk)
    deliver_heartbeat(node, 1, 2, state="leaving")
    snapshot._write()
    deliver_heartbeat(node, 3)
    snapshot._write()
    disk.lose_power()
    disk.durable["replicas.0"] = disk.durable["replicas.0"][:-1]
    runtime, node = make_stage({}, replicas=0)
    ReplicaSnapshot(node, disk).restore()
    known = node.find("replicas").table
    assert {name: replica.state for name, replica in known.items()} == {
        "r0": "ready",
        "r1": "leaving",
        "r2": "ready",
    }
    assert {r.name for r in node.find("placement").replicas("s")} == {"r0", "r2"}
    deliver_heartbeat(node, 0, 5)
    placement = node.find("placement")
    assert {placement.choose("s", request()).name for _ in range(40)} == {"r0", "r2"}
    runtime.time += node.bounds.replica_timeout
    deliver_heartbeat(node, 0, 6)
    assert {placement.choose("s", request()).name for _ in range(40)} == {"r0"}
