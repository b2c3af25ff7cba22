"""A control machine that is cut off for twenty seconds, while operators and replicas reach it."""

import pytest

from proving.sim.network import CutKind
from tests.fleet_stage import SelfFoundingFleet
from tests.system_calls import BEAT, WHOLE, call, replace

CUT_SECONDS = 20
WAIT_SECONDS = 1
KNOWN_AFTER = 2.5
WAYS = ("silent", "hears_nothing", "reaches_nobody", "refusing", "resetting")
LOUD_WAYS = {"refusing": CutKind.REFUSING, "resetting": CutKind.RESETTING}


def cut_off(stage, name, way):
    """Cut a node off from all others, in one direction or both, silently or loudly."""
    others = [other for other in stage.sim.nodes if other != name]
    if way == "hears_nothing":
        stage.sim.cut(others, [name], both_ways=False)
    elif way == "reaches_nobody":
        stage.sim.cut([name], others, both_ways=False)
    else:
        stage.sim.cut([name], others, kind=LOUD_WAYS.get(way, CutKind.SILENT))


class Operator:
    """An operator that sends changes to any core, as they were until one is taken or refused."""

    def __init__(self, stage):
        self.stage = stage
        assert replace(stage, "core-1", WHOLE, 0)[0] == 200
        self.newest = WHOLE
        self.maybe = {}
        self.acknowledged = 0

    def change(self, core, sender):
        """Send a change on top of the newest version; return its status."""
        number = self.newest["ver"] + 1 + sender
        sent = self.maybe.setdefault(sender, {**WHOLE, "ver": number, "limits": None})
        if sent["ver"] <= self.newest["ver"]:
            sent = self.maybe[sender] = {**WHOLE, "ver": number}
        status, _, seconds = replace(self.stage, core, sent, self.newest["ver"])
        assert seconds < WAIT_SECONDS
        if status == 200:
            self.newest, self.maybe = sent, {}
            self.acknowledged += 1
        if status == 412:
            status, body, _ = call(self.stage, core, "GET", "/Config.Fetch")
            assert status != 200 or body["ver"] > self.newest["ver"]
            self.newest = body if status == 200 else self.newest
        return status


def ask_cut_off(stage, core, operator):
    """Send every kind of call to the machine that is cut off; return its statuses."""
    number = operator.newest["ver"]
    calls = [
        ("GET", "/Config.Fetch", None, None),
        ("POST", "/Config.Replace", {**WHOLE, "ver": number + 100}, number),
        ("POST", "/Config.Replace", operator.newest, 0),
        ("POST", "/Evacuate.Begin/north", None, None),
        ("POST", "/Retire.Begin/1", None, None),
        ("GET", "/Retire.Fetch/1", None, None),
    ]
    statuses = set()
    for method, path, body, base in calls:
        status, _, seconds = call(stage, core, method, path, body, base)
        assert status is not None and seconds < WAIT_SECONDS, (path, status, seconds)
        statuses.add((path, status))
    return statuses


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("is_leader", [True, False])
def test_a_core_cut_off_for_twenty_seconds_hands_out_nothing_and_neither_takes_nor_refuses(
    way, is_leader
):
    stage = SelfFoundingFleet(5)
    operator, owner = Operator(stage), stage.owner()
    core = owner if is_leader else next(c for c in stage.sim.names("core") if c != owner)
    other = next(c for c in stage.sim.names("core") if c not in (core, owner))
    cut_off(stage, core, way)
    start_time, statuses, beats = stage.env.now, set(), []
    while stage.env.now - start_time < CUT_SECONDS:
        operator.change(other, 0)
        statuses |= ask_cut_off(stage, core, operator)
        beat = {**BEAT, "calls": int(stage.env.now * 10)}
        if stage.env.now - start_time > KNOWN_AFTER:
            beats.append(call(stage, core, "POST", "/Replicas.Heartbeat/i-1", beat)[0])
            beats.append(call(stage, core, "POST", "/Replicas.Deregister/i-2")[0])
        stage.run(0.3)
    assert operator.acknowledged > 5
    assert {status for _, status in statuses} == {503}, statuses
    assert set(beats) == {503}
    stage.sim.heal()
    stage.run(4)
    for name in stage.sim.names("core"):
        status, body, _ = call(stage, name, "GET", "/Config.Fetch")
        assert status == 200
    assert body["ver"] >= operator.newest["ver"]
    assert call(stage, core, "POST", "/Replicas.Heartbeat/i-1", {**BEAT, "calls": 900})[0] == 200


@pytest.mark.parametrize("way", WAYS)
def test_a_core_that_restarts_while_it_is_cut_off_confirms_nothing_and_hands_out_nothing(way):
    stage = SelfFoundingFleet(6)
    operator = Operator(stage)
    core, other = stage.owner(), next(c for c in stage.sim.names("core") if c != stage.owner())
    cut_off(stage, core, way)
    stage.run(3)
    stage.sim.kill(core)
    stage.start(core)
    start_time, statuses = stage.env.now, set()
    while stage.env.now - start_time < CUT_SECONDS:
        operator.change(other, 0)
        statuses |= ask_cut_off(stage, core, operator)
        stage.run(0.3)
    assert operator.acknowledged > 5
    assert {status for _, status in statuses} == {503}, statuses
    stage.sim.heal()
    stage.run(4)
    assert call(stage, core, "GET", "/Config.Fetch")[1]["ver"] >= operator.newest["ver"]


@pytest.mark.parametrize("place", range(3))
def test_an_owner_cut_off_with_one_store_of_its_group_confirms_nothing(place):
    """In the moment of the cut: nobody has noticed the silence yet."""
    stage = SelfFoundingFleet(8)
    operator, owner = Operator(stage), stage.owner()
    other = next(c for c in stage.sim.names("core") if c != owner)
    side = [owner, stage.sim.nodes[owner].find("ownership").group("config")[place][0]]
    stage.sim.cut(side, [name for name in stage.sim.nodes if name not in side])
    for number in range(3):
        status, _, seconds = replace(stage, owner, {**WHOLE, "ver": 100 + number}, WHOLE["ver"])
        assert status == 503 and seconds < WAIT_SECONDS
    assert stage.wait_for(lambda: operator.change(other, 0) == 200, 10, 0.3) is not None
    stage.sim.heal()
    stage.run(4)
    for name in stage.sim.names("core"):
        assert call(stage, name, "GET", "/Config.Fetch")[1]["ver"] == operator.newest["ver"]


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("restarts", [False, True])
def test_orders_go_on_while_a_store_is_cut_off_and_it_is_in_step_again_afterwards(way, restarts):
    stage = SelfFoundingFleet(7)
    operator = Operator(stage)
    store = stage.sim.nodes["core-1"].find("ownership").group("config")[0][0]
    cut_off(stage, store, way)
    start_time, slowest = stage.env.now, 0.0
    taken_at = stage.env.now
    while stage.env.now - start_time < CUT_SECONDS:
        if operator.change("core-2", 0) == 200:
            slowest, taken_at = max(slowest, stage.env.now - taken_at), stage.env.now
        stage.run(0.2)
        if restarts and stage.env.now - start_time > CUT_SECONDS / 2:
            restarts = False
            stage.sim.kill(store, loses_power=True)
            stage.start(store)
    assert operator.acknowledged > 20 and slowest < 4
    stage.sim.heal()
    number = operator.newest["ver"]

    def is_in_step():
        configuration = stage.sim.nodes[store].find("layout").configuration
        return (configuration or {}).get("edition") == number

    assert stage.wait_for(is_in_step, 4) is not None
