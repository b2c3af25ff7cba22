"""Slopes of the scale run, and their plot."""

import matplotlib
import numpy

matplotlib.use("Agg")
from matplotlib import pyplot

FIGURES = ("makings", "beats_sent", "beat_bytes", "frames", "frame_bytes", "cpu_ms")
AXES = ("size", "replicas", "entries")


def axis_rows(runs, axis):
    """Return the runs along one axis, the others at their least, in order."""
    others = [other for other in AXES if other != axis]
    least = {other: min(run[other] for run in runs) for other in others if other != "size"}
    if axis != "size":
        least["size"] = 16
    rows = [run for run in runs if all(run[o] == least[o] for o in others)]
    return sorted(rows, key=lambda run: run[axis])


def fit(runs):
    """Return {axis: {scenario: {figure: power and line}}} for axes with two points or more."""
    return {
        axis: found
        for axis in AXES
        if runs and len(rows := axis_rows(runs, axis)) > 1 and (found := fit_axis(rows, axis))
    }


def fit_axis(rows, axis):
    """Return {scenario: {figure: {power, slope, base}}} along one axis."""
    scenarios = [name for name in rows[0]["rows"] if name != "memory"]
    found = {
        name: {
            figure: line(
                [run[axis] for run in rows],
                [run["rows"][name][figure] / run["rows"][name]["seconds"] for run in rows],
            )
            for figure in FIGURES
        }
        for name in scenarios
        if all(name in run["rows"] for run in rows)
    }
    found["memory"] = {
        "bytes": line(
            [run[axis] for run in rows], [run["rows"]["memory"]["bytes_a_node"] for run in rows]
        )
    }
    return found


def line(xs, ys):
    """Return the power of growth, and slope and base of the straight line."""
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
    """Draw processor time, bytes, makings and memory a node against the members."""
    rows = axis_rows(report["runs"], "size")
    figure, panels = pyplot.subplots(2, 2, figsize=(11, 8))
    drawn = (
        ("cpu_ms", "processor ms a second"),
        ("beat_bytes", "heartbeat bytes a second"),
        ("makings", "graph makings a second"),
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
        panel.set(xlabel="members", ylabel=f"{label}, a node", xscale="log", yscale="symlog")
        panel.set_ylim(bottom=0)
        panel.legend(fontsize=7)
    panels.flat[3].plot(
        xs, [run["rows"]["memory"]["bytes_a_node"] / 1e6 for run in rows], marker="o"
    )
    panels.flat[3].set(xlabel="members", ylabel="MB a hollow node", xscale="log", yscale="log")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
