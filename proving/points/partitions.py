"""Scenarios about network partitions, replica repair and full disks."""

from proving.points.configuration import FRESH, adopt, names_except
from proving.points.scenario_fleet import ScenarioFleet
from quillring.nifty.graph import Graph
from quillring.ownership.elections import Elections
from quillring.quorum.acceptor.hint_store import HintStore
from quillring.quorum.leader.membership_repair import MembershipRepair
from quillring.store import CheckpointedLog


def run_traffic(fleet, seconds):
    """Generate streams, lots and tile requests for some seconds; return their outcome counts."""
    before = fleet.outcomes()
    fleet.callers.stop_at = fleet.env.now + seconds
    callers = fleet.callers
    fleet.start(callers.generate(6, callers.stream, "wayfinding", "short", 10))
    fleet.start(callers.generate(1, callers.lot, "gate-notices", 3, 0.0))
    fleet.start(callers.generate(6, callers.tile, "tiles"))
    fleet.run(seconds + 12)
    after = fleet.outcomes()
    return {name: n - before.get(name, 0) for name, n in after.items() if n > before.get(name, 0)}


def partial_cut(seed):
    """The edges and core-1 are cut off from the stores and core-2; only core-3 reaches both sides.

    Every request must be served, relayed by core-3.
    """
    fleet = ScenarioFleet(seed)
    left = [*fleet.sim.names("edge"), "core-1"]
    fleet.sim.cut(left, [*fleet.sim.names("store"), "core-2"])
    fleet.run(4)
    outcomes = run_traffic(fleet, 8)
    node = fleet.node("edge-1")
    bridges, sides = node.find("nifty").bridge_nodes(), node.find("nifty").sides()
    if bridges != ("core-3",):
        fleet.sim.history.violate(f"bridges {bridges}, sides {sides}")
    refused = {name: n for name, n in outcomes.items() if not name.endswith(("complete", "ended"))}
    if refused or not outcomes.get("lot/ended"):
        fleet.sim.history.violate(f"service did not continue: {outcomes}")
    relayed = {n.me.name: n.counts.get("relayed", 0) for n in fleet.sim.nodes.values()}
    return fleet.sim.history.violations, {
        **outcomes,
        "relayed": {n: c for n, c in relayed.items() if c},
    }


def several_bridges(seed):
    """The edges are cut off from the stores; the cores reach both and must share the relaying."""
    fleet = ScenarioFleet(seed)
    fleet.sim.cut([*fleet.sim.names("edge")], fleet.sim.names("store"))
    fleet.run(4)
    before = {n.me.name: n.counts.get("relayed", 0) for n in fleet.sim.nodes.values()}
    outcomes = run_traffic(fleet, 8)
    relayed = {
        n.me.name: n.counts.get("relayed", 0) - before[n.me.name]
        for n in fleet.sim.nodes.values()
        if n.me.role == "core"
    }
    if min(relayed.values()) * 6 < max(relayed.values()):
        fleet.sim.history.violate(f"relaying is not spread evenly: {relayed}")
    return fleet.sim.history.violations, {**outcomes, "relayed": relayed}


def one_hop(self, target, origin):
    """Replaces the guard: the first of several bridges always relays."""
    known_route = self.routes.get(target)
    return known_route[1][0] if known_route else None


def cut_without_bridge(seed):
    """The fleet is cut in two without a bridge, and the majority changes the layout.

    Edges on the side without a majority must refuse within 0.1 s; those on the other must serve.
    """
    fleet = ScenarioFleet(seed)
    minority = ["edge-1", "edge-2", "core-1", "store-1"]
    fleet.sim.cut(minority, names_except(fleet, *minority))
    change = {"entries": {"extra-1": {"service": "words", "class": "traveller"}}}
    fleet.run(3)
    adopt(fleet, "core-2", change)
    fleet.run(2)
    slow, outcomes = [], {}
    for side, names in (("minority", minority[:2]), ("majority", ["edge-3", "edge-4"])):
        for number in range(20):
            fleet.route_to_edge(names[number % 2])
            start_time = fleet.env.now
            fleet.finish(fleet.start(fleet.callers.stream("wayfinding", side, 8)))
            if side == "minority" and fleet.env.now - start_time > 0.1:
                slow.append(round(fleet.env.now - start_time, 3))
    outcomes = fleet.outcomes()
    if outcomes.get("minority/refused") != 20 or slow:
        fleet.sim.history.violate(
            f"not every request was refused within 0.1 s: {outcomes}, slow {slow}"
        )
    if outcomes.get("majority/complete") != 20:
        fleet.sim.history.violate(f"the majority side did not serve everything: {outcomes}")
    return fleet.sim.history.violations, outcomes


