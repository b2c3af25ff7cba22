"""Tests partitions that refuse or reset connections (loud cuts).

Other nodes relay around a partitioned pair, a side without a majority refuses changes and reads,
and direct links are restored after the heal.
"""

import json

import pytest

from proving.sim.network import CutKind
from tests.fleet_stage import SelfFoundingFleet
from tests.system_calls import (
    FULL_CONFIGURATION,
    HEARTBEAT,
    call,
    handle_ctl,
    replace_configuration,
)

HEARTBEAT_INTERVAL_SECONDS = 0.5
LOUD_KINDS = (CutKind.REFUSING, CutKind.RESETTING)
REFUSAL_DETECTION_SECONDS, MAX_CALL_SECONDS, SILENCE_DETECTION_SECONDS = 0.1, 1, 2.5
RESET_SECONDS, DELAY_STEP_SECONDS = 0.01, 0.0025
MIN_CUT_SECONDS, MIN_HEALED_SECONDS, FLAP_COUNT = 0.05, 0.1, 30


def numbered_configuration(number):
    """Return the complete configuration with this number."""
    return {**FULL_CONFIGURATION, "ver": number}


def start_fleet(seed):
    """Return (stage, owner of the config part, another core) of a fleet with a configuration."""
    stage = SelfFoundingFleet(seed)
    assert replace_configuration(stage, "core-1", FULL_CONFIGURATION, 0)[0] == 200
    stage.run(1)
    owner = stage.owner()
    return stage, owner, next(c for c in cores(stage) if c != owner)


def peer_layer(stage, name):
    """Return the peer layer of a node."""
    return stage.sim.nodes[name].find("nifty")


def cores_claiming_ownership(stage, part="config"):
    """Return the cores that consider themselves the owner of a part."""
    leaders_by_core = {n.me.name: n.find("ownership").leaders for n in stage.sim.up_nodes("core")}
    return [
        core
        for core, leaders in leaders_by_core.items()
        if part in leaders and leaders[part].is_leader
    ]


def cores(stage):
    """Return the names of all cores."""
    return stage.sim.names("core")


def fetched_numbers(stage):
    """Return the set of configuration numbers that the cores return."""
    return {call(stage, core, "GET", "/Config.Fetch")[1]["ver"] for core in cores(stage)}


@pytest.mark.parametrize("seed", range(4))
def test_a_pair_that_refuses_connections_is_relayed_at_once_and_direct_again_after_the_heal(seed):
    stage, owner, other = start_fleet(600 + seed)
    stage.sim.cut([owner], [other], kind=CutKind.REFUSING)
    stage.run(REFUSAL_DETECTION_SECONDS)
    assert peer_layer(stage, other).graph.hops(owner) == 2
    assert peer_layer(stage, owner).graph.hops(other) == 2
    for number in range(8, 16):
        status, _, seconds = replace_configuration(
            stage, other, numbered_configuration(number), number - 1
        )
        assert status == 200 and seconds < MAX_CALL_SECONDS
        assert call(stage, other, "GET", "/Config.Fetch")[1]["ver"] == number
        stage.run(0.4)
    assert len(cores_claiming_ownership(stage)) == 1 and fetched_numbers(stage) == {15}
    stage.sim.heal()
    stage.run(HEARTBEAT_INTERVAL_SECONDS * 3)
    assert peer_layer(stage, other).graph.hops(owner) == 1
    assert peer_layer(stage, owner).graph.hops(other) == 1


def test_a_resetting_or_silent_cut_of_a_pair_is_detected_only_by_missing_heartbeats():
    for kind in (CutKind.RESETTING, CutKind.SILENT):
        stage, owner, other = start_fleet(610)
        stage.sim.cut([owner], [other], kind=kind)
        stage.run(REFUSAL_DETECTION_SECONDS)
        assert peer_layer(stage, other).graph.hops(owner) == 1
        stage.run(2)
        assert peer_layer(stage, other).graph.hops(owner) == 2
        assert replace_configuration(stage, other, numbered_configuration(8), 7)[0] == 200
        assert stage.sim.nodes[other].counts.get("refused_links", 0) == 0


