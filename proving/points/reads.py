"""Scenarios about reads of committed state, plans that change cores, and growing layouts."""

from proving.points.configuration import adopt
from proving.points.scenario_fleet import ScenarioFleet
from quillring.gossip import Gossip
from quillring.kernel.errors import TimedOut
from quillring.lots.prompts.api import show_results
from quillring.ownership import part_client
from quillring.plans.api import confirm, propose, show_one
from quillring.plans.runner import PlanRunner
from quillring.quorum.parts import CONFIG_PART
from quillring.rollout import Freshness
from quillring.rollout.snapshot import ConfigurationSnapshot


def result_read(seed):
    """Results are read at all edges continuously while their part's owner dies twice.

    Each read must succeed within `bounds.read_timeout` and contain every result that was written
    before the read began.
    """
    fleet = ScenarioFleet(seed)
    sim, rng, faults, read_seconds, reads = fleet.sim, fleet.sim.chance, [], [], []
    for _ in range(8):
        fleet.start(fleet.callers.lot("gate-notices", 8, 0.0))

    def reader(lot, client_name):
        while True:
            node, start_time = rng.choice(sim.up_nodes("edge")), sim.env.now
            written = _written_result_numbers(fleet, lot)
            request = fleet.request("GET", {"lot": lot}, {}, None, client_name)
            answer, error = yield from sim.run_coroutine(node, show_results(node, request))
            seconds = sim.env.now - start_time
            reads.append(seconds)
            if not answer or seconds > sim.bounds.read_timeout:
                faults.append(f"{lot} after {seconds:.2f} s: {error}")
            elif {row["n"] for row in answer["results"]} < written:
                faults.append(f"{lot} lacks results that were written before the read began")
            read_seconds.append(seconds)
            yield sim.env.timeout(rng.uniform(0.05, 0.15))

    fleet.run(1.5)
    for lot, known in list(fleet.callers.lots.items())[:4]:
        fleet.start(reader(lot, known["sender"]))
    for _ in range(2):
        fleet.run(rng.uniform(1, 2))
        name = fleet.node("edge-1").find("gossip").get("owner/part-1")["owner"]
        sim.kill(name, loses_power=True)
        fleet.run(4)
        sim.start(name)
        fleet.run(2)
    for text in faults[:5]:
        sim.history.violate(text)
    return sim.history.violations, {
        "reads": len(reads),
        "late": len(faults),
        "slowest_s": round(max(read_seconds, default=0), 2),
    }


def _written_result_numbers(fleet, lot):
    """Return the item numbers whose results the part's current owner has, or an empty set."""
    part = lot.partition(".")[0]
    for node in fleet.sim.up_nodes("core"):
        owner = node.find("ownership").leaders.get(part)
        if owner is not None and owner.has_lease() and lot in owner.state["lots"]:
            return set(owner.state["lots"][lot]["results"])
    return set()


def plan_core_dies(seed):
    """The core that runs an operator's plan dies during it; another core must complete the plan."""
    fleet = ScenarioFleet(seed)
    fleet.start(fleet.callers.generate(6, fleet.callers.stream, "wayfinding", "short", 40))

    def ask_with_retries(handler, method, words, body):
        for _ in range(6):
            answer, error = yield from fleet.callers.ask(handler, method, words, body=body)
            if answer or not isinstance(error, TimedOut):
                return answer
        return None

    zone = fleet.sim.chance.choice(("north", "east", "south"))
    plan = fleet.finish(
        fleet.start(ask_with_retries(propose, "POST", {}, {"kind": "empty_domain", "target": zone}))
    )
    name = plan["plan"]
    owner_name = fleet.node("edge-1").find("gossip").get(f"owner/{CONFIG_PART}")["owner"]
    fleet.finish(
        fleet.start(
            ask_with_retries(
                confirm, "POST", {"plan": name}, {"accept": ["less_room"], "id": "operator"}
            )
        )
    )
    fleet.run(fleet.sim.chance.uniform(0, 1))
    fleet.sim.kill(owner_name)
    fleet.callers.stop_at = fleet.env.now + 3
    fleet.run(20)
    shown_plan = fleet.finish(fleet.start(ask_with_retries(show_one, "GET", {"plan": name}, None)))
    version = fleet.node("edge-1").find("layout").version
    if not shown_plan or shown_plan["phase"] != "done" or version != 2:
        fleet.sim.history.violate(
            f"the plan is {shown_plan and shown_plan['phase']}, layout {version}"
        )
    return fleet.sim.history.violations, {
        **fleet.outcomes(),
        "phase": shown_plan and shown_plan["phase"],
        "domain": zone,
    }


def growing_configuration(seed):
    """Hundreds of entries are added under traffic, in 60 small changes and a large one.

    Every node must have each version within 2 s, and no request may fail.
    """
    fleet = ScenarioFleet(seed)
    fleet.start(fleet.callers.generate(6, fleet.callers.stream, "wayfinding", "short", 10))
    version, spread_seconds, sizes = 1, [], [4] * 60 + [400]
    for number, count in enumerate(sizes):
        change = {
            "entries": {
                f"grown-{number}-{n}": {
                    "service": "words",
                    "class": "traveller",
                    "prefix": "p" * 40,
                }
                for n in range(count)
            }
        }
        answer, error = adopt(fleet, "core-1", change, version)
        if not answer:
            fleet.sim.history.violate(f"change {number} was refused: {error}")
            break
        version, accepted_at = answer["version"], fleet.env.now
        while any(n.find("layout").version < version for n in fleet.sim.nodes.values()):
            fleet.run(0.02)
            if fleet.env.now - accepted_at > 2:
                behind = [
                    n.me.name
                    for n in fleet.sim.nodes.values()
                    if n.find("layout").version < version
                ]
                fleet.sim.history.violate(f"{behind} lack layout {version} after 2 s")
                break
        spread_seconds.append(fleet.env.now - accepted_at)
    outcomes = fleet.outcomes()
    if set(outcomes) - {"short/complete"}:
        fleet.sim.history.violate(f"not every stream completed: {outcomes}")
    return fleet.sim.history.violations, {
        **outcomes,
        "entries": sum(sizes),
        "slowest_s": round(max(spread_seconds, default=0), 2),
    }


def never_peek(node, part, group, *query):
    """Replaces the guard: without an owner, state is not read from a majority of stores."""
    return None
    yield


def first_core_only(self, owner, name, plan):
    """Replaces the guard: only the core that began a plan runs its steps."""
    FIRST_CORE_BY_PLAN.setdefault((self.node.runtime.env, name), self.node.me.name)
    if FIRST_CORE_BY_PLAN[self.node.runtime.env, name] == self.node.me.name:
        yield from REAL_STEP(self, owner, name, plan)


FIRST_CORE_BY_PLAN = {}
REAL_STEP = PlanRunner._run_step


def no_news(self, *args):
    """Replaces the guard: no layout is announced, gossiped or fetched."""
    return []


POINTS = [
    (
        "a result can be read within 1 s",
        result_read,
        [(part_client, "read_from_majority", never_peek)],
    ),
    (
        "a plan outlives the core that runs it",
        plan_core_dies,
        [(PlanRunner, "_run_step", first_core_only)],
    ),
    (
        "a layout that grows is everywhere within 2 s",
        growing_configuration,
        [
            (ConfigurationSnapshot, "_announce_to_all", no_news),
            (Gossip, "push_updates", no_news),
            (Gossip, "on_digest", no_news),
            (Freshness, "_fetch_newer", no_news),
        ],
    ),
]
