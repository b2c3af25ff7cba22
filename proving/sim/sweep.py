"""Runs many simulator seeds in parallel and prints a replay command for each that fails."""

import gc
import json
import multiprocessing
import sys
import time
import traceback

import click

from proving.sim.seeded_run import SMALL_SIZES, run_seed


def run_one(job):
    """Run one seed in a worker process, with garbage collection off; return its result."""
    gc.disable()
    deployment, seed, faults, small, loud_cuts = job
    start_time = time.perf_counter()
    try:
        sizes = SMALL_SIZES if small else None
        sim, callers = run_seed(deployment, seed, faults, sizes, loud_cuts)
        violations, notes = sim.history.violations, sim.history.notes
        outcomes = {f"{k}/{o}": n for (k, o), n in callers.record.outcomes.items()}
        counts = sim.history.counts
    except Exception as error:
        trace_lines = traceback.format_exc().splitlines()[-12:]
        violations, notes, outcomes, counts = [f"failure: {error!r}", *trace_lines], [], {}, {}
    gc.enable()
    gc.collect()
    return {
        "deployment": deployment,
        "seed": seed,
        "violations": violations,
        "marks": notes,
        "outcomes": outcomes,
        "counts": counts,
        "seconds": time.perf_counter() - start_time,
    }


def replay_command(result, faults, small, loud_cuts):
    """Return the command line that replays a seed."""
    flags = f" --loud-cuts {loud_cuts}" if loud_cuts else ""
    flags += " --small" if small else ""
    return (
        f"python -m proving.sim.sweep --deployment {result['deployment']} --first "
        f"{result['seed']} --count 1 --faults {faults}{flags} --verbose"
    )


@click.command()
@click.option("--deployment", "deployments", multiple=True, default=("ferrowa", "kilele"))
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--count", default=20, show_default=True, help="Seeds per deployment.")
@click.option("--faults", default=10, show_default=True, help="Faults per run.")
@click.option(
    "--loud-cuts", default=0, show_default=True, help="Resetting or refusing cuts per run."
)
@click.option("--small", is_flag=True, help="Fewer edges and cores.")
@click.option("--workers", default=8, show_default=True)
@click.option("--verbose", is_flag=True, help="Print the steps of every run.")
def main(deployments, first, count, faults, loud_cuts, small, workers, verbose):
    """Run many seeds; exit with 1 if any has a violation."""
    seeds = range(first, first + count)
    jobs = [(d, seed, faults, small, loud_cuts) for seed in seeds for d in deployments]
    outcomes, counts, failed = {}, {}, 0
    with multiprocessing.Pool(min(workers, len(jobs))) as pool:
        for result in pool.imap_unordered(run_one, jobs):
            for total, part in ((outcomes, result["outcomes"]), (counts, result["counts"])):
                for name, number in part.items():
                    total[name] = total.get(name, 0) + number
            if result["counts"].get("dropped"):
                click.echo(
                    f"{result['deployment']} seed {result['seed']} dropped conversations: "
                    f"{[m for m in result['marks'] if 'dropped' in m]}"
                )
            if result["violations"]:
                failed += 1
                click.echo(f"{result['deployment']} seed {result['seed']} failed:")
                for text in result["violations"][:16]:
                    click.echo(f"  {text[:300]}")
                click.echo(f"  replay: {replay_command(result, faults, small, loud_cuts)}")
            if verbose:
                click.echo("\n".join(result["marks"]))
    click.echo(
        json.dumps(
            {
                "runs": len(jobs),
                "failed": failed,
                "outcomes": dict(sorted(outcomes.items())),
                "counts": dict(sorted(counts.items())),
            },
            indent=1,
        )
    )
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
