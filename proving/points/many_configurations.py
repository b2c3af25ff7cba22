"""Scenario about stores that miss many configuration changes."""

import cbor2

from proving.sim.many_changes import ManyChanges, frozen_store, new_owner, restarted_store
from quillring.quorum.leader.anti_entropy import AntiEntropy
from quillring.quorum.parts import CONFIG_PART

CHANGE_COUNT = 120


def many_changes(seed):
    """A store misses CHANGE_COUNT changes while frozen, then while down; at last the owner dies.

    Each time the fleet must be up to date within 4 s; in the end all stores must be equal.
    """
    fleet, figures = ManyChanges(seed, 2, 2, stores=3), {}
    fleet.change(1)
    violations = fleet.sim.history.violations
    for case in (frozen_store, restarted_store, new_owner):
        number = fleet.number
        acknowledged, (seconds, _) = case(fleet, CHANGE_COUNT)
        figures[f"{case.__name__}_s"] = seconds
        if acknowledged != CHANGE_COUNT or seconds is None or seconds > 4:
            fleet.sim.history.violate(
                f"{case.__name__}: {acknowledged} acknowledged, up to date after {seconds} s"
            )
            return violations, figures
        fleet.run(1)
        owner = fleet.owner()
        if owner is None or owner.state["layout"]["edition"] != number + CHANGE_COUNT:
            fleet.sim.history.violate(
                f"{case.__name__}: the owner is missing or has an outdated state"
            )
    nodes = [fleet.sim.nodes[name] for name in fleet.group()]
    states = {cbor2.dumps(n.find("acceptors").parts[CONFIG_PART].state) for n in nodes}
    if len(states) != 1:
        fleet.sim.history.violate("the stores have different states")
    return violations, figures


def nobody_is_late(self):
    """Replaces the guard: no store is found to lag behind."""
    return {}
    yield


POINTS = [
    (
        "a member is in step again after hundreds of changes",
        many_changes,
        [(AntiEntropy, "applied_index_by_store", nobody_is_late)],
    ),
]
