"""Scenarios about replica capacity that one class borrows and another wants back."""

from unittest import mock

from proving.points.scenario_fleet import Stage, no_check
from proving.sim import backends
from quillring.edge.dispatcher import Dispatcher


def undecided_room(seed):
    """The same, but every core dies just before the travellers come, and is back 2 s later."""
    return borrowed_room(seed, kills_cores=True)


def borrowed_room(seed, kills_cores=False):
    """Overnight streams fill all idle room; then travellers come and want theirs back."""
    stage = Stage(seed)
    stage.only_edge("edge-1")
    with mock.patch.object(backends, "PIECE_SECONDS", 0.1):
        for _ in range(16):
            stage.start(stage.callers.stream("tagging", "long", 200))
        stage.run(2)
        used = sum(r.logic.busy for r in stage.sim.replicas.values())
        stage.callers.record.first_piece_seconds.clear()
        lost_cores = stage.sim.names("core") if kills_cores else ()
        for name in lost_cores:
            stage.sim.kill(name)
        for _ in range(8):
            stage.start(stage.callers.stream("wayfinding", "short", 10))
        stage.run(2)
        firsts = sorted(stage.callers.record.first_piece_seconds)
        for name in lost_cores:
            stage.sim.start(name)
        stage.run(70)
    outcomes = stage.outcomes()
    if outcomes.get("short/complete") != 8 or outcomes.get("long/complete") != 16:
        stage.sim.history.violate(f"room was not given back in time: {outcomes}")
    pauses = stage.node("edge-1").counts.get("pauses", 0)
    slots = sum(r.row["slots"] for r in stage.sim.replicas.values() if r.row["service"] == "words")
    return stage.sim.history.violations, {
        **outcomes,
        "used_of_idle": f"{used}/{slots}",
        "pauses": pauses,
        "first_piece_s": [round(f, 2) for f in (firsts[0], firsts[-1])] if firsts else None,
    }


POINTS = [
    (
        "borrowed room is given back by pausing",
        borrowed_room,
        [(Dispatcher, "_preempt_over_limit", no_check)],
    ),
    (
        "borrowed room is given back when the deciding core is lost",
        undecided_room,
        [(Dispatcher, "_preempt_by_urgency", no_check)],
    ),
]
