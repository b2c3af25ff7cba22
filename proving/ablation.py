"""`python -m proving.ablation`: the effect of each load balancing mechanism in the emulator.

It disables one mechanism at a time or, with `--sensitivity`, halves and doubles one constant at a
time, and compares the medians over seeds with those of the default policy.
"""

from concurrent.futures import ProcessPoolExecutor
from statistics import median

import click

from proving.placement.__main__ import simulate
from proving.placement.shapes import shape_names
from quillring.forward.policy import DEFAULT_POLICY

MECHANISMS = {
    "nothing (as it is)": "default",
    "load shared in the zone": "shares_load=false",
    "prefix directory": "tracks_prefixes=false",
    "expected time to first token": "predicts_wait=false",
    "cost of another zone": "other_zone_cost=0,other_zone_cost_per_kilobyte=0",
    "cost of interrupted streams": "interruption_cost=0",
    "separation by size": "separation_cost=0",
    "cost of taken slots": "occupancy_cost=0",
    "linear cost of waiting": "wait_cost=0",
    "random cost": "random_cost=0",
}
CONSTANTS = (
    "wait_cost",
    "other_zone_cost",
    "other_zone_cost_per_kilobyte",
    "interruption_cost",
    "separation_cost",
    "occupancy_cost",
    "random_cost",
    "cache_share",
)
FACTORS = (0.5, 2.0)


def sensitivity_changes():
    """Return {label: policy change} with each constant halved and doubled."""
    changes = {"nothing (as it is)": "default"}
    for name in CONSTANTS:
        for factor in FACTORS:
            changes[f"{name} x {factor}"] = f"{name}={getattr(DEFAULT_POLICY, name) * factor}"
    return changes


def medians_of(results):
    """Return the compared figures as medians over the seeds."""
    return {
        "in time": median(r.in_time for r in results),
        "worst group": median(r.worst_group for r in results),
        "MB": median(r.megabytes_between_zones for r in results),
        "read again": median(r.reread_share for r in results),
    }


@click.command()
@click.option("--shape", "shapes", multiple=True, help="Name of a shape; default: all.")
@click.option("--seeds", default=20, show_default=True)
@click.option("--jobs", default=4, show_default=True, help="Number of worker processes.")
@click.option(
    "--sensitivity",
    is_flag=True,
    help="Halve and double constants instead of disabling mechanisms.",
)
def main(shapes, seeds, jobs, sensitivity):
    """Print a Markdown table for each shape."""
    changes = sensitivity_changes() if sensitivity else MECHANISMS
    with ProcessPoolExecutor(jobs) as pool:
        runs = {
            (shape, name): [pool.submit(simulate, shape, change, seed) for seed in range(seeds)]
            for shape in shapes or shape_names()
            for name, change in changes.items()
        }
        for shape in shapes or shape_names():
            click.echo(f"\n{shape}, {seeds} seeds\n")
            click.echo("| without | in time | worst group | MB between zones | read again |")
            click.echo("|---|---|---|---|---|")
            for name in changes:
                row = medians_of([future.result() for future in runs[shape, name]])
                click.echo(
                    f"| {name} | {row['in time']:.3f} | {row['worst group']:.3f} "
                    f"| {row['MB']:.1f} | {row['read again']:.2f} |"
                )


if __name__ == "__main__":
    main()
