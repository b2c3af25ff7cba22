"""Nodes of the landed and the present version serve together and replace each other."""

import copy
import inspect
import sys
from collections import Counter

import cbor2
import pytest

from quillring.fleet import open_store
from quillring.kernel.effects import Signal
from quillring.nifty.wire import SUPPORTED_VERSIONS
from tests.landed_code import landed
from tests.mixed_fleet import MixedFleet, is_landed

CORES = ("core-1", "core-2", "core-3")
STORES = ("store-1", "store-2", "store-3", "store-4")
EDGES = ("edge-1", "edge-2", "edge-3", "edge-4")
ALL_NAMES = (*CORES, *STORES, *EDGES)
VERSION_MIXES = {
    "landed-majority": ("core-1", "core-3", "store-1", "store-2", "store-3", "edge-1", "edge-2"),
    "present-majority": ("core-2", "store-4", "edge-3"),
    "landed-stores": STORES,
    "landed-cores": CORES,
}
GOOD_OUTCOMES = {"complete", "ended", "cancelled"}
SETTLE_SECONDS = 15.0


def start_traffic(fleet, callers, seconds):
    """Start traffic of every kind that stops after some seconds."""
    callers.stop_at = fleet.env.now + seconds
    for arguments in (
        (3, callers.stream, "wayfinding", "short"),
        (0.8, callers.lot, "gate-notices"),
        (4, callers.tile, "tiles"),
    ):
        fleet.env.process(callers.generate(*arguments))


def run(fleet, seconds):
    fleet.env.run(until=fleet.env.now + seconds)


def check_served(fleet, callers, refused_tiles=0):
    """Check that no guarantee was violated, all answers are good and all accepted lots ended.

    Up to `refused_tiles` tiles may be refused, by edges that have just started.
    """
    run(fleet, SETTLE_SECONDS)
    assert fleet.history.violations == []
    outcomes = dict(callers.record.outcomes)
    assert outcomes.pop(("tile", "refused"), 0) <= refused_tiles
    assert {outcome for _, outcome in outcomes} <= GOOD_OUTCOMES, outcomes
    assert {kind for kind, _ in outcomes} == {"short", "lot", "tile"}
    assert {accepted_lot["phase"] for accepted_lot in callers.lots.values()} <= {
        "ended",
        "cancelled",
    }
    check_states(fleet)


def check_states(fleet):
    """Check that stores with the same applied index of a part have the same state on disk."""
    states, indexes = {}, {}
    for name, disk in fleet.disks.items():
        rows = open_store(copy.deepcopy(disk), name, None).rows()
        applied = {row[1]: row[2][1] for row in rows if row[0] == "part"}
        for part, index in applied.items():
            state = [row[2:] for row in rows if row[0] == "state" and row[1] == part]
            indexes.setdefault(part, Counter())[index] += bool(state)
            key = (part, index, bool(state))
            assert states.setdefault(key, cbor2.dumps(state, canonical=True)) == cbor2.dumps(
                state, canonical=True
            ), f"stores differ in the state of {part} at index {index}"
    assert len(indexes) == 3
    for part, counts in indexes.items():
        assert counts.most_common(1)[0][1] >= 3, (
            f"{part}: no three stores have the same index: {counts}"
        )


def versions_of(fleet):
    """Return the versions in use: True for the landed, False for the present one."""
    return {is_landed(node) for node in fleet.nodes.values()}


def leader_of(fleet, part):
    """Return the name of the core that leads a part, as announced by gossip at edge-4."""
    edge = fleet.nodes["edge-4"]
    return edge.find("gossip").get(f"owner/{part}")["owner"]


def test_landed_modules_share_no_code_with_the_present_version():
    assert landed("quillring.kernel.effects", "Signal") is not Signal
    MixedFleet(1, ALL_NAMES)
    for name, module in list(sys.modules.items()):
        if not name.startswith("landed."):
            continue
        for value in vars(module).values():
            module_name = (
                value.__name__ if inspect.ismodule(value) else getattr(value, "__module__", "")
            )
            assert str(module_name).partition(".")[0] not in ("quillring", "proving"), (name, value)


def test_present_version_supports_the_landed_wire_versions_and_one_more():
    landed_versions = landed("quillring.nifty.wire", "SPOKEN")
    assert (*landed_versions, landed_versions[-1] + 1) == SUPPORTED_VERSIONS


@pytest.mark.parametrize("seed", [3, 4])
@pytest.mark.parametrize("mixture", VERSION_MIXES)
def test_both_versions_serve_together(mixture, seed):
    fleet = MixedFleet(seed, VERSION_MIXES[mixture])
    callers = fleet.start_serving()
    assert versions_of(fleet) == {True, False}
    start_traffic(fleet, callers, 12)
    run(fleet, 12)
    check_served(fleet, callers)


@pytest.mark.parametrize("seed", [5, 6])
@pytest.mark.parametrize(
    ("landed_cores", "is_landed_next"), [(("core-1", "core-2"), False), (("core-3",), True)]
)
def test_leadership_moves_from_one_version_to_the_other(landed_cores, is_landed_next, seed):
    """After the cores of one version are killed, the others lead with all committed state."""
    fleet = MixedFleet(seed, (*landed_cores, "store-1", "store-2", "edge-1"))
    callers = fleet.start_serving()
    start_traffic(fleet, callers, 10)
    run(fleet, 5)
    for name in CORES:
        if is_landed(fleet.nodes[name]) is not is_landed_next:
            fleet.kill(name)
    run(fleet, 6)
    remaining_cores = [name for name in CORES if is_landed(fleet.nodes[name]) is is_landed_next]
    assert {leader_of(fleet, part) for part in ("config", "part-0", "part-1")} <= set(
        remaining_cores
    )
    check_served(fleet, callers)


def run_rolling_restart(seed, was_landed, is_landed_next):
    """Restart every node in turn under traffic; return the fleet and its callers."""
    fleet = MixedFleet(seed, ALL_NAMES if was_landed else ())
    callers = fleet.start_serving()
    start_traffic(fleet, callers, 3.5 * len(ALL_NAMES))
    for name in (*STORES, *CORES, *EDGES):
        fleet.restart(name, is_landed_next)
        run(fleet, 3)
    return fleet, callers


@pytest.mark.parametrize("is_upgrade", [True, False], ids=["upgrade", "downgrade"])
@pytest.mark.parametrize("seed", [7, 8])
def test_rolling_change_of_version_refuses_no_more_calls_than_a_rolling_restart(is_upgrade, seed):
    """Callers see no more refused tiles than in a rolling restart without a change of version."""
    same_fleet, same_callers = run_rolling_restart(seed, was_landed=False, is_landed_next=False)
    run(same_fleet, SETTLE_SECONDS)
    refused_tiles = same_callers.record.outcomes.get(("tile", "refused"), 0)
    fleet, callers = run_rolling_restart(seed, is_upgrade, not is_upgrade)
    assert versions_of(fleet) == {not is_upgrade}
    check_served(fleet, callers, refused_tiles)


@pytest.mark.parametrize("seed", [9, 10])
def test_a_store_that_lost_power_catches_up_from_the_other_version(seed):
    """One store of each version in turn loses power and misses changes while the others serve."""
    fleet = MixedFleet(seed, ("store-1", "store-2", "core-2", "edge-2"))
    callers = fleet.start_serving()
    start_traffic(fleet, callers, 14)
    for name in ("store-1", "store-3"):
        fleet.kill(name, loses_power=True)
        run(fleet, 3)
        fleet.start(name)
        run(fleet, 3)
    run(fleet, 3)
    check_served(fleet, callers)
