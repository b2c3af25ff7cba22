"""Cuts that refuse or reset connections: relayed round a bridge, refused without one, healed."""

import json

import pytest

from proving.sim.network import CutKind
from tests.fleet_stage import SelfFoundingFleet
from tests.system_calls import BEAT, WHOLE, call, handle_ctl, replace

BEAT_SECONDS = 0.5
LOUD_KINDS = (CutKind.REFUSING, CutKind.RESETTING)
AT_ONCE, WAIT_SECONDS, SILENCE_SECONDS = 0.1, 1, 2.5
RESET_SECONDS, DELAY_STEP = 0.01, 0.0025
SHORTEST_ON, SHORTEST_OFF, FLAPS = 0.05, 0.1, 30


def whole(number):
    """Return the whole configuration under a number."""
    return {**WHOLE, "ver": number}


def founded(seed):
    """Return a fleet with a first configuration, its owner and another core."""
    stage = SelfFoundingFleet(seed)
    assert replace(stage, "core-1", WHOLE, 0)[0] == 200
    stage.run(1)
    owner = stage.owner()
    return stage, owner, next(c for c in cores(stage) if c != owner)


def nifty(stage, name):
    """Return the peer layer of a node."""
    return stage.sim.nodes[name].find("nifty")


def owning_cores(stage, part="config"):
    """Return the cores that take themselves for the owner of a part."""
    tables = {n.me.name: n.find("ownership").leaders for n in stage.sim.up_nodes("core")}
    return [c for c, owners in tables.items() if part in owners and owners[part].is_leader]


def cores(stage):
    """Return the names of the cores."""
    return stage.sim.names("core")


def newest(stage):
    """Return the numbers that the cores hand out."""
    return {call(stage, core, "GET", "/Config.Fetch")[1]["ver"] for core in cores(stage)}


@pytest.mark.parametrize("seed", range(4))
def test_a_refusing_cut_of_a_pair_with_a_bridge_is_relayed_at_once_and_heals_by_the_next_beat(seed):
    stage, owner, other = founded(600 + seed)
    stage.sim.cut([owner], [other], kind=CutKind.REFUSING)
    stage.run(AT_ONCE)
    assert nifty(stage, other).graph.hops(owner) == 2
    assert nifty(stage, owner).graph.hops(other) == 2
    for number in range(8, 16):
        status, _, seconds = replace(stage, other, whole(number), number - 1)
        assert status == 200 and seconds < WAIT_SECONDS
        assert call(stage, other, "GET", "/Config.Fetch")[1]["ver"] == number
        stage.run(0.4)
    assert len(owning_cores(stage)) == 1 and newest(stage) == {15}
    stage.sim.heal()
    stage.run(BEAT_SECONDS * 3)
    assert nifty(stage, other).graph.hops(owner) == 1
    assert nifty(stage, owner).graph.hops(other) == 1


def test_a_resetting_or_silent_cut_of_a_pair_is_known_only_by_its_silence():
    for kind in (CutKind.RESETTING, CutKind.SILENT):
        stage, owner, other = founded(610)
        stage.sim.cut([owner], [other], kind=kind)
        stage.run(AT_ONCE)
        assert nifty(stage, other).graph.hops(owner) == 1
        stage.run(2)
        assert nifty(stage, other).graph.hops(owner) == 2
        assert replace(stage, other, whole(8), 7)[0] == 200
        assert stage.sim.nodes[other].counts.get("refused_links", 0) == 0


@pytest.mark.parametrize("seed", range(3))
def test_a_refusing_one_way_cut_harms_nothing_though_beats_come_the_other_way(seed):
    stage, owner, other = founded(620 + seed)
    stage.sim.cut([other], [owner], both_ways=False, kind=CutKind.REFUSING)
    taken, number = 0, 7
    for _ in range(20):
        status, _, seconds = replace(stage, other, whole(number + 1), number)
        assert status in (200, 503) and seconds < WAIT_SECONDS
        taken += status == 200
        number += status == 200
        stage.run(0.3)
    assert taken > 15
    stage.sim.heal()
    stage.run(BEAT_SECONDS * 3)
    assert nifty(stage, other).graph.hops(owner) == 1
    assert min(newest(stage)) >= number


@pytest.mark.parametrize("kind", LOUD_KINDS)
@pytest.mark.parametrize("seed", range(2))
def test_the_side_of_a_loud_cut_without_a_bridge_that_has_no_majority_refuses_honestly(kind, seed):
    stage, owner, other = founded(630 + seed)
    store = stage.sim.nodes[owner].find("ownership").group("config")[seed][0]
    side = [owner, store, "edge-1"]
    stage.sim.cut(side, [name for name in stage.sim.nodes if name not in side], kind=kind)
    start_time = stage.env.now
    known_after = AT_ONCE if kind is CutKind.REFUSING else SILENCE_SECONDS
    for number in range(100, 115):
        status, _, seconds = replace(stage, owner, whole(number), 7)
        assert status == 503 and seconds < WAIT_SECONDS
        assert call(stage, owner, "GET", "/Config.Fetch")[0] == 503
        if stage.env.now - start_time > known_after:
            assert call(stage, owner, "POST", "/Replicas.Heartbeat/i-1", BEAT)[0] == 503
        stage.run(0.3)
    assert stage.wait_for(lambda: replace(stage, other, whole(8), 7)[0] == 200, 5, 0.3) is not None
    assert stage.owner() != owner
    stage.sim.heal()
    stage.run(4)
    assert newest(stage) == {8}


