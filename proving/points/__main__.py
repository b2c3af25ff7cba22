"""What must never happen, point by point: each scenario, with its guard and without it."""

import json
import multiprocessing
import sys
import time

import click

from proving.points.catalog import POINTS
from proving.points.scenario_fleet import without


def run_point(job):
    """Run one scenario under one seed, as it is and with its guard taken out."""
    number, seed, is_both_ways = job
    text, scenario, guards = POINTS[number]
    start_time = time.perf_counter()
    try:
        violations, figures = scenario(seed)
    except Exception as error:
        violations, figures = [f"failure: {error!r}"], {}
    found_without = None
    if guards and is_both_ways:
        found_without = len(without(guards, lambda: scenario(seed))[0])
    return {
        "point": text,
        "scenario": scenario.__name__,
        "seed": seed,
        "violations": violations,
        "without_guard": found_without,
        "figures": figures,
        "seconds": round(time.perf_counter() - start_time, 1),
    }


def tell_many(rows):
    """Print a line a scenario: seeds that failed, and seeds that can't fail without the guard."""
    by_name = {}
    for row in rows:
        by_name.setdefault(row["scenario"], []).append(row)
    for name, some in sorted(by_name.items()):
        failed = sorted(row["seed"] for row in some if row["violations"])
        toothless = sorted(row["seed"] for row in some if row["without_guard"] == 0)
        click.echo(
            json.dumps(
                {
                    "scenario": name,
                    "seeds": len(some),
                    "failed": failed,
                    "toothless": toothless,
                    "unguarded_runs": sum(row["without_guard"] is not None for row in some),
                }
            )
        )
        for row in some:
            if row["violations"]:
                click.echo(f"  seed {row['seed']}: {row['violations'][:2]}"[:400])
                click.echo(
                    f"  replay: python -m proving.points --seed {row['seed']} --only "
                    f'"{row["point"]}"'
                )
    return any(row["violations"] for row in rows)


@click.command()
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option("--seeds", default=1, show_default=True, help="How many seeds of each.")
@click.option("--only", default="", help="Only the points whose text holds this.")
@click.option("--guarded", is_flag=True, help="Leave out the runs without their guards.")
@click.option("--workers", default=8, show_default=True)
def main(seed, seeds, only, guarded, workers):
    """Run every scenario as it is and with its guard taken out; exit 1 on a violation.

    With several seeds, a seed on which the unguarded run can't fail is reported as toothless.
    """
    if seeds > 1:
        jobs = [
            (number, one, not guarded)
            for one in range(seed, seed + seeds)
            for number, point in enumerate(POINTS)
            if only in point[0]
        ]
        with multiprocessing.Pool(workers, maxtasksperchild=20) as pool:
            sys.exit(1 if tell_many(list(pool.imap_unordered(run_point, jobs))) else 0)
    failed = 0
    for number, (text, _, _) in enumerate(POINTS):
        if only not in text:
            continue
        row = run_point((number, seed, not guarded))
        failed += bool(row["violations"]) or row["without_guard"] == 0
        click.echo(json.dumps(row))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
