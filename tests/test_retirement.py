"""A retirement is reported as finished only when no part needs the store any more.

Failures right after that report must not lose data.
"""

from unittest import mock

import pytest

from quillring.kernel.effects import Sleep
from quillring.quorum.acceptor.hint_store import HintStore
from quillring.quorum.acceptor.log_records import HintRecord
from quillring.quorum.leader.membership_repair import MembershipRepair
from quillring.rollout.operator_orders import is_retired
from tests.fleet_stage import SelfFoundingFleet
from tests.test_membership_repair import (
    PARTS,
    all_parts_replicated,
    members,
    owners,
    zone_order_command,
)

FIVE_STORES = {"sizes": {"edge": 1, "core": 4, "store": 5}}


def retire(stage, store):
    """Order the retirement of a store and assert that it is accepted."""
    command = {"do": "store.mark", "store": store, "retired": True}
    assert stage.submit("core-1", command, seconds=3)[1] is None


def is_finished(stage, store, name="core-1"):
    """Return whether a core reports the retirement of a store as finished."""
    return stage.ask(name, is_retired(stage.sim.nodes[name], store, 2))[0]


def keep_writing(node, part, is_over, pause_seconds):
    """Coroutine: submit commands for a part until `is_over` is not empty."""
    number = 0
    while not is_over:
        number += 1
        yield from node.find("ownership").submit(
            part, zone_order_command(f"{part}-{number % 9}"), 5
        )
        yield Sleep(pause_seconds)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_retirement_finishes_under_continuous_writes(seed):
    stage, is_over = SelfFoundingFleet(seed), []
    store, node = members(stage)[0], stage.sim.nodes["core-1"]
    for part in PARTS:
        for _ in range(4):
            node.spawn(keep_writing(node, part, is_over, 0.002))
    stage.run(1)
    retire(stage, store)
    finished_after_seconds = stage.wait_for(lambda: is_finished(stage, store), 3)
    is_over.append(True)
    assert finished_after_seconds is not None


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_retirement_waits_until_the_hints_for_other_stores_are_handed_over(seed):
    stage = SelfFoundingFleet(seed, FIVE_STORES)
    store = next(n for n in stage.sim.names("store") if n not in members(stage, "part-0"))
    other = members(stage, "part-0")[0]
    with mock.patch.object(HintStore, "_hand_over", lambda self, name: iter(())):
        record = {"part": "part-0", "ballot": [0, ""], "identity": "", "index": 0}
        acceptors = stage.stores()[store]
        stage.ask(
            store, acceptors.persist(HintRecord(other, {**record, "batch": [], "committed": 0}))
        )
        retire(stage, store)
        stage.run(6)
        assert not is_finished(stage, store)
    assert stage.wait_for(lambda: is_finished(stage, store), 2) is not None
    assert not acceptors.hints


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_retirement_is_not_finished_while_another_group_member_is_down(seed):
    stage = SelfFoundingFleet(seed, FIVE_STORES)
    store = next(n for n in stage.sim.names("store") if n not in members(stage, "part-0"))
    retire(stage, store)
    assert stage.wait_for(lambda: is_finished(stage, store), 6) is not None
    other = members(stage, "part-0")[0]
    stage.sim.kill(other)
    assert not is_finished(stage, store)
    stage.start(other)
    assert stage.wait_for(lambda: is_finished(stage, store), 6) is not None


@pytest.mark.parametrize("seed", range(1, 7))
def test_a_retired_store_joins_no_group_although_an_owner_has_stale_state(seed):
    stage = SelfFoundingFleet(seed, FIVE_STORES)
    store = next(n for n in stage.sim.names("store") if n not in members(stage, "part-0"))
    retire(stage, store)
    assert stage.wait_for(lambda: is_finished(stage, store), 6) is not None
    with mock.patch.object(MembershipRepair, "is_retired", lambda self, store: False):
        spares = [n for n in stage.sim.names("store") if n not in members(stage, "part-0")]
        for name in (*(n for n in spares if n != store), members(stage, "part-0")[0]):
            stage.sim.kill(name)
        stage.run(8)
        assert not [
            part for part in PARTS if part in owners(stage) and store in members(stage, part)
        ]


@pytest.mark.parametrize("seed", range(1, 9))
def test_no_write_is_lost_by_several_failures_right_after_a_retirement_finished(seed):
    stage, is_over = SelfFoundingFleet(seed, FIVE_STORES), []
    store = members(stage)[seed % 3]
    for number in range(6):
        assert stage.submit("core-1", zone_order_command(f"d{number}"))[1] is None
    node = stage.sim.nodes["core-1"]
    node.spawn(keep_writing(node, "config", is_over, 0.003))
    retire(stage, store)
    assert stage.wait_for(lambda: is_finished(stage, store), 6, 0.01) is not None
    for part in PARTS:
        assert store not in [s[0] for s in owners(stage)[part].group]
    stage.sim.lose_disk(store)
    owner_name = stage.owner()
    stage.sim.kill(owner_name)
    store_with_lost_disk = next(n for n in members_by_gossip(stage) if n != store)
    stage.sim.lose_disk(store_with_lost_disk)
    is_over.append(True)
    stage.run(1)
    stage.start(store_with_lost_disk)
    assert stage.wait_for(lambda: len(owners(stage)) == len(PARTS), 6) is not None
    assert stage.wait_for(lambda: all_parts_replicated(stage), 8) is not None
    assert {f"d{number}" for number in range(6)} < ordered_zones_at(stage)


def members_by_gossip(stage):
    """Return the stores of the config part's group as an edge knows it from gossip."""
    node = stage.sim.up_nodes("edge")[0]
    return [store[0] for store in node.find("ownership").group("config")]


def ordered_zones_at(stage):
    """Return the zones with a drain order, read through a running core."""
    name = next(n.me.name for n in stage.sim.up_nodes("core"))
    answer, error = stage.read(name, {"ask": "edition"}, seconds=3)
    assert error is None
    return set(answer["layout"]["domains"])


def test_a_retirement_check_of_many_parts_with_high_latency_fits_into_one_short_call():
    stage = SelfFoundingFleet(1, FIVE_STORES, parts=48)
    stage.sim.net.min_delay_seconds, stage.sim.net.max_delay_seconds = 0.015, 0.025
    store = members(stage)[0]
    retire(stage, store)
    stage.run(12)
    answer, error = stage.ask("core-1", is_retired(stage.sim.nodes["core-1"], store, 0.8))
    assert error is None and answer