@pytest.mark.parametrize("seed", range(3))
def test_a_one_way_refusing_cut_loses_no_change_although_heartbeats_arrive_the_other_way(seed):
    stage, owner, other = start_fleet(620 + seed)
    stage.sim.cut([other], [owner], both_ways=False, kind=CutKind.REFUSING)
    acknowledged, number = 0, 7
    for _ in range(20):
        status, _, seconds = replace_configuration(
            stage, other, numbered_configuration(number + 1), number
        )
        assert status in (200, 503) and seconds < MAX_CALL_SECONDS
        acknowledged += status == 200
        number += status == 200
        stage.run(0.3)
    assert acknowledged > 15
    stage.sim.heal()
    stage.run(HEARTBEAT_INTERVAL_SECONDS * 3)
    assert peer_layer(stage, other).graph.hops(owner) == 1
    assert min(fetched_numbers(stage)) >= number


@pytest.mark.parametrize("kind", LOUD_KINDS)
@pytest.mark.parametrize("seed", range(2))
def test_a_side_without_a_majority_refuses_changes_reads_and_heartbeats(kind, seed):
    stage, owner, other = start_fleet(630 + seed)
    store = stage.sim.nodes[owner].find("ownership").group("config")[seed][0]
    side = [owner, store, "edge-1"]
    stage.sim.cut(side, [name for name in stage.sim.nodes if name not in side], kind=kind)
    start_time = stage.env.now
    detection_seconds = (
        REFUSAL_DETECTION_SECONDS if kind is CutKind.REFUSING else SILENCE_DETECTION_SECONDS
    )
    for number in range(100, 115):
        status, _, seconds = replace_configuration(stage, owner, numbered_configuration(number), 7)
        assert status == 503 and seconds < MAX_CALL_SECONDS
        assert call(stage, owner, "GET", "/Config.Fetch")[0] == 503
        if stage.env.now - start_time > detection_seconds:
            assert call(stage, owner, "POST", "/Replicas.Heartbeat/i-1", HEARTBEAT)[0] == 503
        stage.run(0.3)
    assert (
        stage.wait_for(
            lambda: replace_configuration(stage, other, numbered_configuration(8), 7)[0] == 200,
            5,
            0.3,
        )
        is not None
    )
    assert stage.owner() != owner
    stage.sim.heal()
    stage.run(4)
    assert fetched_numbers(stage) == {8}


@pytest.mark.parametrize("is_leader", [True, False])
def test_a_core_isolated_by_refusal_confirms_nothing_and_another_core_takes_over_its_parts(
    is_leader,
):
    stage, owner, other = start_fleet(640)
    core, reachable_core = (owner, other) if is_leader else (other, owner)
    others = [name for name in stage.sim.nodes if name != core]
    stage.sim.cut([core], others, kind=CutKind.REFUSING)
    stage.run(REFUSAL_DETECTION_SECONDS)
    parts = list(stage.sim.nodes[reachable_core].find("ownership").parts())
    for number in range(20):
        status, _, seconds = replace_configuration(
            stage, core, numbered_configuration(200 + number), 7
        )
        assert status == 503 and seconds < REFUSAL_DETECTION_SECONDS
        assert call(stage, core, "GET", "/Config.Fetch")[0] == 503
        stage.run(0.2)
    assert replace_configuration(stage, reachable_core, numbered_configuration(8), 7)[0] == 200
    for part in parts:
        query = {"ask": "edition" if part == "config" else "lot.fence"}
        assert stage.owner(part) not in (None, core)
        assert stage.read(reachable_core, query, part)[1] is None
        assert stage.read(core, query, part)[1].kind == "refused"
        assert stage.submit(core, {"do": "nothing", "id": "x"}, part)[1].kind == "refused"
    stage.sim.heal()
    stage.run(4)
    assert fetched_numbers(stage) == {8}
    assert all(len(cores_claiming_ownership(stage, part)) == 1 for part in parts)


