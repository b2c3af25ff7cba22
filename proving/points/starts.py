"""Scenarios about restarts: clocks set back, mixed versions and rolling upgrades."""

from proving.points.configuration import drain
from proving.points.partitions import run_traffic
from proving.points.scenario_fleet import ScenarioFleet
from quillring.nifty import Nifty
from quillring.nifty.wire import SUPPORTED_VERSIONS

PREVIOUS_VERSIONS = tuple(version - 1 for version in SUPPORTED_VERSIONS)
UNKNOWN_VERSIONS = tuple(version + 5 for version in SUPPORTED_VERSIONS)


def clock_set_back(seed):
    """An edge, a core and a store restart with clocks set back and must be admitted again."""
    fleet = ScenarioFleet(seed)
    fleet.start(fleet.callers.lot("gate-notices", 6, 0.0))
    names = [fleet.sim.chance.choice(fleet.sim.names(role)) for role in ("edge", "core", "store")]
    for name in names:
        fleet.sim.kill(name)
        fleet.sim.incarnation_bases[name] = 0
        fleet.sim.start(name)
    fleet.run(6)
    unreached_names = sorted(
        {
            name
            for node in fleet.sim.nodes.values()
            for name in names
            if not node.find("nifty").reaches(name)
        }
    )
    if unreached_names:
        fleet.sim.history.violate(f"{unreached_names} are still unreachable from some node")
    fleet.route_to_edge(names[0])
    outcomes = run_traffic(fleet, 4)
    if any(not name.endswith(("complete", "ended")) for name in outcomes):
        fleet.sim.history.violate(f"not every request at {names[0]} succeeded: {outcomes}")
    return fleet.sim.history.violations, {**outcomes, "restarted": names}


def mixed_versions(seed):
    """Nodes of the previous version are upgraded one by one under traffic.

    The fleet uses the previous version until the last node is upgraded. A node with an unknown
    version tries to join throughout, and must be counted and not admitted.
    """
    fleet = ScenarioFleet(seed, versions=PREVIOUS_VERSIONS)
    sim, callers = fleet.sim, fleet.callers
    unknown_node_row = {
        "name": "edge-9",
        "role": "edge",
        "domain": "west",
        "address": "127.0.41.99:7400",
        "seeds": [sim.rows["core-1"]["address"]],
    }
    sim.rows["edge-9"], sim.versions["edge-9"] = unknown_node_row, UNKNOWN_VERSIONS
    real_edge = callers.edge

    def ready_edge():
        while True:
            node = real_edge()
            if not node.is_draining and node.me.name != "edge-9":
                return node

    callers.edge = ready_edge
    fleet.start(callers.generate(5, callers.stream, "wayfinding", "short", 12))
    fleet.start(callers.generate(0.7, callers.lot, "gate-notices", 3, 0.0))
    sim.start("edge-9")
    order = [name for name in sim.rows if name != "edge-9"]
    sim.chance.shuffle(order)
    versions_in_use = []
    for name in order:
        node = fleet.node(name)
        versions_in_use.append(fleet.node("edge-1").find("nifty").lowest_common_version())
        if node.me.role != "store":
            drain(fleet, node)
        sim.kill(name)
        sim.versions[name] = SUPPORTED_VERSIONS
        sim.start(name)
        fleet.run(3.5)
    callers.stop_at = fleet.env.now
    fleet.run(20)
    outcomes = fleet.outcomes()
    after = {fleet.node(n).find("nifty").lowest_common_version() for n in order}
    if after != {SUPPORTED_VERSIONS[-1]} or set(versions_in_use) != {PREVIOUS_VERSIONS[-1]}:
        sim.history.violate(f"versions in use {versions_in_use}, in the end {after}")
    rejected_heartbeats = fleet.node("core-1").counts.get("other_versions", 0)
    if not rejected_heartbeats or "edge-9" in fleet.node("core-1").find("nifty").roster.members:
        sim.history.violate(
            f"unknown version admitted or not counted: {rejected_heartbeats} heartbeats"
        )
    failed = {k: n for k, n in outcomes.items() if not k.endswith(("complete", "ended", "refused"))}
    accepted = sim.history.counts.get("accepted_lots", 0)
    if failed or outcomes.get("lot/ended", 0) != accepted:
        sim.history.violate(f"accepted {accepted}, outcomes {outcomes}")
    return sim.history.violations, {**outcomes, "knocked": rejected_heartbeats}


def no_word(*args):
    """Replaces the guard: a restarted node isn't told that a higher incarnation is known."""


REAL_INIT = Nifty.__init__


def newest_only(self, node, seeds, versions):
    """Replaces the guard: every node supports only its newest version."""
    REAL_INIT(self, node, seeds, versions[-1:])


POINTS = [
    ("a clock set back keeps no node out", clock_set_back, [(Nifty, "send_direct", no_word)]),
    (
        "two versions work together in an upgrade",
        mixed_versions,
        [(Nifty, "__init__", newest_only)],
    ),
]
