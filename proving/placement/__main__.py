"""`python -m proving.placement`: compare load balancing policies over shapes and seeds."""

import json
from concurrent.futures import ProcessPoolExecutor
from statistics import median

import click

from proving.placement.run import Emulation
from proving.placement.shapes import load_shape, shape_names
from quillring.forward.policy import DEFAULT_POLICY


def parse_change(text):
    """Return the default policy with changes, given as `default` or `field=value,...`.

    Raises click.BadParameter for an unknown field.
    """
    if text == "default":
        return DEFAULT_POLICY
    fields = {}
    for assignment in text.split(","):
        name, _, value = assignment.partition("=")
        if name not in DEFAULT_POLICY._fields:
            raise click.BadParameter(f"{name}: unknown policy field")
        fields[name] = json.loads(value)
    return DEFAULT_POLICY._replace(**fields)


def simulate(shape, change, seed):
    """Run one emulation and return its result."""
    return Emulation(load_shape(shape), parse_change(change), seed).simulate()


def summarize(results):
    """Return the medians over the seeds, and the range of the worst group's share in time."""
    worst = [result.worst_group for result in results]
    return {
        "in_time": median(r.in_time for r in results),
        "worst": median(worst),
        "worst_range": (min(worst), max(worst)),
        "reread": median(r.reread_share for r in results),
        "MB": median(r.megabytes_between_zones for r in results),
        "away": median(r.rejected_count for r in results),
        "error": median(r.mean_estimate_error for r in results),
        "messages": median(r.messages for r in results),
        "p99": {n: median(r.p99[n] for r in results if n in r.p99) for n in results[0].p99},
    }


def to_line(shape, change, row):
    """Return a summary as a line of text."""
    low, high = row["worst_range"]
    times = " ".join(f"{name} {value:.0f}" for name, value in sorted(row["p99"].items()))
    return (
        f"{shape:15} {change:42} in time {row['in_time']:.3f}  worst {row['worst']:.3f} "
        f"({low:.3f}-{high:.3f})  read again {row['reread']:.2f}  MB {row['MB']:6.1f}  "
        f"away {row['away']:4.0f}  error {row['error']:.1f}  messages {row['messages']:7.0f}  "
        f"p99 ms: {times}"
    )


@click.command()
@click.option("--shape", "shapes", multiple=True, help="Name of a shape; default: all.")
@click.option("--policy", "changes", multiple=True, default=("default",), help="field=value,...")
@click.option("--seeds", default=3, show_default=True)
@click.option("--jobs", default=4, show_default=True, help="Number of worker processes.")
@click.option("--json", "as_json", is_flag=True)
def main(shapes, changes, seeds, jobs, as_json):
    """Print goals met, times, bytes and load estimate errors of each policy on each shape."""
    shapes = shapes or shape_names()
    with ProcessPoolExecutor(jobs) as pool:
        runs = {
            (shape, change): [pool.submit(simulate, shape, change, seed) for seed in range(seeds)]
            for shape in shapes
            for change in changes
        }
        for (shape, change), futures in runs.items():
            row = summarize([future.result() for future in futures])
            click.echo(json.dumps([shape, change, row]) if as_json else to_line(shape, change, row))


if __name__ == "__main__":
    main()
