"""What must never happen, point by point: each scenario, with its guard and without it."""

import json
import sys
import time

import click

from proving import (
    points_cuts,
    points_domains,
    points_fleet,
    points_keeping,
    points_lots,
    points_reading,
    points_resume,
    points_serving,
    points_starts,
    points_state,
    points_streams,
    points_waits,
)
from proving.points_base import without

POINTS = [
    *points_streams.POINTS, *points_serving.POINTS, *points_state.POINTS, *points_lots.POINTS,
    *points_cuts.POINTS, *points_fleet.POINTS, *points_resume.POINTS,
    *points_domains.POINTS, *points_waits.POINTS,
    *points_starts.POINTS, *points_keeping.POINTS,
    *points_reading.POINTS,
]


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--only", default="", help="Only the points whose text holds this.")
def main(seed, only):
    """Run every scenario as it is and with its guard taken out; exit 1 on a violation."""
    failed = 0
    for text, scenario, guards in POINTS:
        if only not in text:
            continue
        startTime = time.perf_counter()
        violations, figures = scenario(seed)
        foundWithout = len(without(guards, lambda s=scenario: s(seed))[0]) if guards else None
        failed += bool(violations) or foundWithout == 0
        click.echo(json.dumps({
            "point": text, "scenario": scenario.__name__, "violations": violations,
            "without_guard": foundWithout, "figures": figures,
            "seconds": round(time.perf_counter() - startTime, 1),
        }))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
