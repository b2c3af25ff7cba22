"""Scenarios about network partitions, replica repair and full disks."""

from proving.points.configuration import FRESH, adopt, names_but
from proving.points.scenario_fleet import Stage
from quillring.nifty.graph import Graph
from quillring.ownership.elections import Elections
from quillring.quorum.acceptor.hint_store import HintStore
from quillring.quorum.leader.membership_repair import MembershipRepair
from quillring.store import CheckpointedLog


def traffic(stage, seconds):
    """Let every kind of inquiry run for some seconds; return the outcomes of that time."""
    before = stage.outcomes()
    stage.callers.stop_at = stage.env.now + seconds
    callers = stage.callers
    stage.start(callers.generate(6, callers.stream, "wayfinding", "short", 10))
    stage.start(callers.generate(1, callers.lot, "gate-notices", 3, 0.0))
    stage.start(callers.generate(6, callers.tile, "tiles"))
    stage.run(seconds + 12)
    after = stage.outcomes()
    return {name: n - before.get(name, 0) for name, n in after.items() if n > before.get(name, 0)}


def partial_cut(seed):
    """Edges and two cores on one side, stores on the other; one core reaches both."""
    stage = Stage(seed)
    left = [*stage.sim.names("edge"), "core-1"]
    stage.sim.cut(left, [*stage.sim.names("store"), "core-2"])
    stage.run(4)
    outcomes = traffic(stage, 8)
    node = stage.node("edge-1")
    bridges, sides = node.find("nifty").bridge_nodes(), node.find("nifty").sides()
    if bridges != ("core-3",):
        stage.sim.history.violate(f"bridges {bridges}, sides {sides}")
    refused = {name: n for name, n in outcomes.items() if not name.endswith(("complete", "ended"))}
    if refused or not outcomes.get("lot/ended"):
        stage.sim.history.violate(f"service did not continue: {outcomes}")
    relayed = {n.me.name: n.counts.get("relayed", 0) for n in stage.sim.nodes.values()}
    return stage.sim.history.violations, {
        **outcomes,
        "relayed": {n: c for n, c in relayed.items() if c},
    }


def several_bridges(seed):
    """The same cut with two cores that reach both sides share the relaying."""
    stage = Stage(seed)
    stage.sim.cut([*stage.sim.names("edge")], stage.sim.names("store"))
    stage.run(4)
    before = {n.me.name: n.counts.get("relayed", 0) for n in stage.sim.nodes.values()}
    outcomes = traffic(stage, 8)
    relayed = {
        n.me.name: n.counts.get("relayed", 0) - before[n.me.name]
        for n in stage.sim.nodes.values()
        if n.me.role == "core"
    }
    if min(relayed.values()) * 6 < max(relayed.values()):
        stage.sim.history.violate(f"relay weight is not spread: {relayed}")
    return stage.sim.history.violations, {**outcomes, "relayed": relayed}


def one_hop(self, target, origin):
    """Stand-in for the guard: of several bridges always the first one relays."""
    known_route = self.routes.get(target)
    return known_route[1][0] if known_route else None


def cut_without_bridge(seed):
    """Two sides, no bridge: the side without a majority refuses, at once and honestly."""
    stage = Stage(seed)
    minority = ["edge-1", "edge-2", "core-1", "store-1"]
    stage.sim.cut(minority, names_but(stage, *minority))
    change = {"entries": {"extra-1": {"service": "words", "class": "traveller"}}}
    stage.run(3)
    adopt(stage, "core-2", change)
    stage.run(2)
    slow, outcomes = [], {}
    for side, names in (("minority", minority[:2]), ("majority", ["edge-3", "edge-4"])):
        for number in range(20):
            stage.only_edge(names[number % 2])
            start_time = stage.env.now
            stage.finish(stage.start(stage.callers.stream("wayfinding", side, 8)))
            if side == "minority" and stage.env.now - start_time > 0.1:
                slow.append(round(stage.env.now - start_time, 3))
    outcomes = stage.outcomes()
    if outcomes.get("minority/refused") != 20 or slow:
        stage.sim.history.violate(f"no honest refusal at once: {outcomes}, slow {slow}")
    if outcomes.get("majority/complete") != 20:
        stage.sim.history.violate(f"the majority stopped: {outcomes}")
    return stage.sim.history.violations, outcomes


