"""Scenarios about replicas and inquiries; each returns its violations and figures."""

from proving.points.scenario_fleet import Stage, always_hopeful, no_check
from quillring.classes.quota_client import QuotaClient
from quillring.edge import dispatcher, replicas, stream_handlers
from quillring.rollout.freshness import Freshness


def lost_reply(seed):
    """A replica goes dark after it began work that may not repeat."""
    stage = Stage(seed)
    for _ in range(16):
        stage.start(stage.callers.stream("once", "once", 30, True))
    stage.run(0.4)
    for name in ("words-1", "words-2"):
        stage.sim.replicas[name].is_dark = True
    stage.run(30)
    return stage.sim.history.violations, stage.outcomes()


def frozen_before_sending(seed):
    """An edge freezes while work that may not repeat waits for room; it wakes too late."""
    stage = Stage(seed)
    stage.only_edge("edge-1")
    for replica in stage.sim.replicas.values():
        replica.logic.busy = replica.logic.slots
    edge = stage.node("edge-1")
    for replica in edge.find("replicas").table.values():
        replica.in_flight = replica.slots
    told = []
    for _ in range(3):
        told.append(stage.start(stage.callers.stream("once", "once", 8, True)))
    stage.run(0.3)
    for prompt in list(stage.sim.history.at_most_once):
        stage.sim.history.note_refusal(prompt)
    stage.sim.freeze("edge-1", 3)
    for replica in stage.sim.replicas.values():
        replica.logic.busy = 0
    for replica in edge.find("replicas").table.values():
        replica.in_flight = 0
    stage.run(20)
    return stage.sim.history.violations, stage.outcomes()


def replica_leaves(seed):
    """An edge that hears no news still reaches a replica that says it is leaving."""
    stage = Stage(seed)
    others = [name for name in stage.sim.nodes if name != "edge-1"]
    stage.only_edge("edge-1")
    stage.start(stage.callers.generate(20, stage.callers.stream, "wayfinding", "short", 8))
    stage.run(1)
    stage.sim.cut(["edge-1"], others)
    for replica in stage.sim.replicas.values():
        if replica.row["service"] == "words":
            replica.leave()
    stage.run(8)
    return stage.sim.history.violations, stage.outcomes()


def cold_replicas(seed):
    """Replicas are replaced one after another while crowds call."""
    stage = Stage(seed)
    stage.start(stage.callers.generate(25, stage.callers.stream, "wayfinding", "short", 12))
    for number in range(1, 5):
        stage.run(2)
        stage.sim.replicas[f"words-{number}"].kill()
        stage.run(0.3)
        stage.sim.start_replica(f"words-{number}")
    stage.run(6)
    overloads = sum(r.logic.overloads for r in stage.sim.replicas.values())
    if overloads:
        stage.sim.history.violate(f"cold replicas got too much {overloads} times")
    return stage.sim.history.violations, stage.outcomes()


def crowd(seed):
    """A crowd arrives all at once: bounded queues, refusals at once, urgent ones served."""
    stage = Stage(seed)
    stage.only_edge("edge-1")
    env, refusal_times, waiting = stage.env, [], []

    def caller(route, kind):
        start_time = env.now
        before = stage.callers.record.outcomes.get((kind, "refused"), 0)
        yield from stage.callers.stream(route, kind, 12)
        if stage.callers.record.outcomes.get((kind, "refused"), 0) > before:
            refusal_times.append(env.now - start_time)

    for _ in range(400):
        stage.start(caller("gate-notices", "crowd"))
    stage.run(0.2)
    for _ in range(20):
        stage.start(stage.callers.stream("wayfinding", "urgent", 8))
    for _ in range(200):
        stage.run(0.1)
        waiting.append(len(stage.node("edge-1").find("dispatch").queue))
    stage.run(30)
    if max(waiting) > 64 + 128:
        stage.sim.history.violate(f"{max(waiting)} wait in queues of 64 and 128")
    outcomes = stage.outcomes()
    if outcomes.get("urgent/complete", 0) < 20:
        stage.sim.history.violate(f"urgent ones lost: {outcomes}")
    early = sorted(refusal_times)[:100]
    return stage.sim.history.violations, {
        **outcomes,
        "most_waiting": max(waiting),
        "refusal_median_ms": round(1000 * early[len(early) // 2], 1) if early else None,
    }


def all_working(self, replica):
    """Stand-in for the guard: every known replica may get work."""
    return replica.state not in ("leaving", "gone")


def all_slots(self, replica):
    """Stand-in for the guard: a cold replica's slots are free for all."""
    return replica.slots


def endless(self, *words, **options):
    """Stand-in for the guard: a queue without a bound."""
    promise = {**words[2], "queue": 1 << 30}
    return (yield from REAL_ACQUIRE(self, words[0], words[1], promise, *words[3:], **options))


REAL_ACQUIRE = dispatcher.Dispatcher.acquire


def rerun_attempt(node, stream, progress, end_time, avoided_names):
    """Stand-in for the guard: work that may not repeat is tried elsewhere all the same."""
    configuration = node.find("layout")
    real_route = configuration.route
    route, service, promise = real_route(stream.request["entry"])
    patched = (route, service, {**promise, "resumable": True, "repeatable": True})
    holder = type("Image", (), {"route": staticmethod(lambda name: patched)})
    node.services["layout"], kept = _Facade(configuration, holder), configuration
    try:
        yield from REAL_ATTEMPT(node, stream, progress, end_time, avoided_names)
    finally:
        node.services["layout"] = kept


class _Facade:
    """A layout image whose entries claim to be resumable."""

    def __init__(self, real, holder):
        self.real = real
        self.holder = holder

    def __getattr__(self, name):
        return getattr(self.holder if name == "route" else self.real, name)


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
