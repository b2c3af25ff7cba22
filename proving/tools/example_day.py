"""A deployment's day on a local fleet: traffic with a peak, plans, a rolling restart, a fault."""

import json
import random
import time

import click
import gevent

from proving.tools import callers
from proving.tools.closing_fault import closing_fault
from proving.tools.day import MIXES, run_traffic
from proving.tools.local_fleet import LocalFleet


class Day:
    """Acts as the operator and the platform during one day."""

    def __init__(self, fleet, name, seed):
        self.fleet = fleet
        self.mix = MIXES[name]
        self.seed = seed
        self.steps = []
        self.start_time = time.monotonic()
        self.record = callers.Record()

    def note(self, text):
        """Record a step with the seconds since the start."""
        self.steps.append([round(time.monotonic() - self.start_time, 1), text])

    def ask(self, method, path, body=None):
        """Send an operator's request to a random running core; return (status, JSON body)."""
        cores = [n for n in self.fleet.names("core") if n in self.fleet.processes]
        return callers.ask(self.fleet.http(random.choice(cores)), method, path, body)

    def wait_for(self, description, is_done, seconds=120):
        """Wait until `is_done()` without blocking the callers; TimeoutError names `description`."""
        end_time = time.monotonic() + seconds
        while not is_done():
            if time.monotonic() > end_time:
                raise TimeoutError(description)
            gevent.sleep(0.2)

    def is_ready(self, name):
        """Return whether a node reports itself ready."""
        return callers.ask(self.fleet.http(name), "GET", "/v1/ready")[0] == 200

    def restart_all(self):
        """Restart the nodes one by one with SIGTERM; each is ready before the next one stops."""
        edges = self.fleet.names("edge")
        for name in [*self.fleet.names("store"), *self.fleet.names("core"), *edges]:
            if name in edges:
                self.record.stopping_edges.add(self.fleet.http(name))
            process = self.fleet.processes.pop(name)
            process.terminate()
            self.wait_for(f"{name} ends", lambda p=process: p.poll() is not None)
            self.fleet.start(name)
            self.wait_for(f"{name} ready", lambda n=name: self.is_ready(n))
            self.record.stopping_edges.discard(self.fleet.http(name))
        self.note("every node was restarted")

    def run_plan(self, kind, target, accept=()):
        """Propose and confirm a plan, and wait until it is done."""
        status, plan = self.ask("POST", "/v1/plans", {"kind": kind, "target": target})
        if status != 200:
            raise RuntimeError(f"{kind} {target}: {plan}")
        status, answer = self.ask(
            "POST", f"/v1/plans/{plan['plan']}/confirm", {"accept": list(accept)}
        )
        if status != 200:
            raise RuntimeError(f"{kind} {target}: {answer}")
        path = f"/v1/plans/{plan['plan']}"
        self.wait_for(f"{kind} {target}", lambda: self.ask("GET", path)[1].get("phase") == "done")
        self.note(f"plan {kind} {target} is done")

    def run(self, seconds):
        """Run the steps during the traffic; an 8-second peak begins after a third of the time."""
        calls = gevent.spawn(run_traffic, self.fleet, self.mix, seconds, self.seed, self.record)
        peak = gevent.spawn_later(
            seconds / 3, run_traffic, self.fleet, self.mix[:2], 8, self.seed + 1, self.record, 4.0
        )
        gevent.sleep(3)
        self.run_plan("empty_domain", "west", ["less_room"])
        self.run_plan("refill_domain", "west")
        self.run_plan("retire_store", "store-1")
        self.run_plan("restore_store", "store-1")
        self.restart_all()
        gevent.joinall([calls, peak], raise_error=True)
        self.note("the traffic ended")
        closing_fault(self.fleet, self.record, self.note)


@click.command()
@click.argument("name", type=click.Choice(sorted(MIXES)))
@click.option("--run-folder", default="run/fleet", show_default=True)
@click.option("--seconds", default=90.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(name, run_folder, seconds, seed):
    """Run NAME's example day on a full local fleet and report what callers saw."""
    fleet = LocalFleet(f"examples/{name}", run_folder)
    try:
        fleet.start_all()
        fleet.found()
        day = Day(fleet, name, seed)
        day.run(seconds)
        report = {**day.record.to_json(), "steps": day.steps}
        click.echo(json.dumps(report, indent=1))
    finally:
        fleet.stop_all()
    raise SystemExit(1 if day.record.violations else 0)


if __name__ == "__main__":
    main()
