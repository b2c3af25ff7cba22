"""Scenarios about replicas, queues and requests that may not repeat."""

from proving.points.scenario_fleet import ScenarioFleet, always_hopeful, no_check
from quillring.classes.quota_client import QuotaClient
from quillring.edge import dispatcher, replicas, stream_handlers
from quillring.rollout.freshness import Freshness


def lost_reply(seed):
    """Two replicas stop answering after they began work that may not repeat."""
    fleet = ScenarioFleet(seed)
    for _ in range(16):
        fleet.start(fleet.callers.stream("once", "once", 30, True))
    fleet.run(0.4)
    for name in ("words-1", "words-2"):
        fleet.sim.replicas[name].is_dark = True
    fleet.run(30)
    return fleet.sim.history.violations, fleet.outcomes()


def frozen_before_sending(seed):
    """An edge freezes while work that may not repeat is queued, and resumes past the deadline.

    The requests are recorded as refused at the start, which makes a late send a violation.
    """
    fleet = ScenarioFleet(seed)
    fleet.route_to_edge("edge-1")
    for replica in fleet.sim.replicas.values():
        replica.logic.busy = replica.logic.slots
    edge = fleet.node("edge-1")
    for replica in edge.find("replicas").table.values():
        replica.in_flight = replica.slots
    caller_processes = []
    for _ in range(3):
        caller_processes.append(fleet.start(fleet.callers.stream("once", "once", 8, True)))
    fleet.run(0.3)
    for prompt in list(fleet.sim.history.at_most_once):
        fleet.sim.history.note_refusal(prompt)
    fleet.sim.freeze("edge-1", 3)
    for replica in fleet.sim.replicas.values():
        replica.logic.busy = 0
    for replica in edge.find("replicas").table.values():
        replica.in_flight = 0
    fleet.run(20)
    return fleet.sim.history.violations, fleet.outcomes()


def replica_leaves(seed):
    """Replicas leave while the edge that uses them is cut off from all other nodes."""
    fleet = ScenarioFleet(seed)
    others = [name for name in fleet.sim.nodes if name != "edge-1"]
    fleet.route_to_edge("edge-1")
    fleet.start(fleet.callers.generate(20, fleet.callers.stream, "wayfinding", "short", 8))
    fleet.run(1)
    fleet.sim.cut(["edge-1"], others)
    for replica in fleet.sim.replicas.values():
        if replica.row["service"] == "words":
            replica.leave()
    fleet.run(8)
    return fleet.sim.history.violations, fleet.outcomes()


def cold_replicas(seed):
    """Replicas are replaced one after another under load; a cold one must not be overloaded."""
    fleet = ScenarioFleet(seed)
    fleet.start(fleet.callers.generate(25, fleet.callers.stream, "wayfinding", "short", 12))
    for number in range(1, 5):
        fleet.run(2)
        fleet.sim.replicas[f"words-{number}"].kill()
        fleet.run(0.3)
        fleet.sim.start_replica(f"words-{number}")
    fleet.run(6)
    overloads = sum(r.logic.overloads for r in fleet.sim.replicas.values())
    if overloads:
        fleet.sim.history.violate(f"cold replicas were overloaded {overloads} times")
    return fleet.sim.history.violations, fleet.outcomes()


def crowd(seed):
    """400 requests arrive at once: queues stay bounded, and all urgent requests are served."""
    fleet = ScenarioFleet(seed)
    fleet.route_to_edge("edge-1")
    env, refusal_seconds, queue_lengths = fleet.env, [], []

    def caller(route, kind):
        start_time = env.now
        refused_before = fleet.callers.record.outcomes.get((kind, "refused"), 0)
        yield from fleet.callers.stream(route, kind, 12)
        if fleet.callers.record.outcomes.get((kind, "refused"), 0) > refused_before:
            refusal_seconds.append(env.now - start_time)

    for _ in range(400):
        fleet.start(caller("gate-notices", "crowd"))
    fleet.run(0.2)
    for _ in range(20):
        fleet.start(fleet.callers.stream("wayfinding", "urgent", 8))
    for _ in range(200):
        fleet.run(0.1)
        queue_lengths.append(len(fleet.node("edge-1").find("dispatch").queue))
    fleet.run(30)
    if max(queue_lengths) > 64 + 128:
        fleet.sim.history.violate(
            f"{max(queue_lengths)} requests are queued, the limits are 64 and 128"
        )
    outcomes = fleet.outcomes()
    if outcomes.get("urgent/complete", 0) < 20:
        fleet.sim.history.violate(f"not every urgent request was served: {outcomes}")
    fastest_refusals = sorted(refusal_seconds)[:100]
    return fleet.sim.history.violations, {
        **outcomes,
        "most_waiting": max(queue_lengths),
        "refusal_median_ms": round(1000 * fastest_refusals[len(fastest_refusals) // 2], 1)
        if fastest_refusals
        else None,
    }


def all_working(self, replica):
    """Replaces the guard: a replica is usable without heartbeats, and in an emptied zone."""
    return replica.state not in ("leaving", "gone")


def all_slots(self, replica):
    """Replaces the guard: a cold replica offers all its slots."""
    return replica.slots


def endless(self, *args, **options):
    """Replaces the guard: the queue has no length limit."""
    promise = {**args[2], "queue": 1 << 30}
    return (yield from REAL_ACQUIRE(self, args[0], args[1], promise, *args[3:], **options))


REAL_ACQUIRE = dispatcher.Dispatcher.acquire


def rerun_attempt(node, stream, progress, deadline, excluded_names):
    """Replaces the guard: work that may not repeat is retried on another replica."""
    configuration = node.find("layout")
    real_route = configuration.route
    route, service, promise = real_route(stream.request["entry"])
    patched = (route, service, {**promise, "resumable": True, "repeatable": True})
    override = type("Image", (), {"route": staticmethod(lambda name: patched)})
    node.services["layout"], original = _LayoutOverride(configuration, override), configuration
    try:
        yield from REAL_ATTEMPT(node, stream, progress, deadline, excluded_names)
    finally:
        node.services["layout"] = original


class _LayoutOverride:
    """A layout snapshot whose `route` is replaced; other attributes are those of `real`."""

    def __init__(self, real, override):
        self.real = real
        self.override = override

    def __getattr__(self, name):
        return getattr(self.override if name == "route" else self.real, name)


REAL_ATTEMPT = stream_handlers.try_replica
FRESH = (Freshness, "check", no_check)
POINTS = [
    (
        "what may not repeat never runs twice",
        lost_reply,
        [(stream_handlers, "try_replica", rerun_attempt)],
    ),
    (
        "nothing runs after a refusal",
        frozen_before_sending,
        [(stream_handlers, "check_before_sending", no_check)],
    ),
    (
        "a leaving replica gets nothing after 2 s",
        replica_leaves,
        [(replicas.ReplicaTable, "is_usable", all_working), FRESH],
    ),
    (
        "a cold replica never gets more than it can bear",
        cold_replicas,
        [(QuotaClient, "cold_slots", all_slots)],
    ),
    (
        "crowds meet bounded queues",
        crowd,
        [
            (dispatcher.Dispatcher, "acquire", endless),
            (dispatcher.Dispatcher, "refusal_if_hopeless", always_hopeful),
        ],
    ),
]
