"""Scenarios about machines that are swapped, seeds that change, founding, floods of lots."""

from proving.points.partitions import traffic
from proving.points.scenario_fleet import Stage
from proving.sim.fleet import SimFleet
from quillring.classes import QuotaClient
from quillring.edge.slot_lease import QueuedRequest
from quillring.lots.prompts import scheduler
from quillring.nifty import Nifty
from quillring.quorum.acceptor import Acceptors
from quillring.quorum.acceptor.log_records import FoundRecord
from quillring.quorum.founding.founding import found_fleet


def swapped_machines(seed):
    """A core and a store are swapped for empty ones at new addresses; every seed moves."""
    stage = Stage(seed)
    stage.start(stage.callers.lot("gate-notices", 6, 0.0))
    stage.run(1)
    stage.sim.lose_disk("store-1")
    stage.sim.kill("core-1")
    stage.sim.kill("core-2")
    stage.run(2.5)
    for number, name in enumerate(("store-1", "core-1", "core-2")):
        stage.sim.rows[name]["address"] = f"127.0.41.{240 + number}:7400"
    new_seeds = [stage.sim.rows[name]["address"] for name in ("core-1", "core-2")]
    stage.sim.rows["core-1"]["seeds"] = [stage.sim.rows["edge-2"]["address"]]
    stage.sim.rows["core-2"]["seeds"] = new_seeds[:1]
    stage.sim.rows["store-1"]["seeds"] = new_seeds
    for name in ("core-1", "core-2", "store-1"):
        stage.sim.start(name)
    stage.run(3)
    stage.sim.kill("edge-1")
    stage.sim.rows["edge-1"]["seeds"] = new_seeds
    stage.sim.start("edge-1")
    stage.run(12)
    stage.only_edge("edge-1")
    outcomes = traffic(stage, 5)
    ownership = stage.node("edge-1").find("ownership")
    live = {n.find("acceptors").identity for n in stage.sim.up_nodes("store")}
    groups = {part: [s[1] for s in ownership.group(part)] for part in ownership.parts()}
    if not all(len(g) == 3 and set(g) <= live for g in groups.values()):
        stage.sim.history.violate(f"groups {groups}")
    if any(not name.endswith(("complete", "ended")) for name in outcomes):
        stage.sim.history.violate(f"not served: {outcomes}")
    if stage.outcomes().get("lot/ended", 0) < 2:
        stage.sim.history.violate(f"lots: {stage.outcomes()}")
    return stage.sim.history.violations, outcomes


def learn_once(self, member):
    """Stand-in for the guard: a member that is known keeps its first address."""
    if member.name not in self.roster.members:
        REAL_LEARN(self, member)


def racing_founders(seed):
    """Two operators found the fleet at the same moment at two cores."""
    sim = SimFleet("ferrowa", seed, {"sizes": {"edge": 2, "core": 2, "store": 4}})
    for name in sim.rows:
        sim.start(name)
    sim.env.run(until=4)
    tasks = [
        sim.env.process(sim.run_script(sim.nodes[name], found_fleet(sim.nodes[name], 2)))
        for name in ("core-1", "core-2")
    ]
    sim.env.run(until=12)
    fleets = {
        n.find("acceptors").founding["fleet"]
        for n in sim.up_nodes("store")
        if n.find("acceptors").founding
    }
    told = {answer["fleet"] for answer, _ in (task.value for task in tasks) if answer}
    if len(fleets) != 1 or told - fleets:
        sim.history.violate(f"fleets {fleets}, operators were told {told}")
    return sim.history.violations, {"fleets": len(fleets), "operators_told": len(told)}


def found_anything(self, body, origin):
    """Stand-in for the guard: a later founding takes the place of the first."""
    yield from self.persist(FoundRecord(body["founding"]))
    return body["founding"]["fleet"]


def flood_of_lots(seed):
    """Three hundred lots come in at once; travellers still get their first piece in time."""
    stage = Stage(seed)
    for _ in range(300):
        stage.start(stage.callers.lot("gate-notices", 3, 0.0))
    stage.run(1)
    stage.callers.record.first_piece_seconds.clear()
    for _ in range(20):
        stage.start(stage.callers.stream("wayfinding", "urgent", 8, drop_after=1 << 30))
        stage.run(0.25)
    firsts = sorted(stage.callers.record.first_piece_seconds)
    stage.run(90)
    outcomes = stage.outcomes()
    accepted = stage.sim.history.counts.get("accepted_lots", 0)
    if outcomes.get("urgent/complete", 0) != 20 or outcomes.get("lot/ended", 0) != accepted:
        stage.sim.history.violate(f"accepted {accepted}: {outcomes}")
    if len(firsts) < 20 or firsts[-1] > 1.5:
        stage.sim.history.violate(f"first pieces came after {firsts[-3:]}")
    return stage.sim.history.violations, {
        **outcomes,
        "accepted": accepted,
        "slowest_first_piece_s": round(firsts[-1], 2),
    }


def equal_waiter(self, promise, *words):
    """Stand-in for the guard: all that wait are equally urgent."""
    REAL_WAITER(self, {**promise, "urgency": 5}, *words)


def no_limit(self, service, class_name):
    """Stand-in for the guard: no class has a limit."""
    return None


REAL_WAITER = QueuedRequest.__init__
REAL_LEARN = Nifty.learn
POINTS = [
    (
        "swapped machines and new seeds are taken in",
        swapped_machines,
        [(Nifty, "learn", learn_once)],
    ),
    ("two founders found one fleet", racing_founders, [(Acceptors, "on_found", found_anything)]),
    (
        "a flood of lots leaves urgent classes their promise",
        flood_of_lots,
        [
            (QueuedRequest, "__init__", equal_waiter),
            (QuotaClient, "limit", no_limit),
            (scheduler, "ITEMS_AT_ONCE", 400),
        ],
    ),
]
