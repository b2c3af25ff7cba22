"""Scenarios about frozen processes, stores that fail one after another, and isolated cores."""

from proving.points.configuration import adopt, names_except
from proving.points.lots import accept_at_once
from proving.points.partitions import run_traffic
from proving.points.scenario_fleet import ScenarioFleet, no_check
from proving.points.serving import rerun_attempt
from quillring.edge import ReplicaTable, stream_handlers
from quillring.nifty.graph import Graph
from quillring.quorum.leader.membership_repair import MembershipRepair
from quillring.rollout.freshness import Freshness
from quillring.store import checkpointed_log


def woken(role):
    """Return the scenario in which a node of `role` freezes and resumes with outdated state.

    A zone is emptied meanwhile. An edge loses the packets that arrived while it was frozen. With a
    core or a store, a part's owner and edge-1 freeze too, and many lots are submitted at that edge
    right after they resume.
    """

    def scenario(seed):
        fleet = ScenarioFleet(seed)
        sim, rng = fleet.sim, fleet.sim.chance
        fleet.start(fleet.callers.generate(8, fleet.callers.stream, "wayfinding", "short", 20))
        fleet.start(fleet.callers.generate(3, fleet.callers.stream, "once", "once", 12, True))
        fleet.start(fleet.callers.generate(1, fleet.callers.lot, "gate-notices", 3, 0.3))
        fleet.run(1.5)
        name = rng.choice(sim.names(role))
        owner_name = fleet.node("edge-1").find("gossip").get("owner/part-1")["owner"]
        name = owner_name if role == "core" else name
        zone = rng.choice([d for d in ("north", "east") if d != sim.rows[name]["domain"]])
        frozen_seconds = rng.uniform(5.5, 7.5)
        sim.freeze(name, frozen_seconds)
        if role == "edge":
            sim.env.timeout(frozen_seconds - 0.001).callbacks.append(
                lambda _: fleet.node(name).runtime.packets_while_frozen.clear()
            )
        else:
            for other in {owner_name, "edge-1"} - {name}:
                sim.freeze(other, frozen_seconds)
            fleet.start(_submit_lot_burst(fleet, frozen_seconds + 0.01))
        fleet.run(0.3)
        others = [n for n in sim.names("core") if n not in (name, owner_name)]
        answer, _ = adopt(fleet, others[0], {"domains": {zone: {"emptied": True}}})
        if answer:
            sim.history.emptied[zone] = fleet.env.now
        fleet.run(12)
        fleet.callers.stop_at = fleet.env.now
        fleet.run(15)
        outcomes, accepted = fleet.outcomes(), sim.history.counts.get("accepted_lots", 0)
        ended = outcomes.get("lot/ended", 0) + outcomes.get("lot/cancelled", 0)
        if not answer or ended != accepted:
            sim.history.violate(f"layout {answer}, lots accepted {accepted}: {outcomes}")
        return sim.history.violations, {**outcomes, "frozen": name}

    scenario.__name__ = f"woken_{role}"
    return scenario


def _submit_lot_burst(fleet, seconds):
    """Process: after `seconds`, submit 30 lots at edge-1 in quick succession."""
    yield fleet.env.timeout(seconds)
    fleet.route_to_edge("edge-1")
    for _ in range(30):
        fleet.start(fleet.callers.lot("gate-notices", 2, 0.0))
        yield fleet.env.timeout(0.02)
    fleet.route_to_any_edge()


def woken_replica(seed):
    """A replica freezes during streams and unrepeatable work, and resumes them 4 s later."""
    fleet = ScenarioFleet(seed)
    for _ in range(10):
        fleet.start(fleet.callers.stream("wayfinding", "short", 60))
        fleet.start(fleet.callers.stream("once", "once", 40, True))
    fleet.run(fleet.sim.chance.uniform(0.2, 0.8))
    replica = fleet.sim.replicas[f"words-{fleet.sim.chance.randrange(1, 5)}"]
    replica.is_frozen = True
    fleet.run(4)
    replica.is_frozen = False
    fleet.run(40)
    outcomes = fleet.outcomes()
    if outcomes.get("short/complete", 0) != 10:
        fleet.sim.history.violate(f"conversations were dropped: {outcomes}")
    return fleet.sim.history.violations, outcomes


def check_groups(fleet, when, left_name=None):
    """Check that every part has three live members with current identities, without `left_name`."""
    ownership = fleet.node("edge-1").find("ownership")
    live = {n.find("acceptors").identity for n in fleet.sim.up_nodes("store")}
    for part in ownership.parts():
        stores = ownership.group(part)
        is_complete = len(stores) == 3 and {s[1] for s in stores} <= live
        if not is_complete or left_name in [s[0] for s in stores]:
            fleet.sim.history.violate(f"{part} has the group {stores} {when}")