@pytest.mark.parametrize("seed", range(4))
def test_a_flapping_refusing_cut_loses_no_acknowledged_change_and_links_recover(seed):
    stage, owner, other = start_fleet(650 + seed)
    others = [name for name in stage.sim.nodes if name != owner]
    cut_names = others if seed % 2 else [other]
    rng, number, acknowledged = stage.sim.chance, 7, []
    for _ in range(FLAP_COUNT):
        stage.sim.cut([owner], cut_names, kind=CutKind.REFUSING)
        stage.run(rng.uniform(MIN_CUT_SECONDS, HEARTBEAT_INTERVAL_SECONDS))
        status, _, seconds = replace_configuration(
            stage,
            other,
            numbered_configuration(number + 1),
            acknowledged[-1] if acknowledged else 7,
        )
        assert status in (200, 412, 503) and seconds < MAX_CALL_SECONDS
        acknowledged.extend([number + 1] if status == 200 else [])
        stage.sim.heal()
        stage.run(rng.uniform(MIN_HEALED_SECONDS, HEARTBEAT_INTERVAL_SECONDS))
        status, body, _ = call(stage, other, "GET", "/Config.Fetch")
        assert status != 200 or body["ver"] >= max(acknowledged, default=7)
        acknowledged.extend(
            [body["ver"]] if status == 200 and body["ver"] > max(acknowledged, default=7) else []
        )
        number += 1
    assert len(acknowledged) > FLAP_COUNT // 3 and acknowledged == sorted(acknowledged)
    stage.run(4)
    assert peer_layer(stage, other).graph.hops(owner) == 1
    assert fetched_numbers(stage) == {acknowledged[-1]}


def replace_during_reset(stage, order, cut_names, kind, delay):
    """Replace the configuration, cut connections of its owner `delay` seconds later and heal them.

    `order` is (core, number of the configuration). Return the status of the call.
    """
    core, number = order
    node, body = stage.sim.nodes[core], json.dumps(numbered_configuration(number)).encode()
    headers = {"base-version": str(number - 1)}
    coroutine = handle_ctl(node, "POST", "/Config.Replace", headers, body)
    task = stage.env.process(stage.sim.run_coroutine(node, coroutine))
    if delay:
        stage.run(delay)
    stage.sim.cut([stage.owner()], cut_names, kind=kind)
    stage.run(RESET_SECONDS)
    stage.sim.heal()
    stage.env.run(until=task)
    return task.value[0][0]


@pytest.mark.parametrize("kind", LOUD_KINDS)
@pytest.mark.parametrize("cuts_stores", [True, False])
def test_a_change_whose_connections_are_reset_takes_effect_once_when_it_is_resent(
    kind, cuts_stores
):
    stage, owner, other = start_fleet(660)
    cut_names = stage.sim.names("store") if cuts_stores else [other]
    layout, first_statuses = stage.sim.nodes[owner].find("layout"), []
    before = layout.version
    for step in range(10):
        number, delay = 8 + step, DELAY_STEP_SECONDS * step
        first_statuses.append(replace_during_reset(stage, (other, number), cut_names, kind, delay))
        resend = [
            lambda n=number: (
                replace_configuration(stage, other, numbered_configuration(n), n - 1)[0] == 200
            ),
            4,
            0.2,
        ]
        assert stage.wait_for(*resend) is not None
        assert {
            replace_configuration(stage, c, numbered_configuration(number), number - 1)[0]
            for c in cores(stage)
        } == {200}
        stage.run(HEARTBEAT_INTERVAL_SECONDS * 2)
        assert fetched_numbers(stage) == {number} and layout.version == before + step + 1
    assert set(first_statuses) == ({200} if cuts_stores else {200, 503})
    assert stage.sim.net.reset_frames > 0
