"""Scenarios about machines that freeze and wake, stores that go in turn, cores that are cut."""

from proving.points.configuration import adopt, names_but
from proving.points.lots import accept_at_once
from proving.points.partitions import traffic
from proving.points.scenario_fleet import Stage, no_check
from proving.points.serving import rerun_attempt
from quillring.edge import ReplicaTable, stream_handlers
from quillring.nifty.graph import Graph
from quillring.quorum.leader.membership_repair import MembershipRepair
from quillring.rollout.freshness import Freshness
from quillring.store import checkpointed_log


def woken(role):
    """Make the scenario in which a node of a role freezes, the world moves on, and it wakes.

    To a woken edge what came in meanwhile is lost. With a core or store a part's owner and an edge
    freeze and wake as well, and lots come in at that edge at once.
    """

    def scenario(seed):
        stage = Stage(seed)
        sim, chance = stage.sim, stage.sim.chance
        stage.start(stage.callers.generate(8, stage.callers.stream, "wayfinding", "short", 20))
        stage.start(stage.callers.generate(3, stage.callers.stream, "once", "once", 12, True))
        stage.start(stage.callers.generate(1, stage.callers.lot, "gate-notices", 3, 0.3))
        stage.run(1.5)
        name = chance.choice(sim.names(role))
        owner_name = stage.node("edge-1").find("gossip").get("owner/part-1")["owner"]
        name = owner_name if role == "core" else name
        zone = chance.choice([d for d in ("north", "east") if d != sim.rows[name]["domain"]])
        frozen_seconds = chance.uniform(5.5, 7.5)
        sim.freeze(name, frozen_seconds)
        if role == "edge":
            sim.env.timeout(frozen_seconds - 0.001).callbacks.append(
                lambda _: stage.node(name).runtime.packets_while_frozen.clear()
            )
        else:
            for other in {owner_name, "edge-1"} - {name}:
                sim.freeze(other, frozen_seconds)
            stage.start(_lots_at_once(stage, frozen_seconds + 0.01))
        stage.run(0.3)
        others = [n for n in sim.names("core") if n not in (name, owner_name)]
        answer, _ = adopt(stage, others[0], {"domains": {zone: {"emptied": True}}})
        if answer:
            sim.history.emptied[zone] = stage.env.now
        stage.run(12)
        stage.callers.stop_at = stage.env.now
        stage.run(15)
        outcomes, accepted = stage.outcomes(), sim.history.counts.get("accepted_lots", 0)
        ended = outcomes.get("lot/ended", 0) + outcomes.get("lot/cancelled", 0)
        if not answer or ended != accepted:
            sim.history.violate(f"layout {answer}, lots accepted {accepted}: {outcomes}")
        return sim.history.violations, {**outcomes, "frozen": name}

    scenario.__name__ = f"woken_{role}"
    return scenario


def _lots_at_once(stage, seconds):
    yield stage.env.timeout(seconds)
    stage.only_edge("edge-1")
    for _ in range(30):
        stage.start(stage.callers.lot("gate-notices", 2, 0.0))
        yield stage.env.timeout(0.02)
    stage.any_edge()


def woken_replica(seed):
    """A replica freezes amid streams and once-only work, wakes, and goes on as if nothing was."""
    stage = Stage(seed)
    for _ in range(10):
        stage.start(stage.callers.stream("wayfinding", "short", 60))
        stage.start(stage.callers.stream("once", "once", 40, True))
    stage.run(stage.sim.chance.uniform(0.2, 0.8))
    replica = stage.sim.replicas[f"words-{stage.sim.chance.randrange(1, 5)}"]
    replica.is_frozen = True
    stage.run(4)
    replica.is_frozen = False
    stage.run(40)
    outcomes = stage.outcomes()
    if outcomes.get("short/complete", 0) != 10:
        stage.sim.history.violate(f"conversations were dropped: {outcomes}")
    return stage.sim.history.violations, outcomes


def check_groups(stage, when, left_name=None):
    """Every part has three live members, each under its present identity, without the one named."""
    ownership = stage.node("edge-1").find("ownership")
    live = {n.find("acceptors").identity for n in stage.sim.up_nodes("store")}
    for part in ownership.parts():
        stores = ownership.group(part)
        is_sound = len(stores) == 3 and {s[1] for s in stores} <= live
        if not is_sound or left_name in [s[0] for s in stores]:
            stage.sim.history.violate(f"{part} has the group {stores} {when}")


