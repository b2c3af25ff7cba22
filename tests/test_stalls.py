"""An owner that is suspended or slow confirms no stale write and returns no stale read."""

from unittest import mock

import pytest

from quillring.quorum.leader.part_leader import PartLeader
from quillring.quorum.messages import ConfirmRequest
from quillring.quorum.parts import CONFIG_PART
from quillring.verbs.routes import show_configuration
from tests.fleet_stage import SelfFoundingFleet

FREEZE_SECONDS = (2, 20, 60)
SLOW_STEP_SECONDS = (0.002, 0.008, 0.03)
ORIGINAL_CALL_MAJORITY = PartLeader._call_majority


def domain_order(zone, emptied=True):
    """Return the command that marks a domain as emptied or in use."""
    return {"do": "domain.mark", "domain": zone, "emptied": emptied, "nodes": False}


def freeze_owner_during_call(fleet, request_type, seconds):
    """Freeze the owner of the configuration right after it starts a majority call of the type.

    Return (its name, its PartLeader) shortly before the freeze ends.
    """
    name = fleet.owner()
    owner = fleet.sim.nodes[name].find("ownership").leaders[CONFIG_PART]
    frozen_at = []

    def call_and_freeze_once(self, asked_type, **fields):
        if self is owner and asked_type is request_type and not frozen_at:
            frozen_at.append(fleet.env.now)
            fleet.env.process(freeze_soon())
        return ORIGINAL_CALL_MAJORITY(self, asked_type, **fields)

    def freeze_soon():
        yield fleet.env.timeout(0.0001)
        fleet.sim.freeze(name, seconds)

    with mock.patch.object(PartLeader, "_call_majority", call_and_freeze_once):
        fleet.wait_for(lambda: frozen_at, 2, 0.01)
        fleet.run(frozen_at[0] + seconds - 0.001 - fleet.env.now)
    return name, owner


@pytest.mark.parametrize("seconds", FREEZE_SECONDS)
def test_owner_frozen_during_a_confirmation_has_no_lease_after_it_resumes(seconds):
    fleet = SelfFoundingFleet(11)
    name, owner = freeze_owner_during_call(fleet, ConfirmRequest, seconds)
    assert fleet.owner() not in (None, name), "no other core took over the part"
    lease_times = []
    for _ in range(300):
        fleet.run(0.002)
        if owner.has_lease():
            lease_times.append(fleet.env.now)
    assert lease_times == []
    fleet.run(fleet.sim.bounds.propagation)
    assert not owner.is_leader and not owner.has_lease()


@pytest.mark.parametrize("seconds", FREEZE_SECONDS)
def test_read_frozen_across_a_takeover_returns_no_stale_state(seconds):
    fleet = SelfFoundingFleet(12)
    assert fleet.submit("core-1", domain_order("north", False))[1] is None
    name = fleet.owner()
    node = fleet.sim.nodes[name]
    owner = node.find("ownership").leaders[CONFIG_PART]
    reads = []

    def call_then_freeze(self, request_type, **fields):
        if self is owner and request_type is ConfirmRequest and reads and len(reads) == 1:
            reads.append(fleet.env.now)
            fleet.env.process(freeze_soon())
        return ORIGINAL_CALL_MAJORITY(self, request_type, **fields)

    def freeze_soon():
        yield fleet.env.timeout(0.0001)
        fleet.sim.freeze(name, seconds)

    def read():
        reads.append("begun")
        coroutine = node.find("ownership").read(CONFIG_PART, {"ask": "edition"}, 0.8)
        return (yield from fleet.sim.run_coroutine(node, coroutine))

    with mock.patch.object(PartLeader, "_call_majority", call_then_freeze):
        task = fleet.env.process(read())
        fleet.run(seconds - 0.3)
        other = next(n for n in fleet.sim.names("core") if n != name)
        assert fleet.submit(other, domain_order("north"))[1] is None
        fleet.run(3)
    assert task.triggered
    answer, error = task.value
    assert error is not None or answer["layout"]["domains"]["north"]["emptied"], answer