@pytest.mark.parametrize("is_leader", [True, False])
def test_a_core_cut_off_by_refusal_confirms_nothing_and_another_takes_its_parts(is_leader):
    stage, owner, other = founded(640)
    core, live = (owner, other) if is_leader else (other, owner)
    others = [name for name in stage.sim.nodes if name != core]
    stage.sim.cut([core], others, kind=CutKind.REFUSING)
    stage.run(AT_ONCE)
    parts = list(stage.sim.nodes[live].find("ownership").parts())
    for number in range(20):
        status, _, seconds = replace(stage, core, whole(200 + number), 7)
        assert status == 503 and seconds < AT_ONCE
        assert call(stage, core, "GET", "/Config.Fetch")[0] == 503
        stage.run(0.2)
    assert replace(stage, live, whole(8), 7)[0] == 200
    for part in parts:
        query = {"ask": "edition" if part == "config" else "lot.fence"}
        assert stage.owner(part) not in (None, core)
        assert stage.read(live, query, part)[1] is None
        assert stage.read(core, query, part)[1].kind == "refused"
        assert stage.submit(core, {"do": "nothing", "id": "x"}, part)[1].kind == "refused"
    stage.sim.heal()
    stage.run(4)
    assert newest(stage) == {8}
    assert all(len(owning_cores(stage, part)) == 1 for part in parts)


@pytest.mark.parametrize("seed", range(4))
def test_a_flapping_refusing_cut_loses_no_acknowledged_change_and_ends_with_its_links_up(seed):
    stage, owner, other = founded(650 + seed)
    others = [name for name in stage.sim.nodes if name != owner]
    cut_names = others if seed % 2 else [other]
    chance, number, taken = stage.sim.chance, 7, []
    for _ in range(FLAPS):
        stage.sim.cut([owner], cut_names, kind=CutKind.REFUSING)
        stage.run(chance.uniform(SHORTEST_ON, BEAT_SECONDS))
        status, _, seconds = replace(stage, other, whole(number + 1), taken[-1] if taken else 7)
        assert status in (200, 412, 503) and seconds < WAIT_SECONDS
        taken.extend([number + 1] if status == 200 else [])
        stage.sim.heal()
        stage.run(chance.uniform(SHORTEST_OFF, BEAT_SECONDS))
        status, body, _ = call(stage, other, "GET", "/Config.Fetch")
        assert status != 200 or body["ver"] >= max(taken, default=7)
        taken.extend([body["ver"]] if status == 200 and body["ver"] > max(taken, default=7) else [])
        number += 1
    assert len(taken) > FLAPS // 3 and taken == sorted(taken)
    stage.run(4)
    assert nifty(stage, other).graph.hops(owner) == 1
    assert newest(stage) == {taken[-1]}


def order_amid_resets(stage, order, cut_names, kind, delay):
    """Send an order, reset the connections of its owner so much later; return its status."""
    core, number = order
    node, body = stage.sim.nodes[core], json.dumps(whole(number)).encode()
    headers = {"base-version": str(number - 1)}
    coroutine = handle_ctl(node, "POST", "/Config.Replace", headers, body)
    task = stage.env.process(stage.sim.run_script(node, coroutine))
    if delay:
        stage.run(delay)
    stage.sim.cut([stage.owner()], cut_names, kind=kind)
    stage.run(RESET_SECONDS)
    stage.sim.heal()
    stage.env.run(until=task)
    return task.value[0][0]


@pytest.mark.parametrize("kind", LOUD_KINDS)
@pytest.mark.parametrize("cuts_stores", [True, False])
def test_an_order_whose_connections_are_reset_is_acknowledged_once_when_sent_again(
    kind, cuts_stores
):
    stage, owner, other = founded(660)
    cut_names = stage.sim.names("store") if cuts_stores else [other]
    layout, first_statuses = stage.sim.nodes[owner].find("layout"), []
    before = layout.version
    for step in range(10):
        number, delay = 8 + step, DELAY_STEP * step
        first_statuses.append(order_amid_resets(stage, (other, number), cut_names, kind, delay))
        again = [lambda n=number: replace(stage, other, whole(n), n - 1)[0] == 200, 4, 0.2]
        assert stage.wait_for(*again) is not None
        assert {replace(stage, c, whole(number), number - 1)[0] for c in cores(stage)} == {200}
        stage.run(BEAT_SECONDS * 2)
        assert newest(stage) == {number} and layout.version == before + step + 1
    assert set(first_statuses) == ({200} if cuts_stores else {200, 503})
    assert stage.sim.net.reset_frames > 0
