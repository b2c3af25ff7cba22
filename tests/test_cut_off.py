"""A core is partitioned from all other nodes for twenty seconds; its callers still reach it."""

import pytest

from proving.sim.network import CutKind
from tests.fleet_stage import SelfFoundingFleet
from tests.system_calls import FULL_CONFIGURATION, HEARTBEAT, call, replace_configuration

PARTITION_SECONDS = 20
MAX_ANSWER_SECONDS = 1
DETECTION_SECONDS = 2.5
PARTITION_KINDS = ("silent", "inbound_lost", "outbound_lost", "refusing", "resetting")
DETECTABLE_CUT_KINDS = {"refusing": CutKind.REFUSING, "resetting": CutKind.RESETTING}


def partition_from_all(stage, name, partition_kind):
    """Partition a node from all others: in one or both directions, silently or with errors."""
    others = [other for other in stage.sim.nodes if other != name]
    if partition_kind == "inbound_lost":
        stage.sim.cut(others, [name], both_ways=False)
    elif partition_kind == "outbound_lost":
        stage.sim.cut([name], others, both_ways=False)
    else:
        stage.sim.cut([name], others, kind=DETECTABLE_CUT_KINDS.get(partition_kind, CutKind.SILENT))


class Operator:
    """An operator that resends each change unchanged until it is accepted or refused."""

    def __init__(self, stage):
        self.stage = stage
        assert replace_configuration(stage, "core-1", FULL_CONFIGURATION, 0)[0] == 200
        self.newest = FULL_CONFIGURATION
        self.unconfirmed = {}
        self.acknowledged = 0

    def change(self, core, sender):
        """Send a change based on the newest known version; return the status."""
        number = self.newest["ver"] + 1 + sender
        sent = self.unconfirmed.setdefault(
            sender, {**FULL_CONFIGURATION, "ver": number, "limits": None}
        )
        if sent["ver"] <= self.newest["ver"]:
            sent = self.unconfirmed[sender] = {**FULL_CONFIGURATION, "ver": number}
        status, _, seconds = replace_configuration(self.stage, core, sent, self.newest["ver"])
        assert seconds < MAX_ANSWER_SECONDS
        if status == 200:
            self.newest, self.unconfirmed = sent, {}
            self.acknowledged += 1
        if status == 412:
            status, body, _ = call(self.stage, core, "GET", "/Config.Fetch")
            assert status != 200 or body["ver"] > self.newest["ver"]
            self.newest = body if status == 200 else self.newest
        return status


def call_partitioned_core(stage, core, operator):
    """Send each kind of operator call to the partitioned core; return its (path, status) pairs."""
    number = operator.newest["ver"]
    calls = [
        ("GET", "/Config.Fetch", None, None),
        ("POST", "/Config.Replace", {**FULL_CONFIGURATION, "ver": number + 100}, number),
        ("POST", "/Config.Replace", operator.newest, 0),
        ("POST", "/Evacuate.Begin/north", None, None),
        ("POST", "/Retire.Begin/1", None, None),
        ("GET", "/Retire.Fetch/1", None, None),
    ]
    statuses = set()
    for method, path, body, base in calls:
        status, _, seconds = call(stage, core, method, path, body, base)
        assert status is not None and seconds < MAX_ANSWER_SECONDS, (path, status, seconds)
        statuses.add((path, status))
    return statuses


@pytest.mark.parametrize("partition_kind", PARTITION_KINDS)
@pytest.mark.parametrize("is_leader", [True, False])
def test_a_partitioned_core_answers_503_to_every_call_for_twenty_seconds(partition_kind, is_leader):
    stage = SelfFoundingFleet(5)
    operator, owner = Operator(stage), stage.owner()
    core = owner if is_leader else next(c for c in stage.sim.names("core") if c != owner)
    other = next(c for c in stage.sim.names("core") if c not in (core, owner))
    partition_from_all(stage, core, partition_kind)
    start_time, statuses, heartbeat_statuses = stage.env.now, set(), []
    while stage.env.now - start_time < PARTITION_SECONDS:
        operator.change(other, 0)
        statuses |= call_partitioned_core(stage, core, operator)
        heartbeat = {**HEARTBEAT, "calls": int(stage.env.now * 10)}
        if stage.env.now - start_time > DETECTION_SECONDS:
            heartbeat_statuses.append(
                call(stage, core, "POST", "/Replicas.Heartbeat/i-1", heartbeat)[0]
            )
            heartbeat_statuses.append(call(stage, core, "POST", "/Replicas.Deregister/i-2")[0])
        stage.run(0.3)
    assert operator.acknowledged > 5
    assert {status for _, status in statuses} == {503}, statuses
    assert set(heartbeat_statuses) == {503}
    stage.sim.heal()
    stage.run(4)
    for name in stage.sim.names("core"):
        status, body, _ = call(stage, name, "GET", "/Config.Fetch")
        assert status == 200
    assert body["ver"] >= operator.newest["ver"]
    assert (
        call(stage, core, "POST", "/Replicas.Heartbeat/i-1", {**HEARTBEAT, "calls": 900})[0] == 200
    )


