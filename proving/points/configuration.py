"""Scenarios about configurations and restarts; each returns its violations and figures."""

import sys

from proving.points.scenario_fleet import Stage
from quillring.quorum import commands
from quillring.quorum.parts import CONFIG_PART
from quillring.rollout import schema
from quillring.rollout.freshness import Freshness


def adopt(stage, node_name, change, base=None, seconds=20):
    """An operator changes the layout at a node; return (answer, error)."""
    node = stage.node(node_name)
    version = node.find("layout").version if base is None else base
    command = {
        "do": "layout.adopt",
        "id": f"op {node_name} {stage.env.now}",
        "whole": False,
        "base_version": version,
        "change": change,
    }
    coroutine = node.find("ownership").submit(CONFIG_PART, command)
    answer, error = stage.finish(stage.start(stage.sim.run_coroutine(node, coroutine)), seconds)
    if answer:
        stage.monitor.accept(answer["version"])
    return answer, error


def names_but(stage, *left):
    """Return all node names but these."""
    return [name for name in stage.sim.nodes if name not in left]


def emptied_zone(seed):
    """A domain is emptied while an edge is cut off from all news but not from replicas."""
    stage = Stage(seed)
    stage.only_edge("edge-1")
    stage.start(stage.callers.generate(20, stage.callers.stream, "wayfinding", "short", 8))
    stage.run(0.5)
    stage.sim.cut(["edge-1"], names_but(stage, "edge-1"))
    for zone in ("north", "east"):
        answer, _ = adopt(stage, "core-1", {"domains": {zone: {"emptied": True}}})
        assert answer, "the emptying was not accepted"
        stage.sim.history.emptied[zone] = stage.env.now
    stage.run(9)
    return stage.sim.history.violations, stage.outcomes()


def configuration_everywhere(seed):
    """Layouts change while edges are cut off, frozen, and restarted on the wrong side."""
    stage = Stage(seed)
    change = {"entries": {"extra-1": {"service": "words", "class": "traveller"}}}
    stage.sim.cut(["edge-1", "store-1"], names_but(stage, "edge-1", "store-1"))
    stage.sim.freeze("edge-2", 5)
    adopt(stage, "core-1", change)
    taken_after = []
    start_time = stage.env.now
    for _ in range(40):
        stage.run(0.05)
        if stage.node("edge-3").find("layout").version == 2 and not taken_after:
            taken_after.append(round(stage.env.now - start_time, 3))
    stage.sim.kill("edge-1")
    stage.sim.start("edge-1")
    stage.run(6)
    stage.sim.heal()
    stage.run(6)
    versions = {n: stage.node(n).find("layout").version for n in stage.sim.names("edge")}
    if set(versions.values()) != {2}:
        stage.sim.history.violate(f"versions in the end: {versions}")
    return stage.sim.history.violations, {"seen_after_s": taken_after}


def racing_operators(seed):
    """Two operators change the layout at once on two cores; one layout is invalid."""
    stage = Stage(seed)
    tasks = []
    for number, name in enumerate(("core-1", "core-2", "core-3")):
        node = stage.node(name)
        route = {"service": "words" if number < 2 else "none", "class": "traveller"}
        command = {
            "do": "layout.adopt",
            "id": f"race {number}",
            "whole": False,
            "base_version": 1,
            "change": {"entries": {f"race-{number}": route}},
        }
        coroutine = node.find("ownership").submit(CONFIG_PART, command)
        tasks.append(stage.start(stage.sim.run_coroutine(node, coroutine)))
    outcomes = [stage.finish(task) for task in tasks]
    stage.run(3)
    won = [answer["version"] for answer, _ in outcomes if answer]
    lost = [error for _, error in outcomes if error]
    configuration = stage.node("edge-1").find("layout").configuration
    if len(won) != 1 or "race-2" in configuration["entries"]:
        stage.sim.history.violate(f"versions {won} won, entries {sorted(configuration['entries'])}")
    named = [t.detail.get("winning_version") for t in lost if t.kind == "conflict"]
    return stage.sim.history.violations, {
        "won": won,
        "lost": sorted(t.kind for t in lost),
        "named": named,
    }


def planned_restart(seed):
    """Every edge is restarted as planned, one after another, under traffic."""
    stage = Stage(seed)
    broken = []
    stage.start(stage.callers.generate(8, stage.callers.stream, "wayfinding", "short", 30))
    real_edge = stage.callers.edge

    def ready_edge():
        while True:
            node = real_edge()
            if not node.is_draining:
                return node

    stage.callers.edge = ready_edge
    for name in stage.sim.names("edge"):
        stage.run(0.7)
        node = stage.node(name)
        drain(stage, node)
        broken.append(len(node.find("dispatch").leases))
        stage.sim.kill(name)
        stage.sim.start(name)
        stage.run(2.5)
    stage.callers.stop_at = stage.env.now
    stage.run(10)
    if any(broken):
        stage.sim.history.violate(f"planned restarts cut {broken} inquiries under way")
    return stage.sim.history.violations, stage.outcomes()


def drain(stage, node):
    """What SIGTERM does: take nothing new, finish what is under way."""
    node.is_draining = True
    for _ in range(400):
        if not node.find("dispatch").leases:
            return
        stage.run(0.05)


def adopt_anything(state, command):
    """Stand-in for the guard: no base version is asked for, nothing is checked."""
    configuration = schema.merge(state["layout"] or schema.EMPTY_CONFIGURATION, command["change"])
    return {**state, "layout": configuration, "version": state["version"] + 1}, {
        "version": state["version"] + 1
    }


def drain_nothing(stage, node):
    """Stand-in for the guard: the process just ends."""


def always_fresh(self):
    """Stand-in for the guard: whatever layout is known counts as fresh."""
    return self.node.find("layout").configuration is not None


FRESH = [(Freshness, "is_fresh", always_fresh)]


class CommandsWith:
    """The command registry with one command replaced."""

    def __init__(self, name, replacement):
        self.name = name
        self.replacement = replacement

    def find(self, name):
        """Return the command."""
        return self.replacement if name == self.name else REAL_COMMANDS.find(name)


REAL_COMMANDS = commands.COMMANDS
POINTS = [
    ("an emptied domain gets nothing after 5 s", emptied_zone, FRESH),
    ("a layout takes effect within 2 s and none falls back", configuration_everywhere, FRESH),
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