def closing_fault(seed):
    """Several faults overlap and end at once; measures how soon requests succeed again.

    Nodes are cut off, a store and a core are down, and an edge is frozen. Service counts as
    restored after four rounds in a row in which a stream and a lot complete.
    """
    fleet = ScenarioFleet(seed)
    fleet.sim.cut(
        ["core-1", "store-1", "edge-1"], names_except(fleet, "core-1", "store-1", "edge-1")
    )
    fleet.sim.kill("store-2")
    fleet.sim.kill("core-2")
    fleet.sim.freeze("edge-2", 6)
    fleet.run(6)
    fleet.sim.heal()
    fleet.sim.start("store-2")
    fleet.sim.start("core-2")
    healed_at, restored_at, consecutive_good_rounds = fleet.env.now, None, 0
    for _ in range(120):
        fleet.run(0.1)
        completed_before = sum(
            n for name, n in fleet.outcomes().items() if name in ("probe/complete", "lot/ended")
        )
        fleet.finish(fleet.start(fleet.callers.stream("wayfinding", "probe", 4)))
        lot = fleet.start(fleet.callers.lot("gate-notices", 1, 0.0))
        fleet.finish(lot, 3)
        completed = (
            sum(
                n for name, n in fleet.outcomes().items() if name in ("probe/complete", "lot/ended")
            )
            - completed_before
        )
        consecutive_good_rounds = consecutive_good_rounds + 1 if completed >= 2 else 0
        if consecutive_good_rounds == 4:
            restored_at = fleet.env.now
        if restored_at is not None or fleet.env.now > healed_at + 20:
            break
    restored_after = None if restored_at is None else round(restored_at - healed_at, 2)
    if restored_after is None or restored_after > 12 + 4:
        fleet.sim.history.violate(f"service is not restored in time: {restored_after}")
    return fleet.sim.history.violations, {"four_good_rounds_after_s": restored_after}


def hinted_handoff(seed):
    """A store is isolated while lots are accepted, and a spare store keeps its records as hints.

    After the partition heals, the hints must be handed over and dropped.
    """
    fleet = ScenarioFleet(seed)
    group = [s[0] for s in fleet.node("core-1").find("ownership").group("part-1")]
    fleet.sim.cut([group[0]], names_except(fleet, group[0]))
    fleet.run(3)
    outcomes = run_traffic(fleet, 4)
    hints_kept = sum(
        len(records)
        for n in fleet.sim.up_nodes("store")
        for records in n.find("acceptors").hints.values()
    )
    fleet.sim.heal()
    fleet.run(8)
    hints_left = sum(len(n.find("acceptors").hints) for n in fleet.sim.up_nodes("store"))
    applied = {n: fleet.node(n).find("acceptors").parts["part-1"].applied for n in group}
    if hints_left or not hints_kept or len(set(applied.values())) != 1:
        fleet.sim.history.violate(f"hints kept {hints_kept}, left {hints_left}, applied {applied}")
    return fleet.sim.history.violations, {**outcomes, "hints_kept": hints_kept}


def full_disks(seed):
    """Every disk is full, so that no lot may be accepted; then there is space again.

    The stores restart before lots are submitted again, so only lots that are on disk count.
    """
    fleet = ScenarioFleet(seed)
    for disk in fleet.sim.disks.values():
        disk.is_full = True
    tasks = [fleet.start(fleet.callers.lot("gate-notices", 3, 0.0)) for _ in range(4)]
    for task in tasks:
        fleet.finish(task, 60)
    accepted = fleet.sim.history.counts.get("accepted_lots", 0)
    for name in fleet.sim.names("store"):
        fleet.sim.kill(name, loses_power=True)
    for disk in fleet.sim.disks.values():
        disk.is_full = False
    for name in fleet.sim.names("store"):
        fleet.sim.start(name)
    fleet.run(5)
    fleet.finish(fleet.start(fleet.callers.lot("gate-notices", 3, 0.0)))
    outcomes = fleet.outcomes()
    if accepted or not outcomes.get("lot/ended"):
        fleet.sim.history.violate(f"{accepted} accepted on full disks; {outcomes}")
    return fleet.sim.history.violations, outcomes


def write_nothing(self, batch):
    """Replaces the guard: a failed write is treated as successful."""


def retired_store(seed):
    """An operator retires a store under traffic; it must leave every part."""
    fleet = ScenarioFleet(seed)
    group = [s[0] for s in fleet.node("core-1").find("ownership").group("part-1")]
    adopt(fleet, "core-1", {"stores": {group[0]: {"retired": True}}})
    outcomes = run_traffic(fleet, 10)
    ownership = fleet.node("core-1").find("ownership")
    groups = {part: [s[0] for s in ownership.group(part)] for part in ownership.parts()}
    if any(group[0] in names or len(names) != 3 for names in groups.values()):
        fleet.sim.history.violate(f"{group[0]} is still a member: {groups}")
    return fleet.sim.history.violations, outcomes


def take_at_first_only(self, part, attempts):
    """Replaces the guard: no core runs an election after second 8 of the simulation."""
    if self.node.runtime.env.now > 8:
        return
    yield from REAL_RUN_ELECTION(self, part, attempts)


REAL_RUN_ELECTION = Elections._run_election


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
    (
        "several bridges share the relaying",
        several_bridges,
        [(Graph, "next_hop", one_hop)],
    ),
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
