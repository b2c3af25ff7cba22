"""The scale run: what a node costs against members, replicas and entries; slopes and a plot."""

import json
import multiprocessing
import pathlib
import time

import click

from proving.scale.fit import fit, plot
from proving.scale.runs import SCENARIOS, run_size

NAMES = [scenario.__name__ for scenario in SCENARIOS]


def timed(job):
    """Run one job in a process of its own."""
    start_time = time.monotonic()
    return {**run_size(**job), "wall_s": round(time.monotonic() - start_time, 1)}


def numbers(text):
    """Return the whole numbers of a comma-separated list."""
    return [int(word) for word in text.split(",") if word]


@click.command()
@click.option("--sizes", default="16,32,64,128", show_default=True, help="Members.")
@click.option("--replicas", default="", help="Replicas, each at 16 members.")
@click.option("--entries", default="", help="Layout entries, each at 16 members.")
@click.option("--only", default="", help=f"Of {', '.join(NAMES)}; a start is always run.")
@click.option("--seconds", type=float, help="Simulated seconds a scenario; default 8 beats.")
@click.option("--news", default=2.0, show_default=True, help="The news bound of the settings.")
@click.option("--warm", is_flag=True, help="Every node knows all members from the first.")
@click.option("--seed", default=1, show_default=True)
@click.option("--workers", default=2, show_default=True, help="Processes at once.")
@click.option("--limit", default=1500, show_default=True, help="Seconds after which sizes stop.")
@click.option("--output", help="Path without suffix for the JSON and the plot.")
def main(sizes, replicas, entries, only, seconds, news, warm, seed, workers, limit, output):
    """Run hollow nodes in memory and print what one of them spent."""
    common = {
        "only": [w for w in only.split(",") if w],
        "seconds": seconds,
        "news": news,
        "warm": warm,
        "seed": seed,
    }
    jobs = [
        *({"size": size, **common} for size in numbers(sizes)),
        *({"size": 16, "replicas": count, **common} for count in numbers(replicas)),
        *({"size": 16, "entries": count, **common} for count in numbers(entries)),
    ]
    end_time, results = time.monotonic() + limit, []
    with multiprocessing.get_context("spawn").Pool(workers, maxtasksperchild=1) as pool:
        pending = [pool.apply_async(timed, (job,)) for job in jobs]
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
