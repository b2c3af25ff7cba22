"""Runs a deployment's mixed traffic on a local fleet under faults and prints a summary."""

import json
import random
import time

import click
import gevent

from proving.tools import callers
from proving.tools.local_fleet import LocalFleet

MIXES = {
    "ferrowa": [
        (
            10,
            lambda e, c, r: callers.stream_call(
                e, c, r, time.monotonic, c.choice(("wayfinding", "wayfinding-lounge")), "short"
            ),
        ),
        (25, lambda e, c, r: callers.tile_call(e, c, r, "tiles")),
        (1, lambda e, c, r: callers.stream_call(e, c, r, time.monotonic, "tagging", "long", 200)),
        (0.5, lambda e, c, r: callers.lot_call(e, c, r, "gate-notices")),
    ],
    "kilele": [
        (
            10,
            lambda e, c, r: callers.stream_call(
                e, c, r, time.monotonic, c.choice(("price-hints", "seller-hints")), "short"
            ),
        ),
        (25, lambda e, c, r: callers.seat_call(e, c, r, "seats")),
        (
            1,
            lambda e, c, r: callers.stream_call(
                e, c, r, time.monotonic, "seller-reviews", "long", 200
            ),
        ),
        (0.5, lambda e, c, r: callers.lot_call(e, c, r, "fraud-reports")),
    ],
}


def run_traffic(fleet, mix, seconds, seed, record, scale=1.0):
    """Send each kind of call at its rate; return when every call has an outcome."""
    edges = [fleet.http(name) for name in fleet.names("edge")]
    calls = []

    def send_kind(number, rate, call):
        rng = random.Random(f"{seed}/{number}")
        end_time = time.monotonic() + seconds
        while time.monotonic() < end_time:
            calls.append(gevent.spawn(call, edges, random.Random(rng.random()), record))
            gevent.sleep(rng.expovariate(rate * scale))

    gevent.joinall([gevent.spawn(send_kind, n, rate, call) for n, (rate, call) in enumerate(mix)])
    gevent.joinall(calls, timeout=120, raise_error=True)


def inject_faults(fleet, seconds, steps_log):
    """Kill a core, a store and a replica and cut one link, then undo it, spread over the run."""
    steps = [
        ("kill core-2", lambda: fleet.kill("core-2")),
        ("cut edge-1 from core-1", lambda: fleet.cut(("edge-1", "core-1"))),
        ("kill store-3", lambda: fleet.kill("store-3")),
        ("kill words-2", lambda: fleet.kill("words-2")),
        ("heal the cut", lambda: fleet.cut()),
        ("start core-2 empty", lambda: fleet.start("core-2")),
        ("start store-3 again", lambda: fleet.start("store-3")),
        ("start words-2 again", lambda: fleet.start("words-2")),
    ]
    start_time = time.monotonic()
    for text, step in steps:
        gevent.sleep(seconds / (len(steps) + 2))
        steps_log.append([round(time.monotonic() - start_time, 1), text])
        step()


def summary(report):
    """Return the report as a short table for people; its last line is the verdict."""
    outcomes = report["outcomes"]
    rows = [("call", "outcome", "count")]
    rows += [(*key.rsplit("/", 1), str(count)) for key, count in outcomes.items()]
    widths = [max(len(row[column]) for row in rows) for column in range(2)]
    lines = [
        f"{call:<{widths[0]}}  {outcome:<{widths[1]}}  {count:>7}" for call, outcome, count in rows
    ]
    median = report["first_piece_median_ms"]
    lines += [
        "",
        f"first piece, median: {'-' if median is None else f'{median} ms'}",
        f"streams resumed: {report['resumes']}",
        "faults: " + ("; ".join(f"{text} at {at} s" for at, text in report["steps"]) or "none"),
        "",
    ]
    violations = report["violations"]
    lines += [f"violation: {text}" for text in violations]
    calls = sum(outcomes.values())
    verdict = f"FAILED: {len(violations)} violations" if violations else "OK: no violation"
    return "\n".join([*lines, f"{verdict} in {calls} calls"])


@click.command()
@click.argument("name", type=click.Choice(sorted(MIXES)))
@click.option("--run-folder", default="run/fleet", show_default=True)
@click.option("--seconds", default=60.0, show_default=True)
@click.option("--scale", default=1.0, show_default=True, help="Factor for the call rates.")
@click.option("--seed", default=1, show_default=True)
@click.option("--calm", is_flag=True, help="Inject no faults.")
@click.option("--json", "as_json", is_flag=True, help="Print the full report as JSON.")
def main(name, run_folder, seconds, scale, seed, calm, as_json):
    """Run NAME's traffic on a full local fleet and report what callers saw.

    The full report is also written to report.json in the run folder. The exit code is 1 if there
    was a violation.
    """
    fleet = LocalFleet(f"examples/{name}", run_folder)
    record, steps_log = callers.Record(), []
    try:
        fleet.start_all()
        fleet.found()
        tasks = [gevent.spawn(run_traffic, fleet, MIXES[name], seconds, seed, record, scale)]
        if not calm:
            tasks.append(gevent.spawn(inject_faults, fleet, seconds, steps_log))
        gevent.joinall(tasks, raise_error=True)
        states = {}
        for replica in fleet.replicas.values():
            _, states[replica["name"]] = callers.ask(replica["address"], "GET", "/state")
        report = {
            **record.to_json(),
            "steps": steps_log,
            "replicas": {
                n: {k: s.get(k) for k in ("ran", "hits", "misses", "overloads", "late_starts")}
                for n, s in states.items()
            },
        }
        text = json.dumps(report, indent=1)
        (fleet.run_folder / "report.json").write_text(text)
        click.echo(text if as_json else summary(report))
    finally:
        fleet.stop_all()
    raise SystemExit(1 if record.violations else 0)


if __name__ == "__main__":
    main()