def isolated_store(seed):
    """A store is isolated, then emptied, then retired, under traffic; every part stays whole."""
    stage = Stage(seed)
    sim, callers = stage.sim, stage.callers
    stage.start(callers.generate(1.5, callers.lot, "gate-notices", 3, 0.0))
    stage.start(callers.generate(5, callers.stream, "wayfinding", "short", 10))
    group = stage.node("core-1").find("ownership").group("part-1")
    name = sim.chance.choice([store[0] for store in group])
    sim.cut([name], names_but(stage, name))
    stage.run(5)
    sim.heal()
    stage.run(4)
    sim.lose_disk(name)
    stage.run(1)
    sim.start(name)
    stage.run(12)
    check_groups(stage, "after the store came back empty")
    answer, error = adopt(stage, "core-1", {"stores": {name: {"retired": True}}})
    stage.run(12)
    callers.stop_at = stage.env.now
    stage.run(15)
    check_groups(stage, "after the retirement", name)
    outcomes, accepted = stage.outcomes(), sim.history.counts.get("accepted_lots", 0)
    if outcomes.get("lot/ended", 0) != accepted or not answer:
        sim.history.violate(f"accepted {accepted}, retired {answer or error}: {outcomes}")
    return sim.history.violations, {**outcomes, "store": name}


def two_stores_power(seed):
    """Two stores of a part, its third one slow, and all cores lose power after a confirmation."""
    stage = Stage(seed)
    sim = stage.sim
    for _ in range(3):
        before = sim.history.counts.get("accepted_lots", 0)
        group = [s[0] for s in stage.node("edge-1").find("ownership").group("part-1")]
        names = sim.chance.sample(group, 2)
        (slow_name,) = set(group) - set(names)
        sim.freeze(slow_name, 1.2)
        stage.start(stage.callers.lot("gate-notices", 4, 0.0))
        while sim.history.counts.get("accepted_lots", 0) == before:
            stage.env.step()
        stage.node(slow_name).runtime.packets_while_frozen.clear()
        names += sim.names("core")
        for name in names:
            sim.kill(name, loses_power=True)
        stage.run(sim.chance.uniform(0.2, 3))
        for name in names:
            sim.start(name)
        stage.run(8)
    stage.run(20)
    outcomes = stage.outcomes()
    if outcomes.get("lot/ended", 0) != 3:
        sim.history.violate(f"accepted lots are lost: {outcomes}")
    return sim.history.violations, outcomes


def core_cuts(seed):
    """The cores are cut in two; then off, but for one bridge; then off wholly; then all heals."""
    stage = Stage(seed)
    sim, cores = stage.sim, stage.sim.names("core")
    lone = sim.chance.choice(cores)
    rest = [name for name in cores if name != lone]
    figures = {}
    sim.cut([lone], rest)
    stage.run(4)
    figures["in two"] = traffic(stage, 4)
    sim.net.cuts.clear()
    bridge = sim.chance.choice(sim.names("edge"))
    sim.cut(cores, [n for n in names_but(stage, *cores) if n != bridge])
    stage.run(4)
    figures["bridge"] = traffic(stage, 4)
    sim.cut(cores, [bridge])
    stage.run(4)
    tasks = [stage.start(stage.callers.stream("wayfinding", "alone", 8)) for _ in range(10)]
    stage.run(10)
    figures["alone"] = sum(task.triggered for task in tasks)
    sim.heal()
    stage.run(8)
    figures["healed"] = traffic(stage, 4)
    for phase in ("in two", "bridge", "healed"):
        kinds = {name.partition("/")[0] for name in figures[phase]}
        bad = [n for n in figures[phase] if not n.endswith(("complete", "ended"))]
        if bad or kinds != {"short", "lot", "tile"}:
            sim.history.violate(f"{phase}: {figures[phase]}")
    if figures["alone"] != 10:
        sim.history.violate(f"{figures['alone']} of 10 got an answer while the cores were off")
    return sim.history.violations, {name: figures[name] for name in ("in two", "bridge", "healed")}


def never(self, store):
    """Stand-in for the guard: no store counts as emptied."""
    return False


def always_fresh(self):
    """Stand-in for the guard: whatever layout is known counts as fresh."""
    return self.node.find("layout").configuration is not None


DIRECT = (
    Graph,
    "_bellman_ford",
    lambda self: {name: (1, (name,)) for name in self.links.get(self.home, ())},
)
FRESH = [
    (Freshness, "is_fresh", always_fresh),
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