def isolated_store(seed):
    """Under traffic a store is isolated, loses its disk and is retired.

    Every part must end with three members, and no accepted lot may be lost.
    """
    fleet = ScenarioFleet(seed)
    sim, callers = fleet.sim, fleet.callers
    fleet.start(callers.generate(1.5, callers.lot, "gate-notices", 3, 0.0))
    fleet.start(callers.generate(5, callers.stream, "wayfinding", "short", 10))
    group = fleet.node("core-1").find("ownership").group("part-1")
    name = sim.chance.choice([store[0] for store in group])
    sim.cut([name], names_except(fleet, name))
    fleet.run(5)
    sim.heal()
    fleet.run(4)
    sim.lose_disk(name)
    fleet.run(1)
    sim.start(name)
    fleet.run(12)
    check_groups(fleet, "after the store restarted with an empty disk")
    answer, error = adopt(fleet, "core-1", {"stores": {name: {"retired": True}}})
    fleet.run(12)
    callers.stop_at = fleet.env.now
    fleet.run(15)
    check_groups(fleet, "after the retirement", name)
    outcomes, accepted = fleet.outcomes(), sim.history.counts.get("accepted_lots", 0)
    if outcomes.get("lot/ended", 0) != accepted or not answer:
        sim.history.violate(f"accepted {accepted}, retired {answer or error}: {outcomes}")
    return sim.history.violations, {**outcomes, "store": name}


def two_stores_power(seed):
    """Two stores of a part and all cores lose power right after a lot was acknowledged.

    The third store is frozen at that time, so that only the two stores have the lot. Three rounds.
    """
    fleet = ScenarioFleet(seed)
    sim = fleet.sim
    for _ in range(3):
        before = sim.history.counts.get("accepted_lots", 0)
        group = [s[0] for s in fleet.node("edge-1").find("ownership").group("part-1")]
        names = sim.chance.sample(group, 2)
        (slow_name,) = set(group) - set(names)
        sim.freeze(slow_name, 1.2)
        fleet.start(fleet.callers.lot("gate-notices", 4, 0.0))
        while sim.history.counts.get("accepted_lots", 0) == before:
            fleet.env.step()
        fleet.node(slow_name).runtime.packets_while_frozen.clear()
        names += sim.names("core")
        for name in names:
            sim.kill(name, loses_power=True)
        fleet.run(sim.chance.uniform(0.2, 3))
        for name in names:
            sim.start(name)
        fleet.run(8)
    fleet.run(20)
    outcomes = fleet.outcomes()
    if outcomes.get("lot/ended", 0) != 3:
        sim.history.violate(f"accepted lots are lost: {outcomes}")
    return sim.history.violations, outcomes


def core_cuts(seed):
    """The cores are cut in two, then reachable through one bridge, then isolated, then healed.

    Requests must succeed in every phase but the isolation, during which they must be answered.
    """
    fleet = ScenarioFleet(seed)
    sim, cores = fleet.sim, fleet.sim.names("core")
    isolated_core = sim.chance.choice(cores)
    rest = [name for name in cores if name != isolated_core]
    figures = {}
    sim.cut([isolated_core], rest)
    fleet.run(4)
    figures["in two"] = run_traffic(fleet, 4)
    sim.net.cuts.clear()
    bridge = sim.chance.choice(sim.names("edge"))
    sim.cut(cores, [n for n in names_except(fleet, *cores) if n != bridge])
    fleet.run(4)
    figures["bridge"] = run_traffic(fleet, 4)
    sim.cut(cores, [bridge])
    fleet.run(4)
    tasks = [fleet.start(fleet.callers.stream("wayfinding", "alone", 8)) for _ in range(10)]
    fleet.run(10)
    figures["alone"] = sum(task.triggered for task in tasks)
    sim.heal()
    fleet.run(8)
    figures["healed"] = run_traffic(fleet, 4)
    for phase in ("in two", "bridge", "healed"):
        kinds = {name.partition("/")[0] for name in figures[phase]}
        failed = [n for n in figures[phase] if not n.endswith(("complete", "ended"))]
        if failed or kinds != {"short", "lot", "tile"}:
            sim.history.violate(f"{phase}: {figures[phase]}")
    if figures["alone"] != 10:
        sim.history.violate(f"{figures['alone']} of 10 got an answer while the cores were isolated")
    return sim.history.violations, {name: figures[name] for name in ("in two", "bridge", "healed")}


def never(self, store):
    """Replaces the guard: a store that lost its data is not detected."""
    return False


def fresh_with_any_layout(self):
    """Replaces the guard: any known layout counts as fresh, however old its confirmation."""
    return self.node.find("layout").configuration is not None


DIRECT = (
    Graph,
    "_bellman_ford",
    lambda self: {name: (1, (name,)) for name in self.links.get(self.home, ())},
)
FRESH = [
    (Freshness, "is_fresh", fresh_with_any_layout),
    (stream_handlers, "check_before_sending", no_check),
    (ReplicaTable, "is_alive", lambda self, name: True),
]
POINTS = [
    ("a woken edge does nothing of old", woken("edge"), FRESH),
    ("a woken core does nothing of old", woken("core"), []),
    ("a woken store votes for nothing of old", woken("store"), []),
    (
        "a woken replica mixes nothing and runs nothing twice",
        woken_replica,
        [(stream_handlers, "try_replica", rerun_attempt)],
    ),
    (
        "a store isolated, emptied and retired leaves all whole",
        isolated_store,
        [(MembershipRepair, "has_lost_data", never)],
    ),
    (
        "two stores without power after a confirmation lose nothing",
        two_stores_power,
        [(checkpointed_log.CheckpointedLog, "commit", accept_at_once)],
    ),
    ("cores cut in two or off go on or refuse", core_cuts, [DIRECT]),
]
