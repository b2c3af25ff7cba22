"""Scenarios about replica slots that one class borrows from another."""

from unittest import mock

from proving.points.scenario_fleet import ScenarioFleet, no_check
from proving.sim import backends
from quillring.edge.dispatcher import Dispatcher


def undecided_room(seed):
    """Runs `borrowed_room` with all cores down for 2 s from just before the urgent streams."""
    return borrowed_room(seed, kills_cores=True)


def borrowed_room(seed, kills_cores=False):
    """Long batch streams use all idle slots, then urgent streams need those of their own class.

    Borrowed slots are returned by pausing batch streams, and all streams must complete.
    """
    fleet = ScenarioFleet(seed)
    fleet.route_to_edge("edge-1")
    with mock.patch.object(backends, "PIECE_SECONDS", 0.1):
        for _ in range(16):
            fleet.start(fleet.callers.stream("tagging", "long", 200))
        fleet.run(2)
        used_slots = sum(r.logic.busy for r in fleet.sim.replicas.values())
        fleet.callers.record.first_piece_seconds.clear()
        stopped_cores = fleet.sim.names("core") if kills_cores else ()
        for name in stopped_cores:
            fleet.sim.kill(name)
        for _ in range(8):
            fleet.start(fleet.callers.stream("wayfinding", "short", 10))
        fleet.run(2)
        first_piece_seconds = sorted(fleet.callers.record.first_piece_seconds)
        for name in stopped_cores:
            fleet.sim.start(name)
        fleet.run(70)
    outcomes = fleet.outcomes()
    if outcomes.get("short/complete") != 8 or outcomes.get("long/complete") != 16:
        fleet.sim.history.violate(f"borrowed slots were not returned in time: {outcomes}")
    pauses = fleet.node("edge-1").counts.get("pauses", 0)
    slots = sum(r.row["slots"] for r in fleet.sim.replicas.values() if r.row["service"] == "words")
    return fleet.sim.history.violations, {
        **outcomes,
        "used_of_idle": f"{used_slots}/{slots}",
        "pauses": pauses,
        "first_piece_s": [
            round(seconds, 2) for seconds in (first_piece_seconds[0], first_piece_seconds[-1])
        ]
        if first_piece_seconds
        else None,
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
