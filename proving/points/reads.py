"""Scenarios about reads of committed state: results within 1 s, plans while their core dies."""

from proving.points.configuration import adopt
from proving.points.scenario_fleet import Stage
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
    """Results are read at every edge all the time while their part's owner dies, twice."""
    stage = Stage(seed)
    sim, chance, late, slowest, reads = stage.sim, stage.sim.chance, [], [], []
    for _ in range(8):
        stage.start(stage.callers.lot("gate-notices", 8, 0.0))

    def reader(lot, client_name):
        while True:
            node, start_time = chance.choice(sim.up_nodes("edge")), sim.env.now
            written = _written(stage, lot)
            request = stage.request("GET", {"lot": lot}, {}, None, client_name)
            answer, error = yield from sim.run_coroutine(node, show_results(node, request))
            seconds = sim.env.now - start_time
            reads.append(seconds)
            if not answer or seconds > sim.bounds.read_timeout:
                late.append(f"{lot} after {seconds:.2f} s: {error}")
            elif {row["n"] for row in answer["results"]} < written:
                late.append(f"{lot} lacks results that stood before it was asked")
            slowest.append(seconds)
            yield sim.env.timeout(chance.uniform(0.05, 0.15))

    stage.run(1.5)
    for lot, known in list(stage.callers.lots.items())[:4]:
        stage.start(reader(lot, known["sender"]))
    for _ in range(2):
        stage.run(chance.uniform(1, 2))
        name = stage.node("edge-1").find("gossip").get("owner/part-1")["owner"]
        sim.kill(name, loses_power=True)
        stage.run(4)
        sim.start(name)
        stage.run(2)
    for text in late[:5]:
        sim.history.violate(text)
    return sim.history.violations, {
        "reads": len(reads),
        "late": len(late),
        "slowest_s": round(max(slowest, default=0), 2),
    }


def _written(stage, lot):
    """Return the numbers of the results that a live owner of the part has written."""
    part = lot.partition(".")[0]
    for node in stage.sim.up_nodes("core"):
        owner = node.find("ownership").leaders.get(part)
        if owner is not None and owner.has_lease() and lot in owner.state["lots"]:
            return set(owner.state["lots"][lot]["results"])
    return set()


def plan_core_dies(seed):
    """The core that runs an operator's plan dies in its midst; the plan ends all the same."""
    stage = Stage(seed)
    stage.start(stage.callers.generate(6, stage.callers.stream, "wayfinding", "short", 40))

    def asked(make, method, words, body):
        for _ in range(6):
            answer, error = yield from stage.callers.ask(make, method, words, body=body)
            if answer or not isinstance(error, TimedOut):
                return answer
        return None

    zone = stage.sim.chance.choice(("north", "east", "south"))
    plan = stage.finish(
        stage.start(asked(propose, "POST", {}, {"kind": "empty_domain", "target": zone}))
    )
    name = plan["plan"]
    owner_name = stage.node("edge-1").find("gossip").get(f"owner/{CONFIG_PART}")["owner"]
    stage.finish(
        stage.start(
            asked(confirm, "POST", {"plan": name}, {"accept": ["less_room"], "id": "operator"})
        )
    )
    stage.run(stage.sim.chance.uniform(0, 1))
    stage.sim.kill(owner_name)
    stage.callers.stop_at = stage.env.now + 3
    stage.run(20)
    seen = stage.finish(stage.start(asked(show_one, "GET", {"plan": name}, None)))
    version = stage.node("edge-1").find("layout").version
    if not seen or seen["phase"] != "done" or version != 2:
        stage.sim.history.violate(f"the plan is {seen and seen['phase']}, layout {version}")
    return stage.sim.history.violations, {
        **stage.outcomes(),
        "phase": seen and seen["phase"],
        "domain": zone,
    }


def growing_configuration(seed):
    """Hundreds of entries come, in many changes and as one, under traffic; all nodes have them."""
    stage = Stage(seed)
    stage.start(stage.callers.generate(6, stage.callers.stream, "wayfinding", "short", 10))
    version, slow, sizes = 1, [], [4] * 60 + [400]
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
        answer, error = adopt(stage, "core-1", change, version)
        if not answer:
            stage.sim.history.violate(f"change {number} was refused: {error}")
            break
        version, accepted_at = answer["version"], stage.env.now
        while any(n.find("layout").version < version for n in stage.sim.nodes.values()):
            stage.run(0.02)
            if stage.env.now - accepted_at > 2:
                behind = [
                    n.me.name
                    for n in stage.sim.nodes.values()
                    if n.find("layout").version < version
                ]
                stage.sim.history.violate(f"{behind} lack layout {version} after 2 s")
                break
        slow.append(stage.env.now - accepted_at)
    outcomes = stage.outcomes()
    if set(outcomes) - {"short/complete"}:
        stage.sim.history.violate(f"traffic suffered: {outcomes}")
    return stage.sim.history.violations, {
        **outcomes,
        "entries": sum(sizes),
        "slowest_s": round(max(slow, default=0), 2),
    }


def never_peek(node, part, group, *query):
    """Stand-in for the guard: nothing is read without an owner."""
    return None
    yield


def first_core_only(self, owner, name, plan):
    """Stand-in for the guard: only the core that began a plan goes on with it."""
    CORES.setdefault((self.node.runtime.env, name), self.node.me.name)
    if CORES[self.node.runtime.env, name] == self.node.me.name:
        yield from REAL_STEP(self, owner, name, plan)


CORES = {}
REAL_STEP = PlanRunner._run_step


def no_news(self, *words):
    """Stand-in for the guard: no layout is passed on or fetched."""
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
