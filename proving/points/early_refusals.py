"""Scenarios about requests whose deadline can't be met: refused as soon as that is known."""

from proving.points.configuration import names_but
from proving.points.scenario_fleet import Stage, always_hopeful
from quillring.edge.dispatcher import Dispatcher
from quillring.edge.stream_handlers import serve_model
from quillring.kernel.node import Node
from quillring.kernel.routes import Request
from quillring.lots.prompts.api import submit_lot
from quillring.ownership.part_client import PartClient


def timed_refusals(stage, make, bodies, client_name="ann"):
    """Send inquiries at once at edge-1; return lists of seconds to refusal, to success."""
    refusals, served, env = [], [], stage.env
    node = stage.node("edge-1")

    def one(number, body):
        start_time, first_at = env.now, []

        def sink(line):
            first_at.append(env.now)
            return True

        request = Request("POST", {}, {}, body, f"{client_name}-{number}")
        _, error = yield from stage.sim.run_coroutine(node, make(node, request), sink)
        (refusals if error else served).append((first_at or [env.now])[0] - start_time)

    for number, body in enumerate(bodies):
        stage.start(one(number, body))
    return refusals, served


def model_bodies(count, route="wayfinding"):
    """Return the bodies of many short inquiries."""
    return [{"entry": route, "prompt": f"p{n}", "max_pieces": 8} for n in range(count)]


def hopeless_queue(seed):
    """Far more arrive at once than can get their first piece in time; all that fit are served."""
    stage = Stage(seed)
    for _ in range(40):
        stage.start(stage.callers.stream("wayfinding", "warm", 8, drop_after=1 << 30))
        stage.run(0.05)
    stage.run(2)
    refusals, served = timed_refusals(stage, serve_model, model_bodies(140))
    stage.run(30)
    late = [t for t in refusals if t > 0.75]
    if len(late) * 4 > len(refusals):
        stage.sim.history.violate(f"{len(late)} of {len(refusals)} refusals were held")
    if len(served) < 95:
        stage.sim.history.violate(f"only {len(served)} were served")
    return stage.sim.history.violations, {
        "served": len(served),
        "refused": len(refusals),
        "held_over_half_the_time": len(late),
    }


def last_replica_leaves(seed):
    """Inquiries wait for room when the last replicas say that they leave."""
    stage = Stage(seed)
    refusals, served = timed_refusals(
        stage, serve_model, [{**b, "max_pieces": 200} for b in model_bodies(60, "tagging")]
    )
    stage.run(0.3)
    left_at = stage.env.now
    for replica in stage.sim.replicas.values():
        if replica.row["service"] == "words":
            replica.leave()
    stage.run(3)
    held = len(stage.node("edge-1").find("dispatch").queue)
    if held:
        stage.sim.history.violate(f"{held} still wait though no replica is left")
    stage.run(30)
    slow = [t for t in refusals if t > stage.env.now - left_at]
    return stage.sim.history.violations, {
        "served": len(served),
        "refused": len(refusals),
        "slow": len(slow),
    }


def lost_majority(seed):
    """Two stores of a part are down; lots for it are refused at once, not after seconds."""
    stage = Stage(seed)
    chance = stage.sim.chance
    group = [s[0] for s in stage.node("core-1").find("ownership").group("part-1")]
    for name in chance.sample(group, 2):
        stage.sim.kill(name)
    stage.run(3)
    bodies = [{"entry": "gate-notices", "items": ["x"]} for _ in range(20)]
    refusals, served = timed_refusals(stage, submit_lot, bodies)
    stage.run(20)
    _check_fast(stage, refusals, served)
    return stage.sim.history.violations, {
        "refused": len(refusals),
        "slowest_refusal_s": round(max(refusals, default=0), 3),
    }


def lost_cores(seed):
    """Every core is out of reach; lots are refused at once; calls under way end with the cut."""
    stage = Stage(seed)
    cores = stage.sim.names("core")
    stage.sim.cut(cores, names_but(stage, *cores))
    early, _ = timed_refusals(
        stage, submit_lot, [{"entry": "gate-notices", "items": ["x"]}], "early"
    )
    stage.run(3)
    bodies = [{"entry": "gate-notices", "items": ["x"]} for _ in range(20)]
    refusals, served = timed_refusals(stage, submit_lot, bodies)
    stage.run(20)
    _check_fast(stage, refusals, served)
    if (
        early
        and max(early) > stage.sim.bounds.link_timeout + stage.sim.bounds.heartbeat_interval * 1.5
    ):
        stage.sim.history.violate(f"a call to a lost core was held for {max(early):.2f} s")
    return stage.sim.history.violations, {
        "refused": len(refusals),
        "slowest_refusal_s": round(max(refusals, default=0), 3),
        "early_s": [round(t, 2) for t in early],
    }


def _check_fast(stage, refusals, served):
    if served or len(refusals) != 20:
        stage.sim.history.violate(f"{len(served)} were served, {len(refusals)} refused")
    if max(refusals, default=0) > 0.3:
        stage.sim.history.violate(f"a hopeless wait was held for {max(refusals):.2f} s")


def never_lost(self, part):
    """Stand-in for the guard: a majority is always hoped for."""
    return None


def keep_pending(self, graph):
    """Stand-in for the guard: calls to lost nodes wait for their time to pass."""


POINTS = [
    (
        "a queue that can't be kept is refused at once",
        hopeless_queue,
        [(Dispatcher, "refusal_if_hopeless", always_hopeful)],
    ),
    (
        "a wait ends when the last replica leaves",
        last_replica_leaves,
        [(Dispatcher, "refusal_if_hopeless", always_hopeful)],
    ),
    (
        "a lost majority is refused at once",
        lost_majority,
        [(PartClient, "why_unavailable", never_lost)],
    ),
    (
        "lost cores are refused at once",
        lost_cores,
        [(PartClient, "why_unavailable", never_lost), (Node, "on_graph", keep_pending)],
    ),
]
