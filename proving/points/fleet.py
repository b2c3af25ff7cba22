"""Scenarios about replaced machines, changed seeds, concurrent founding and floods of lots."""

from proving.points.partitions import run_traffic
from proving.points.scenario_fleet import ScenarioFleet
from proving.sim.fleet import SimFleet
from quillring.classes import QuotaClient
from quillring.edge.slot_lease import QueuedRequest
from quillring.lots.prompts import scheduler
from quillring.nifty import Nifty
from quillring.quorum.acceptor import Acceptors
from quillring.quorum.acceptor.log_records import FoundRecord
from quillring.quorum.founding.founding import found_fleet


def swapped_machines(seed):
    """Two cores and a store restart at new addresses, the store with an empty disk.

    An edge then restarts with the new seed addresses. The fleet must repair its groups and serve.
    """
    fleet = ScenarioFleet(seed)
    fleet.start(fleet.callers.lot("gate-notices", 6, 0.0))
    fleet.run(1)
    fleet.sim.lose_disk("store-1")
    fleet.sim.kill("core-1")
    fleet.sim.kill("core-2")
    fleet.run(2.5)
    for number, name in enumerate(("store-1", "core-1", "core-2")):
        fleet.sim.rows[name]["address"] = f"127.0.41.{240 + number}:7400"
    new_seeds = [fleet.sim.rows[name]["address"] for name in ("core-1", "core-2")]
    fleet.sim.rows["core-1"]["seeds"] = [fleet.sim.rows["edge-2"]["address"]]
    fleet.sim.rows["core-2"]["seeds"] = new_seeds[:1]
    fleet.sim.rows["store-1"]["seeds"] = new_seeds
    for name in ("core-1", "core-2", "store-1"):
        fleet.sim.start(name)
    fleet.run(3)
    fleet.sim.kill("edge-1")
    fleet.sim.rows["edge-1"]["seeds"] = new_seeds
    fleet.sim.start("edge-1")
    fleet.run(12)
    fleet.route_to_edge("edge-1")
    outcomes = run_traffic(fleet, 5)
    ownership = fleet.node("edge-1").find("ownership")
    live = {n.find("acceptors").identity for n in fleet.sim.up_nodes("store")}
    groups = {part: [s[1] for s in ownership.group(part)] for part in ownership.parts()}
    if not all(len(group) == 3 and set(group) <= live for group in groups.values()):
        fleet.sim.history.violate(f"a group lacks three live members: {groups}")
    if any(not name.endswith(("complete", "ended")) for name in outcomes):
        fleet.sim.history.violate(f"not every request succeeded: {outcomes}")
    if fleet.outcomes().get("lot/ended", 0) < 2:
        fleet.sim.history.violate(f"too few lots ended: {fleet.outcomes()}")
    return fleet.sim.history.violations, outcomes


def learn_once(self, member):
    """Replaces the guard: a known member keeps the first address that was learned."""
    if member.name not in self.roster.members:
        REAL_LEARN(self, member)


def racing_founders(seed):
    """Two operators found the fleet through two cores at once; only one fleet may exist."""
    sim = SimFleet("ferrowa", seed, {"sizes": {"edge": 2, "core": 2, "store": 4}})
    for name in sim.rows:
        sim.start(name)
    sim.env.run(until=4)
    tasks = [
        sim.env.process(sim.run_coroutine(sim.nodes[name], found_fleet(sim.nodes[name], 2)))
        for name in ("core-1", "core-2")
    ]
    sim.env.run(until=12)
    fleets = {
        n.find("acceptors").founding["fleet"]
        for n in sim.up_nodes("store")
        if n.find("acceptors").founding
    }
    reported_fleets = {answer["fleet"] for answer, _ in (task.value for task in tasks) if answer}
    if len(fleets) != 1 or reported_fleets - fleets:
        sim.history.violate(f"fleets {fleets}, operators were told {reported_fleets}")
    return sim.history.violations, {"fleets": len(fleets), "operators_told": len(reported_fleets)}


def found_anything(self, body, origin):
    """Replaces the guard: a later founding record overwrites the first."""
    yield from self.persist(FoundRecord(body["founding"]))
    return body["founding"]["fleet"]


def flood_of_lots(seed):
    """300 lots are submitted at once; urgent streams must still get their first piece in time."""
    fleet = ScenarioFleet(seed)
    for _ in range(300):
        fleet.start(fleet.callers.lot("gate-notices", 3, 0.0))
    fleet.run(1)
    fleet.callers.record.first_piece_seconds.clear()
    for _ in range(20):
        fleet.start(fleet.callers.stream("wayfinding", "urgent", 8, drop_after=1 << 30))
        fleet.run(0.25)
    first_piece_seconds = sorted(fleet.callers.record.first_piece_seconds)
    fleet.run(90)
    outcomes = fleet.outcomes()
    accepted = fleet.sim.history.counts.get("accepted_lots", 0)
    if outcomes.get("urgent/complete", 0) != 20 or outcomes.get("lot/ended", 0) != accepted:
        fleet.sim.history.violate(f"lots accepted {accepted}, outcomes {outcomes}")
    if len(first_piece_seconds) < 20 or first_piece_seconds[-1] > 1.5:
        fleet.sim.history.violate(f"first pieces came after {first_piece_seconds[-3:]} s")
    return fleet.sim.history.violations, {
        **outcomes,
        "accepted": accepted,
        "slowest_first_piece_s": round(first_piece_seconds[-1], 2),
    }


def equal_waiter(self, promise, *args):
    """Replaces the guard: all queued requests are equally urgent."""
    REAL_QUEUED_REQUEST_INIT(self, {**promise, "urgency": 5}, *args)


def no_limit(self, service, class_name):
    """Replaces the guard: no class has a slot limit."""
    return None


REAL_QUEUED_REQUEST_INIT = QueuedRequest.__init__
REAL_LEARN = Nifty.learn
POINTS = [
    (
        "swapped machines and new seeds are taken in",
        swapped_machines,
        [(Nifty, "learn", learn_once)],
    ),
    (
        "two founders found one fleet",
        racing_founders,
        [(Acceptors, "on_found", found_anything)],
    ),
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
