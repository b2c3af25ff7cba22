"""One simulated run from one seed: traffic, faults, healing and the final checks."""

from proving.sim.callers import SimCallers
from proving.sim.chaos import Chaos
from proving.sim.connection_resets import DrawnConnectionResets
from proving.sim.fleet import SimFleet
from proving.sim.monitor import Monitor

HEAL_AT_SECONDS, RECOVERY_SECONDS, FINAL_CHECK_SECONDS = 40.0, 12.0, 45.0
AT_MOST_ONCE_CLASS = {
    "first_piece_ms": 1500,
    "time_left_ms": 15_000,
    "urgency": 5,
    "share": 0.0,
    "resumable": False,
    "repeatable": False,
}
SMALL_SIZES = {"sizes": {"edge": 4, "core": 3, "store": 4}}


def start_fleet(deployment, seed, sizes=None):
    """Start a fleet and its founding; it has an additional class whose work runs at most once."""
    sim = SimFleet(deployment, seed, sizes)
    sim.configuration = {
        **sim.configuration,
        "classes": {**sim.configuration["classes"], "once": AT_MOST_ONCE_CLASS},
        "entries": {**sim.configuration["entries"], "once": {"service": "words", "class": "once"}},
    }
    sim.start_all()
    sim.env.process(sim.found())
    return sim


def start_traffic(sim, deployment, scale=1.0):
    """Start callers of every kind at rates multiplied by `scale`."""
    callers = SimCallers(sim)
    short, long, lots = {
        "ferrowa": ("wayfinding", "tagging", "gate-notices"),
        "kilele": ("price-hints", "seller-reviews", "fraud-reports"),
    }[deployment]
    env = sim.env
    env.process(callers.generate(6 * scale, callers.stream, short, "short"))
    env.process(callers.generate(1 * scale, callers.stream, long, "long", 60))
    env.process(callers.generate(2 * scale, callers.stream, "once", "once", 12, True))
    env.process(callers.generate(0.5 * scale, callers.lot, lots))
    if deployment == "ferrowa":
        env.process(callers.generate(10 * scale, callers.tile, "tiles"))
    else:
        env.process(callers.generate(10 * scale, callers.seat, "seats"))
    return callers


def probe_service(sim, callers, deadline):
    """Process: at the deadline after the heal, check that streams complete again; submit lots."""
    yield sim.env.timeout(max(0, deadline - sim.env.now))
    before = dict(callers.record.outcomes)
    route = "wayfinding" if "wayfinding" in sim.configuration["entries"] else "price-hints"
    lots = "gate-notices" if "gate-notices" in sim.configuration["entries"] else "fraud-reports"
    for _ in range(6):
        yield sim.env.process(callers.stream(route, "probe"))
        sim.env.process(callers.lot(lots, 2, 0.0))
    outcomes = {
        o: n - before.get((k, o), 0)
        for (k, o), n in callers.record.outcomes.items()
        if k == "probe"
    }
    if outcomes.get("complete") != 6:
        sim.history.violate(f"service has not recovered: {outcomes}")


def check_groups(sim):
    """Check that every part has three live members in three domains and that no hints remain."""
    identities = {node.find("acceptors").identity for node in sim.up_nodes("store")}
    ownership = sim.up_nodes("core")[0].find("ownership")
    for part in ownership.parts():
        group = ownership.group(part)
        if len(group) != 3 or len({s[2] for s in group}) != 3:
            sim.history.violate(f"{part} has the group {group}")
        if not {s[1] for s in group} <= identities:
            sim.history.violate(f"{part} has members that are not live: {group}")
    hints_by_store = {n.me.name: n.find("acceptors").hints for n in sim.up_nodes("store")}
    if any(hints_by_store.values()):
        sim.history.violate(
            f"undelivered hints remain: {[n for n, h in hints_by_store.items() if h]}"
        )


def run_seed(deployment, seed, fault_count=10, sizes=None, loud_cuts=0):
    """Run one seed, check the end state, and return the fleet and its callers.

    `loud_cuts` is the number of additional partitions that reset or refuse connections.
    """
    sim = start_fleet(deployment, seed, sizes)
    monitor = Monitor(sim)
    sim.env.run(until=6)
    callers = start_traffic(sim, deployment)
    chaos = Chaos(sim, monitor)
    sim.env.process(chaos.run(8, HEAL_AT_SECONDS, fault_count))
    sim.env.process(DrawnConnectionResets(sim).run(8, HEAL_AT_SECONDS, loud_cuts))
    callers.stop_at = HEAL_AT_SECONDS
    sim.env.run(until=HEAL_AT_SECONDS + 0.001)
    sim.env.process(probe_service(sim, callers, HEAL_AT_SECONDS + RECOVERY_SECONDS))
    sim.env.run(until=HEAL_AT_SECONDS + FINAL_CHECK_SECONDS)
    for lot, known in callers.lots.items():
        if known["phase"] == "open":
            sim.history.violate(f"lot {lot} has not ended: {len(known['seen'])} results")
    check_groups(sim)
    sim.history.count("frames refused by cuts", sim.net.refused_frames)
    sim.history.count("frames reset by cuts", sim.net.reset_frames)
    for replica in sim.replicas.values():
        if replica.logic.overloads:
            sim.history.violate(f"{replica.row['name']} was overloaded while cold")
    for kind in ("short", "long", "probe"):
        for outcome in ("given_up", "not_found", "conflict"):
            dropped = callers.record.outcomes.get((kind, outcome), 0)
            sim.history.count("dropped", dropped)
            if dropped:
                sim.history.note(f"dropped {dropped} {kind} ({outcome})")
    return sim, callers
