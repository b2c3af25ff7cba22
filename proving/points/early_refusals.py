"""Scenarios about requests that can't meet their deadline and must be refused early."""

from proving.points.configuration import names_except
from proving.points.scenario_fleet import ScenarioFleet, always_hopeful
from quillring.edge.dispatcher import Dispatcher
from quillring.edge.stream_handlers import serve_model
from quillring.kernel.node import Node
from quillring.kernel.routes import Request
from quillring.lots.prompts.api import submit_lot
from quillring.ownership.part_client import PartClient


def timed_refusals(fleet, make_coroutine, bodies, client_name="ann"):
    """Send requests at once at edge-1; return (seconds to each refusal, seconds to each answer).

    Both lists are filled as simulated time advances. For an answer the time is that of its first
    line.
    """
    refusals, served, env = [], [], fleet.env
    node = fleet.node("edge-1")

    def send(number, body):
        start_time, first_at = env.now, []

        def sink(line):
            first_at.append(env.now)
            return True

        request = Request("POST", {}, {}, body, f"{client_name}-{number}")
        _, error = yield from fleet.sim.run_coroutine(node, make_coroutine(node, request), sink)
        (refusals if error else served).append((first_at or [env.now])[0] - start_time)

    for number, body in enumerate(bodies):
        fleet.start(send(number, body))
    return refusals, served


def model_bodies(count, route="wayfinding"):
    """Return the bodies of `count` short model requests."""
    return [{"entry": route, "prompt": f"p{n}", "max_pieces": 8} for n in range(count)]


def hopeless_queue(seed):
    """140 requests arrive at once, more than can get their first piece in time.

    Those that can't must be refused early, and those that can must be served. A refusal after
    0.75 s, half the time allowed for the first piece, counts as late.
    """
    fleet = ScenarioFleet(seed)
    for _ in range(40):
        fleet.start(fleet.callers.stream("wayfinding", "warm", 8, drop_after=1 << 30))
        fleet.run(0.05)
    fleet.run(2)
    refusals, served = timed_refusals(fleet, serve_model, model_bodies(140))
    fleet.run(30)
    late_refusals = [t for t in refusals if t > 0.75]
    if len(late_refusals) * 4 > len(refusals):
        fleet.sim.history.violate(
            f"{len(late_refusals)} of {len(refusals)} refusals came after 0.75 s"
        )
    if len(served) < 95:
        fleet.sim.history.violate(f"only {len(served)} were served")
    return fleet.sim.history.violations, {
        "served": len(served),
        "refused": len(refusals),
        "held_over_half_the_time": len(late_refusals),
    }


def last_replica_leaves(seed):
    """The last replicas leave while requests are queued; none may stay queued."""
    fleet = ScenarioFleet(seed)
    refusals, served = timed_refusals(
        fleet, serve_model, [{**b, "max_pieces": 200} for b in model_bodies(60, "tagging")]
    )
    fleet.run(0.3)
    left_at = fleet.env.now
    for replica in fleet.sim.replicas.values():
        if replica.row["service"] == "words":
            replica.leave()
    fleet.run(3)
    queued = len(fleet.node("edge-1").find("dispatch").queue)
    if queued:
        fleet.sim.history.violate(f"{queued} requests are still queued, no replica is left")
    fleet.run(30)
    slow = [t for t in refusals if t > fleet.env.now - left_at]
    return fleet.sim.history.violations, {
        "served": len(served),
        "refused": len(refusals),
        "slow": len(slow),
    }


def lost_majority(seed):
    """Two stores of a part are down; lots for it must be refused within 0.3 s."""
    fleet = ScenarioFleet(seed)
    rng = fleet.sim.chance
    group = [s[0] for s in fleet.node("core-1").find("ownership").group("part-1")]
    for name in rng.sample(group, 2):
        fleet.sim.kill(name)
    fleet.run(3)
    bodies = [{"entry": "gate-notices", "items": ["x"]} for _ in range(20)]
    refusals, served = timed_refusals(fleet, submit_lot, bodies)
    fleet.run(20)
    _check_fast(fleet, refusals, served)
    return fleet.sim.history.violations, {
        "refused": len(refusals),
        "slowest_refusal_s": round(max(refusals, default=0), 3),
    }


def lost_cores(seed):
    """All cores are cut off: lots must be refused within 0.3 s.

    A call in flight when the cut begins must end once the link counts as lost.
    """
    fleet = ScenarioFleet(seed)
    cores = fleet.sim.names("core")
    fleet.sim.cut(cores, names_except(fleet, *cores))
    early, _ = timed_refusals(
        fleet, submit_lot, [{"entry": "gate-notices", "items": ["x"]}], "early"
    )
    fleet.run(3)
    bodies = [{"entry": "gate-notices", "items": ["x"]} for _ in range(20)]
    refusals, served = timed_refusals(fleet, submit_lot, bodies)
    fleet.run(20)
    _check_fast(fleet, refusals, served)
    if (
        early
        and max(early) > fleet.sim.bounds.link_timeout + fleet.sim.bounds.heartbeat_interval * 1.5
    ):
        fleet.sim.history.violate(f"a call to a lost core ended only after {max(early):.2f} s")
    return fleet.sim.history.violations, {
        "refused": len(refusals),
        "slowest_refusal_s": round(max(refusals, default=0), 3),
        "early_s": [round(t, 2) for t in early],
    }


def _check_fast(fleet, refusals, served):
    """Check that all 20 lots were refused, each within 0.3 s."""
    if served or len(refusals) != 20:
        fleet.sim.history.violate(f"{len(served)} were served, {len(refusals)} refused")
    if max(refusals, default=0) > 0.3:
        fleet.sim.history.violate(f"a refusal took {max(refusals):.2f} s")


def never_lost(self, part):
    """Replaces the guard: a majority of the part's stores always counts as reachable."""
    return None


def keep_pending(self, graph):
    """Replaces the guard: calls to nodes that became unreachable wait for their timeout."""


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
