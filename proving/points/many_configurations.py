"""Scenarios about hundreds of configurations; each returns its violations and figures."""

import cbor2

from proving.sim.many_changes import ManyChanges, frozen_store, new_owner, restarted_store
from quillring.quorum.leader.anti_entropy import AntiEntropy
from quillring.quorum.parts import CONFIG_PART

CHANGES = 120


def many_changes(seed):
    """A store that missed a hundred changes, frozen or down, comes back; then the owner dies."""
    fleet, figures = ManyChanges(seed, 2, 2, stores=3), {}
    fleet.change(1)
    violations = fleet.sim.history.violations
    for case in (frozen_store, restarted_store, new_owner):
        number = fleet.number
        taken, (seconds, _) = case(fleet, CHANGES)
        figures[f"{case.__name__}_s"] = seconds
        if taken != CHANGES or seconds is None or seconds > 4:
            fleet.sim.history.violate(f"{case.__name__}: {taken} taken, in step after {seconds}")
            return violations, figures
        fleet.run(1)
        owner = fleet.owner()
        if owner is None or owner.state["layout"]["edition"] != number + CHANGES:
            fleet.sim.history.violate(f"{case.__name__}: an owner leads with an old state")
    nodes = [fleet.sim.nodes[name] for name in fleet.group()]
    states = {cbor2.dumps(n.find("acceptors").parts[CONFIG_PART].state) for n in nodes}
    if len(states) != 1:
        fleet.sim.history.violate("the stores hold different states")
    return violations, figures


def nobody_is_late(self):
    """Stand-in for the guard: no store is found to miss anything."""
    return {}
    yield


POINTS = [
    (
        "a member is in step again after hundreds of changes",
        many_changes,
        [(AntiEntropy, "applied_index_by_store", nobody_is_late)],
    ),
]