@pytest.mark.parametrize("partition_kind", PARTITION_KINDS)
def test_a_core_that_restarts_while_partitioned_answers_503_to_every_call(partition_kind):
    stage = SelfFoundingFleet(6)
    operator = Operator(stage)
    core, other = stage.owner(), next(c for c in stage.sim.names("core") if c != stage.owner())
    partition_from_all(stage, core, partition_kind)
    stage.run(3)
    stage.sim.kill(core)
    stage.start(core)
    start_time, statuses = stage.env.now, set()
    while stage.env.now - start_time < PARTITION_SECONDS:
        operator.change(other, 0)
        statuses |= call_partitioned_core(stage, core, operator)
        stage.run(0.3)
    assert operator.acknowledged > 5
    assert {status for _, status in statuses} == {503}, statuses
    stage.sim.heal()
    stage.run(4)
    assert call(stage, core, "GET", "/Config.Fetch")[1]["ver"] >= operator.newest["ver"]


@pytest.mark.parametrize("store_index", range(3))
def test_an_owner_partitioned_with_one_store_of_its_group_acknowledges_nothing(store_index):
    """The changes are sent right after the cut, before failure detection."""
    stage = SelfFoundingFleet(8)
    operator, owner = Operator(stage), stage.owner()
    other = next(c for c in stage.sim.names("core") if c != owner)
    side = [owner, stage.sim.nodes[owner].find("ownership").group("config")[store_index][0]]
    stage.sim.cut(side, [name for name in stage.sim.nodes if name not in side])
    for number in range(3):
        status, _, seconds = replace_configuration(
            stage, owner, {**FULL_CONFIGURATION, "ver": 100 + number}, FULL_CONFIGURATION["ver"]
        )
        assert status == 503 and seconds < MAX_ANSWER_SECONDS
    assert stage.wait_for(lambda: operator.change(other, 0) == 200, 10, 0.3) is not None
    stage.sim.heal()
    stage.run(4)
    for name in stage.sim.names("core"):
        assert call(stage, name, "GET", "/Config.Fetch")[1]["ver"] == operator.newest["ver"]


@pytest.mark.parametrize("partition_kind", PARTITION_KINDS)
@pytest.mark.parametrize("restarts", [False, True])
def test_changes_are_accepted_while_a_store_is_partitioned_and_it_catches_up_afterwards(
    partition_kind, restarts
):
    stage = SelfFoundingFleet(7)
    operator = Operator(stage)
    store = stage.sim.nodes["core-1"].find("ownership").group("config")[0][0]
    partition_from_all(stage, store, partition_kind)
    start_time, longest_gap_seconds = stage.env.now, 0.0
    last_accepted_at = stage.env.now
    while stage.env.now - start_time < PARTITION_SECONDS:
        if operator.change("core-2", 0) == 200:
            longest_gap_seconds, last_accepted_at = (
                max(longest_gap_seconds, stage.env.now - last_accepted_at),
                stage.env.now,
            )
        stage.run(0.2)
        if restarts and stage.env.now - start_time > PARTITION_SECONDS / 2:
            restarts = False
            stage.sim.kill(store, loses_power=True)
            stage.start(store)
    assert operator.acknowledged > 20 and longest_gap_seconds < 4
    stage.sim.heal()
    number = operator.newest["ver"]

    def is_up_to_date():
        configuration = stage.sim.nodes[store].find("layout").configuration
        return (configuration or {}).get("edition") == number

    assert stage.wait_for(is_up_to_date, 4) is not None