def closing_fault(seed):
    """Cores are cut in two, a store is down, an edge freezes; all heals; how soon is it back?"""
    stage = Stage(seed)
    stage.sim.cut(["core-1", "store-1", "edge-1"], names_but(stage, "core-1", "store-1", "edge-1"))
    stage.sim.kill("store-2")
    stage.sim.kill("core-2")
    stage.sim.freeze("edge-2", 6)
    stage.run(6)
    stage.sim.heal()
    stage.sim.start("store-2")
    stage.sim.start("core-2")
    healed_at, good_at, in_arow = stage.env.now, None, 0
    for _ in range(120):
        stage.run(0.1)
        done = sum(
            n for name, n in stage.outcomes().items() if name in ("probe/complete", "lot/ended")
        )
        stage.finish(stage.start(stage.callers.stream("wayfinding", "probe", 4)))
        lot = stage.start(stage.callers.lot("gate-notices", 1, 0.0))
        stage.finish(lot, 3)
        good = (
            sum(
                n for name, n in stage.outcomes().items() if name in ("probe/complete", "lot/ended")
            )
            - done
        )
        in_arow = in_arow + 1 if good >= 2 else 0
        if in_arow == 4:
            good_at = stage.env.now
        if good_at is not None or stage.env.now > healed_at + 20:
            break
    back_after = None if good_at is None else round(good_at - healed_at, 2)
    if back_after is None or back_after > 12 + 4:
        stage.sim.history.violate(f"service is not back: {back_after}")
    return stage.sim.history.violations, {"four_good_rounds_after_s": back_after}


def hinted_handoff(seed):
    """A store is isolated while lots are accepted; the spare keeps its records meanwhile."""
    stage = Stage(seed)
    group = [s[0] for s in stage.node("core-1").find("ownership").group("part-1")]
    stage.sim.cut([group[0]], names_but(stage, group[0]))
    stage.run(3)
    outcomes = traffic(stage, 4)
    kept = sum(
        len(records)
        for n in stage.sim.up_nodes("store")
        for records in n.find("acceptors").hints.values()
    )
    stage.sim.heal()
    stage.run(8)
    left = sum(len(n.find("acceptors").hints) for n in stage.sim.up_nodes("store"))
    applied = {n: stage.node(n).find("acceptors").parts["part-1"].applied for n in group}
    if left or not kept or len(set(applied.values())) != 1:
        stage.sim.history.violate(f"kept {kept}, left {left}, applied {applied}")
    return stage.sim.history.violations, {**outcomes, "hints_kept": kept}


def full_disks(seed):
    """Every disk fills up: lots are refused, nothing is accepted; then there is room again."""
    stage = Stage(seed)
    for disk in stage.sim.disks.values():
        disk.is_full = True
    tasks = [stage.start(stage.callers.lot("gate-notices", 3, 0.0)) for _ in range(4)]
    for task in tasks:
        stage.finish(task, 60)
    accepted = stage.sim.history.counts.get("accepted_lots", 0)
    for name in stage.sim.names("store"):
        stage.sim.kill(name, loses_power=True)
    for disk in stage.sim.disks.values():
        disk.is_full = False
    for name in stage.sim.names("store"):
        stage.sim.start(name)
    stage.run(5)
    stage.finish(stage.start(stage.callers.lot("gate-notices", 3, 0.0)))
    outcomes = stage.outcomes()
    if accepted or not outcomes.get("lot/ended"):
        stage.sim.history.violate(f"{accepted} accepted on full disks; {outcomes}")
    return stage.sim.history.violations, outcomes


def write_nothing(self, batch):
    """Stand-in for the guard: a failed write is taken for a good one."""


def retired_store(seed):
    """An operator retires a store machine under traffic."""
    stage = Stage(seed)
    group = [s[0] for s in stage.node("core-1").find("ownership").group("part-1")]
    adopt(stage, "core-1", {"stores": {group[0]: {"retired": True}}})
    outcomes = traffic(stage, 10)
    ownership = stage.node("core-1").find("ownership")
    groups = {part: [s[0] for s in ownership.group(part)] for part in ownership.parts()}
    if any(group[0] in names or len(names) != 3 for names in groups.values()):
        stage.sim.history.violate(f"{group[0]} is still a member: {groups}")
    return stage.sim.history.violations, outcomes


def take_at_first_only(self, part, attempts):
    """Stand-in for the guard: no core takes a part over once the fleet runs."""
    if self.node.runtime.env.now > 8:
        return
    yield from REAL_TAKE(self, part, attempts)


REAL_TAKE = Elections._run_election


POINTS = [
    (
        "a partial cut with a bridge goes on serving",
        partial_cut,
        [
            (
                Graph,
                "_bellman_ford",
                lambda self: {name: (1, (name,)) for name in self.links.get(self.home, ())},
            )
        ],
    ),
    ("several bridges share the relaying", several_bridges, [(Graph, "next_hop", one_hop)]),
    ("a cut without a bridge is refused honestly", cut_without_bridge, FRESH),
    (
        "service returns after a closing fault",
        closing_fault,
        [(Elections, "_run_election", take_at_first_only)],
    ),
    (
        "hints are handed over and dropped",
        hinted_handoff,
        [(HintStore, "_hand_over", lambda self, name: iter(()))],
    ),
    ("full disks accept nothing", full_disks, [(CheckpointedLog, "_write_batch", write_nothing)]),
    (
        "a retired store leaves every part",
        retired_store,
        [(MembershipRepair, "is_retired", lambda self, store: False)],
    ),
]
