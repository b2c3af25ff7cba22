"""Command that runs every scenario, both with its guards and with the guards disabled."""

import json
import multiprocessing
import sys
import time

import click

from proving.points.catalog import POINTS
from proving.points.scenario_fleet import run_without_guards


def run_point(job):
    """Run one scenario with one seed and return its result as a row.

    `job` is (index in POINTS, seed, whether to run it a second time with its guards disabled).
    """
    number, seed, runs_unguarded_too = job
    promise, scenario, guards = POINTS[number]
    start_time = time.perf_counter()
    try:
        violations, figures = scenario(seed)
    except Exception as error:
        violations, figures = [f"failure: {error!r}"], {}
    unguarded_violations = None
    if guards and runs_unguarded_too:
        unguarded_violations = len(run_without_guards(guards, lambda: scenario(seed))[0])
    return {
        "point": promise,
        "scenario": scenario.__name__,
        "seed": seed,
        "violations": violations,
        "without_guard": unguarded_violations,
        "figures": figures,
        "seconds": round(time.perf_counter() - start_time, 1),
    }


def print_summaries(rows):
    """Print one JSON line per scenario and a replay command per violation.

    A line lists the seeds that failed, and as `toothless` those on which the run without guards
    found no violation. Returns whether any row has a violation.
    """
    by_name = {}
    for row in rows:
        by_name.setdefault(row["scenario"], []).append(row)
    for name, scenario_rows in sorted(by_name.items()):
        failed_seeds = sorted(row["seed"] for row in scenario_rows if row["violations"])
        undetected_seeds = sorted(row["seed"] for row in scenario_rows if row["without_guard"] == 0)
        click.echo(
            json.dumps(
                {
                    "scenario": name,
                    "seeds": len(scenario_rows),
                    "failed": failed_seeds,
                    "toothless": undetected_seeds,
                    "unguarded_runs": sum(
                        row["without_guard"] is not None for row in scenario_rows
                    ),
                }
            )
        )
        for row in scenario_rows:
            if row["violations"]:
                click.echo(f"  seed {row['seed']}: {row['violations'][:2]}"[:400])
                click.echo(
                    f"  replay: python -m proving.points --seed {row['seed']} --only "
                    f'"{row["point"]}"'
                )
    return any(row["violations"] for row in rows)


@click.command()
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option("--seeds", default=1, show_default=True, help="Number of seeds per scenario.")
@click.option("--only", default="", help="Run only promises that contain this text.")
@click.option("--guarded", is_flag=True, help="Skip the runs without guards.")
@click.option("--workers", default=8, show_default=True)
def main(seed, seeds, only, guarded, workers):
    """Run every scenario with its guards and without them; exit 1 on a violation.

    With a single seed, an unguarded run without a violation also makes it exit 1. With several
    seeds, such a seed is only reported as toothless.
    """
    if seeds > 1:
        jobs = [
            (number, job_seed, not guarded)
            for job_seed in range(seed, seed + seeds)
            for number, point in enumerate(POINTS)
            if only in point[0]
        ]
        with multiprocessing.Pool(workers, maxtasksperchild=20) as pool:
            sys.exit(1 if print_summaries(list(pool.imap_unordered(run_point, jobs))) else 0)
    failed = 0
    for number, (promise, _, _) in enumerate(POINTS):
        if only not in promise:
            continue
        row = run_point((number, seed, not guarded))
        failed += bool(row["violations"]) or row["without_guard"] == 0
        click.echo(json.dumps(row))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
