"""The catalog of scenarios: (what must never happen, scenario, guards that stand against it)."""

from proving.points import (
    cuts,
    domains,
    failures,
    fleet,
    keeping,
    lots,
    orders,
    reading,
    resume,
    rooms,
    serving,
    stalls,
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
    *orders.POINTS,
    *stalls.POINTS,
]
