"""Scenarios about configuration changes and planned restarts."""

import sys

from proving.points.scenario_fleet import ScenarioFleet
from quillring.quorum import commands
from quillring.quorum.parts import CONFIG_PART
from quillring.rollout import schema
from quillring.rollout.freshness import Freshness


def adopt(fleet, node_name, change, base=None, seconds=20):
    """Send a change of the layout through a node; return (answer, error).

    `base` is the version that the change is based on, by default the one that the node knows.
    """
    node = fleet.node(node_name)
    version = node.find("layout").version if base is None else base
    command = {
        "do": "layout.adopt",
        "id": f"op {node_name} {fleet.env.now}",
        "whole": False,
        "base_version": version,
        "change": change,
    }
    coroutine = node.find("ownership").submit(CONFIG_PART, command)
    answer, error = fleet.finish(fleet.start(fleet.sim.run_coroutine(node, coroutine)), seconds)
    if answer:
        fleet.monitor.accept(answer["version"])
    return answer, error


def names_except(fleet, *excluded_names):
    """Return the names of all nodes except these."""
    return [name for name in fleet.sim.nodes if name not in excluded_names]


def emptied_zone(seed):
    """Zones are emptied while an edge that still reaches the replicas is cut off from all nodes."""
    fleet = ScenarioFleet(seed)
    fleet.route_to_edge("edge-1")
    fleet.start(fleet.callers.generate(20, fleet.callers.stream, "wayfinding", "short", 8))
    fleet.run(0.5)
    fleet.sim.cut(["edge-1"], names_except(fleet, "edge-1"))
    for zone in ("north", "east"):
        answer, _ = adopt(fleet, "core-1", {"domains": {zone: {"emptied": True}}})
        assert answer, "the change that empties the zone was not accepted"
        fleet.sim.history.emptied[zone] = fleet.env.now
    fleet.run(9)
    return fleet.sim.history.violations, fleet.outcomes()


def configuration_everywhere(seed):
    """The layout changes while one edge is isolated and then restarted, and another is frozen.

    After the cut heals, every edge must have the new version.
    """
    fleet = ScenarioFleet(seed)
    change = {"entries": {"extra-1": {"service": "words", "class": "traveller"}}}
    fleet.sim.cut(["edge-1", "store-1"], names_except(fleet, "edge-1", "store-1"))
    fleet.sim.freeze("edge-2", 5)
    adopt(fleet, "core-1", change)
    seen_after = []
    start_time = fleet.env.now
    for _ in range(40):
        fleet.run(0.05)
        if fleet.node("edge-3").find("layout").version == 2 and not seen_after:
            seen_after.append(round(fleet.env.now - start_time, 3))
    fleet.sim.kill("edge-1")
    fleet.sim.start("edge-1")
    fleet.run(6)
    fleet.sim.heal()
    fleet.run(6)
    versions = {n: fleet.node(n).find("layout").version for n in fleet.sim.names("edge")}
    if set(versions.values()) != {2}:
        fleet.sim.history.violate(f"edges have different versions in the end: {versions}")
    return fleet.sim.history.violations, {"seen_after_s": seen_after}


def racing_operators(seed):
    """Operators change the layout through three cores at once; one of the changes is invalid.

    Exactly one valid change may succeed.
    """
    fleet = ScenarioFleet(seed)
    tasks = []
    for number, name in enumerate(("core-1", "core-2", "core-3")):
        node = fleet.node(name)
        route = {"service": "words" if number < 2 else "none", "class": "traveller"}
        command = {
            "do": "layout.adopt",
            "id": f"race {number}",
            "whole": False,
            "base_version": 1,
            "change": {"entries": {f"race-{number}": route}},
        }
        coroutine = node.find("ownership").submit(CONFIG_PART, command)
        tasks.append(fleet.start(fleet.sim.run_coroutine(node, coroutine)))
    outcomes = [fleet.finish(task) for task in tasks]
    fleet.run(3)
    won_versions = [answer["version"] for answer, _ in outcomes if answer]
    refusals = [error for _, error in outcomes if error]
    configuration = fleet.node("edge-1").find("layout").configuration
    if len(won_versions) != 1 or "race-2" in configuration["entries"]:
        fleet.sim.history.violate(
            f"versions {won_versions} won, entries {sorted(configuration['entries'])}"
        )
    named = [
        refusal.detail.get("winning_version") for refusal in refusals if refusal.kind == "conflict"
    ]
    return fleet.sim.history.violations, {
        "won": won_versions,
        "lost": sorted(refusal.kind for refusal in refusals),
        "named": named,
    }


def planned_restart(seed):
    """Every edge in turn is drained and restarted under traffic; no request may be interrupted."""
    fleet = ScenarioFleet(seed)
    interrupted_counts = []
    fleet.start(fleet.callers.generate(8, fleet.callers.stream, "wayfinding", "short", 30))
    real_edge = fleet.callers.edge

    def ready_edge():
        while True:
            node = real_edge()
            if not node.is_draining:
                return node

    fleet.callers.edge = ready_edge
    for name in fleet.sim.names("edge"):
        fleet.run(0.7)
        node = fleet.node(name)
        drain(fleet, node)
        interrupted_counts.append(len(node.find("dispatch").leases))
        fleet.sim.kill(name)
        fleet.sim.start(name)
        fleet.run(2.5)
    fleet.callers.stop_at = fleet.env.now
    fleet.run(10)
    if any(interrupted_counts):
        fleet.sim.history.violate(f"planned restarts interrupted {interrupted_counts} requests")
    return fleet.sim.history.violations, fleet.outcomes()


def drain(fleet, node):
    """Drain an edge as SIGTERM does: accept no new requests and finish those in flight."""
    node.is_draining = True
    for _ in range(400):
        if not node.find("dispatch").leases:
            return
        fleet.run(0.05)


def adopt_anything(state, command):
    """Replaces the guard: a change is applied without a check of its base version or content."""
    configuration = schema.merge(state["layout"] or schema.EMPTY_CONFIGURATION, command["change"])
    return {**state, "layout": configuration, "version": state["version"] + 1}, {
        "version": state["version"] + 1
    }


def drain_nothing(fleet, node):
    """Replaces the guard: the process ends without draining."""


def fresh_with_any_layout(self):
    """Replaces the guard: any known layout counts as fresh, however old its confirmation."""
    return self.node.find("layout").configuration is not None


FRESH = [(Freshness, "is_fresh", fresh_with_any_layout)]


class CommandsWith:
    """The command registry with one command replaced."""

    def __init__(self, name, replacement):
        self.name = name
        self.replacement = replacement

    def find(self, name):
        """Return the command of this name."""
        return self.replacement if name == self.name else REAL_COMMANDS.find(name)


REAL_COMMANDS = commands.COMMANDS
POINTS = [
    ("an emptied domain gets nothing after 5 s", emptied_zone, FRESH),
    (
        "a layout takes effect within 2 s and none falls back",
        configuration_everywhere,
        FRESH,
    ),
    (
        "a losing or invalid layout never takes effect",
        racing_operators,
        [(commands, "COMMANDS", CommandsWith("layout.adopt", adopt_anything))],
    ),
    (
        "no planned restart cuts an inquiry",
        planned_restart,
        [(sys.modules[__name__], "drain", drain_nothing)],
    ),
]