@pytest.mark.parametrize("seconds", FREEZE_SECONDS)
def test_reported_outcome_of_orders_queued_before_a_freeze_matches_the_state(seconds):
    fleet = SelfFoundingFleet(13)
    name = fleet.owner()
    node = fleet.sim.nodes[name]
    zones = ["north", "east", "south"]
    tasks = [
        fleet.env.process(
            fleet.sim.run_coroutine(
                node, node.find("ownership").submit(CONFIG_PART, domain_order(zone), 0.8)
            )
        )
        for zone in zones
    ]
    fleet.run(0.0004)
    fleet.sim.freeze(name, seconds)
    fleet.run(seconds + 4)
    other = next(n for n in fleet.sim.names("core") if n != name)
    current, error = fleet.read(other, {"ask": "edition"})
    assert error is None
    domains = current["layout"].get("domains", {}) if current["layout"] else {}
    for zone, task in zip(zones, tasks, strict=True):
        assert task.triggered
        answer, error = task.value
        is_in_force = domains.get(zone, {}).get("emptied", False)
        assert is_in_force or answer is None, (
            f"{zone} was confirmed but is not in the configuration"
        )
        assert not is_in_force or error is None or error.kind == "outcome_unknown", error


def test_partitioned_node_shows_its_configuration_as_not_fresh():
    fleet = SelfFoundingFleet(14)
    assert fleet.submit("core-1", domain_order("north"))[1] is None
    fleet.run(1)
    for name in ("core-2", "edge-1"):
        node = fleet.sim.nodes[name]
        assert show_configuration(node, None)["is_fresh"]
        fleet.sim.cut([name], [other for other in fleet.sim.nodes if other != name])
        fleet.run(fleet.sim.bounds.propagation)
        shown = show_configuration(node, None)
        assert shown["layout"]["domains"]["north"]["emptied"] and not shown["is_fresh"]


def newer_ballots(fleet, owner):
    """Return the ballots, higher than the given owner's, under which other cores own the part."""
    owners = [
        node.find("ownership").leaders.get(CONFIG_PART)
        for node in fleet.sim.up_nodes("core")
        if node is not owner.node
    ]
    return [o.ballot for o in owners if o is not None and o.is_leader and o.ballot > owner.ballot]


@pytest.mark.parametrize("step_seconds", SLOW_STEP_SECONDS)
@pytest.mark.parametrize("seed", [21, 22])
def test_lease_of_a_slow_owner_overlaps_a_newer_owner_by_at_most_the_lease_time(seed, step_seconds):
    fleet = SelfFoundingFleet(seed)
    name = fleet.owner()
    node = fleet.sim.nodes[name]
    node.runtime.step_seconds = step_seconds
    other = next(n for n in fleet.sim.names("core") if n != name)
    tasks, newer_owner_since, overlap = [], {}, 0
    for step in range(800):
        if step % 40 == 0:
            order = domain_order(f"zone-{step}")
            asked = node if step % 80 else fleet.sim.nodes[other]
            coroutine = asked.find("ownership").submit(CONFIG_PART, order, 0.8)
            tasks.append(
                (order["domain"], fleet.env.process(fleet.sim.run_coroutine(asked, coroutine)))
            )
        fleet.run(0.02)
        owner = node.find("ownership").leaders.get(CONFIG_PART)
        for ballot in newer_ballots(fleet, owner):
            since = newer_owner_since.setdefault(ballot, fleet.env.now)
            if owner.has_lease():
                overlap = max(overlap, fleet.env.now - since)
    assert overlap <= fleet.sim.bounds.heartbeat_interval * 2
    node.runtime.step_seconds = 0
    fleet.run(4)
    current, error = fleet.read(other, {"ask": "edition"})
    assert error is None
    domains = current["layout"]["domains"]
    for zone, task in tasks:
        answer, error = task.value if task.triggered else (None, None)
        assert answer is None or domains.get(zone, {}).get("emptied"), (
            f"{zone} was confirmed but is not in the configuration"
        )
        assert error is None or error.status >= 500, error
    assert sum(task.value[1] is None for _, task in tasks[::2] if task.triggered) >= 5
