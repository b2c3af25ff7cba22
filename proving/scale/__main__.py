"""Measures the cost of a node against members, replicas and entries; fits and plots its growth."""

import json
import multiprocessing
import pathlib
import time

import click

from proving.scale.fit import fit, plot
from proving.scale.runs import SCENARIOS, run_size

SCENARIO_NAMES = [scenario.__name__ for scenario in SCENARIOS]


def run_timed(job):
    """Run one job in a worker process; add the seconds that it took."""
    start_time = time.monotonic()
    return {**run_size(**job), "wall_s": round(time.monotonic() - start_time, 1)}


def parse_counts(text):
    """Return the integers of a comma-separated list."""
    return [int(item) for item in text.split(",") if item]


@click.command()
@click.option("--sizes", default="16,32,64,128", show_default=True, help="Members.")
@click.option("--replicas", default="", help="Numbers of replicas, with 16 members.")
@click.option("--entries", default="", help="Numbers of layout entries, with 16 members.")
@click.option(
    "--only", default="", help=f"Scenarios, besides the start: {', '.join(SCENARIO_NAMES)}."
)
@click.option(
    "--seconds", type=float, help="Simulated seconds per scenario; default: 8 heartbeat intervals."
)
@click.option("--news", default=2.0, show_default=True, help="The bound `news` of the settings.")
@click.option("--warm", is_flag=True, help="Start with every node knowing all members.")
@click.option("--seed", default=1, show_default=True)
@click.option("--workers", default=2, show_default=True, help="Number of worker processes.")
@click.option(
    "--limit",
    default=1500,
    show_default=True,
    help="Seconds after which unfinished jobs are stopped.",
)
@click.option("--output", help="Path of the JSON report and the plot, without suffix.")
def main(sizes, replicas, entries, only, seconds, news, warm, seed, workers, limit, output):
    """Run fleets of hollow nodes in memory and print the mean cost of a node."""
    common = {
        "only": [w for w in only.split(",") if w],
        "seconds": seconds,
        "news": news,
        "warm": warm,
        "seed": seed,
    }
    jobs = [
        *({"size": size, **common} for size in parse_counts(sizes)),
        *({"size": 16, "replicas": count, **common} for count in parse_counts(replicas)),
        *({"size": 16, "entries": count, **common} for count in parse_counts(entries)),
    ]
    end_time, results = time.monotonic() + limit, []
    with multiprocessing.get_context("spawn").Pool(workers, maxtasksperchild=1) as pool:
        pending = [pool.apply_async(run_timed, (job,)) for job in jobs]
        for job, answer in zip(jobs, pending, strict=True):
            try:
                results.append(answer.get(max(0.1, end_time - time.monotonic())))
            except multiprocessing.TimeoutError:
                click.echo(json.dumps({"out_of_time": job}))
                continue
            click.echo(json.dumps(results[-1]))
        pool.terminate()
    report = {"runs": results, "slopes": fit(results)}
    click.echo(json.dumps(report["slopes"], indent=1))
    if output:
        pathlib.Path(f"{output}.json").write_text(json.dumps(report, indent=1) + "\n")
        plot(report, f"{output}.png")


if __name__ == "__main__":
    main()
