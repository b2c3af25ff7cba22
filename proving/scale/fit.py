"""Fits and plots the cost of a node over the size of the fleet."""

import matplotlib
import numpy

matplotlib.use("Agg")
from matplotlib import pyplot

METRICS = ("makings", "beats_sent", "beat_bytes", "frames", "frame_bytes", "cpu_ms")
AXIS_NAMES = ("size", "replicas", "entries")


def axis_rows(runs, axis):
    """Return the runs along one axis, sorted; the values on the other axes are the smallest."""
    other_axes = [other for other in AXIS_NAMES if other != axis]
    smallest = {other: min(run[other] for run in runs) for other in other_axes if other != "size"}
    if axis != "size":
        smallest["size"] = 16
    rows = [run for run in runs if all(run[o] == smallest[o] for o in other_axes)]
    return sorted(rows, key=lambda run: run[axis])


def fit(runs):
    """Return {axis: {scenario: {metric: fit}}} for the axes with at least two points."""
    return {
        axis: slopes
        for axis in AXIS_NAMES
        if runs and len(rows := axis_rows(runs, axis)) > 1 and (slopes := fit_axis(rows, axis))
    }


def fit_axis(rows, axis):
    """Return {scenario: {metric: fit}} along one axis; metrics are per node and second."""
    scenarios = [name for name in rows[0]["rows"] if name != "memory"]
    slopes = {
        name: {
            figure: fit_line(
                [run[axis] for run in rows],
                [run["rows"][name][figure] / run["rows"][name]["seconds"] for run in rows],
            )
            for figure in METRICS
        }
        for name in scenarios
        if all(name in run["rows"] for run in rows)
    }
    slopes["memory"] = {
        "bytes": fit_line(
            [run[axis] for run in rows], [run["rows"]["memory"]["bytes_a_node"] for run in rows]
        )
    }
    return slopes


def fit_line(xs, ys):
    """Fit the values; return the exponent of a power law, and slope and intercept of a line."""
    xs, ys = numpy.array(xs, float), numpy.array(ys, float)
    slope, base = numpy.polyfit(xs, ys, 1)
    mask = (xs > 0) & (ys > 0)
    power = (
        numpy.polyfit(numpy.log(xs[mask]), numpy.log(ys[mask]), 1)[0] if (mask.sum() > 1) else 0.0
    )
    return {
        "power": round(float(power), 2),
        "slope": float(f"{slope:.4g}"),
        "base": float(f"{base:.4g}"),
    }


def plot(report, path):
    """Plot processor time, bytes, graph computations and memory of a node over the members."""
    rows = axis_rows(report["runs"], "size")
    figure, panels = pyplot.subplots(2, 2, figsize=(11, 8))
    drawn = (
        ("cpu_ms", "processor ms per second"),
        ("beat_bytes", "heartbeat bytes per second"),
        ("makings", "graph computations per second"),
    )
    xs = [run["size"] for run in rows]
    for panel, (name, label) in zip(panels.flat, drawn):
        for scenario in [n for n in rows[0]["rows"] if n != "memory"]:
            points = [
                (run["size"], run["rows"][scenario][name] / run["rows"][scenario]["seconds"])
                for run in rows
                if scenario in run["rows"]
            ]
            panel.plot(*zip(*points), marker="o", label=scenario)
        panel.set(xlabel="members", ylabel=f"{label}, per node", xscale="log", yscale="symlog")
        panel.set_ylim(bottom=0)
        panel.legend(fontsize=7)
    panels.flat[3].plot(
        xs, [run["rows"]["memory"]["bytes_a_node"] / 1e6 for run in rows], marker="o"
    )
    panels.flat[3].set(xlabel="members", ylabel="MB per hollow node", xscale="log", yscale="log")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
