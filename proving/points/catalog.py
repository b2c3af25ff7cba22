"""The catalog of scenarios: (what must never happen, scenario, guards that stand against it)."""

from proving.points import (
    callers,
    cuts,
    domains,
    failures,
    fleet,
    keeping,
    lots,
    reading,
    resume,
    rooms,
    serving,
    starts,
    state,
    streams,
    waits,
)

POINTS = [
    *streams.POINTS,
    *serving.POINTS,
    *state.POINTS,
    *lots.POINTS,
    *cuts.POINTS,
    *rooms.POINTS,
    *fleet.POINTS,
    *resume.POINTS,
    *domains.POINTS,
    *waits.POINTS,
    *starts.POINTS,
    *keeping.POINTS,
    *reading.POINTS,
    *failures.POINTS,
    *callers.POINTS,
]
