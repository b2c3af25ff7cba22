"""Scenarios about starts: clocks set back, versions mixed, settings changed, rolling upgrades."""

from proving.points.configuration import drain
from proving.points.partitions import traffic
from proving.points.scenario_fleet import Stage
from quillring.nifty import Nifty
from quillring.nifty.wire import SUPPORTED_VERSIONS

FORMER = tuple(version - 1 for version in SUPPORTED_VERSIONS)
STRANGE = tuple(version + 5 for version in SUPPORTED_VERSIONS)


def clock_set_back(seed):
    """An edge, a core and a store are restarted, their clocks set back by a long time."""
    stage = Stage(seed)
    stage.start(stage.callers.lot("gate-notices", 6, 0.0))
    names = [stage.sim.chance.choice(stage.sim.names(role)) for role in ("edge", "core", "store")]
    for name in names:
        stage.sim.kill(name)
        stage.sim.incarnation_bases[name] = 0
        stage.sim.start(name)
    stage.run(6)
    lost = sorted(
        {
            name
            for node in stage.sim.nodes.values()
            for name in names
            if not node.find("nifty").reaches(name)
        }
    )
    if lost:
        stage.sim.history.violate(f"{lost} are still kept out")
    stage.only_edge(names[0])
    outcomes = traffic(stage, 4)
    if any(not name.endswith(("complete", "ended")) for name in outcomes):
        stage.sim.history.violate(f"not served at {names[0]}: {outcomes}")
    return stage.sim.history.violations, {**outcomes, "restarted": names}


def mixed_versions(seed):
    """A fleet of the former version is upgraded one by one under traffic; a strange one knocks."""
    stage = Stage(seed, versions=FORMER)
    sim, callers = stage.sim, stage.callers
    wrong_fleet = {
        "name": "edge-9",
        "role": "edge",
        "domain": "west",
        "address": "127.0.41.99:7400",
        "seeds": [sim.rows["core-1"]["address"]],
    }
    sim.rows["edge-9"], sim.versions["edge-9"] = wrong_fleet, STRANGE
    real_edge = callers.edge

    def ready_edge():
        while True:
            node = real_edge()
            if not node.is_draining and node.me.name != "edge-9":
                return node

    callers.edge = ready_edge
    stage.start(callers.generate(5, callers.stream, "wayfinding", "short", 12))
    stage.start(callers.generate(0.7, callers.lot, "gate-notices", 3, 0.0))
    sim.start("edge-9")
    order = [name for name in sim.rows if name != "edge-9"]
    sim.chance.shuffle(order)
    levels = []
    for name in order:
        node = stage.node(name)
        levels.append(stage.node("edge-1").find("nifty").lowest_common_version())
        if node.me.role != "store":
            drain(stage, node)
        sim.kill(name)
        sim.versions[name] = SUPPORTED_VERSIONS
        sim.start(name)
        stage.run(3.5)
    callers.stop_at = stage.env.now
    stage.run(20)
    outcomes = stage.outcomes()
    after = {stage.node(n).find("nifty").lowest_common_version() for n in order}
    if after != {SUPPORTED_VERSIONS[-1]} or set(levels) != {FORMER[-1]}:
        sim.history.violate(f"levels {levels}, in the end {after}")
    knocked = stage.node("core-1").counts.get("other_versions", 0)
    if not knocked or "edge-9" in stage.node("core-1").find("nifty").roster.members:
        sim.history.violate(f"the strange node: {knocked} beats counted")
    bad = {k: n for k, n in outcomes.items() if not k.endswith(("complete", "ended", "refused"))}
    accepted = sim.history.counts.get("accepted_lots", 0)
    if bad or outcomes.get("lot/ended", 0) != accepted:
        sim.history.violate(f"accepted {accepted}, outcomes {outcomes}")
    return sim.history.violations, {**outcomes, "knocked": knocked}


def no_word(*words):
    """Stand-in for the guard: nobody tells a late start of the former one."""


REAL_INIT = Nifty.__init__


def newest_only(self, node, seeds, versions):
    """Stand-in for the guard: every node speaks its newest version and no other."""
    REAL_INIT(self, node, seeds, versions[-1:])


POINTS = [
    ("a clock set back keeps no node out", clock_set_back, [(Nifty, "send_direct", no_word)]),
    (
        "two versions work together in an upgrade",
        mixed_versions,
        [(Nifty, "__init__", newest_only)],
    ),
]
