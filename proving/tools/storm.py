"""Random faults on a local fleet of processes under mixed traffic."""

import json
import random
import shutil
import signal
import time

import click
import gevent

from proving.tools import callers
from proving.tools.closing_fault import closing_fault
from proving.tools.day import MIXES, run_traffic
from proving.tools.local_fleet import LocalFleet


class RandomFaults:
    """Injects random faults into a fleet; each undoes itself, so none remains after `run`."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(f"storm {seed}")
        self.steps = []
        self.cuts = []
        self.affected_names = set()

    def note(self, text):
        """Record a step with its time."""
        self.steps.append([round(time.monotonic(), 1), text])

    def _choose_node(self, role):
        names = [n for n in self.fleet.names(role) if n not in self.affected_names]
        return self.rng.choice(names or self.fleet.names(role))

    def kill(self, role):
        """Kill a node, and restart it after 0.5 to 5 seconds."""
        name = self._choose_node(role)
        self.affected_names.add(name)
        self.note(f"kill {name}")
        self.fleet.kill(name)
        gevent.sleep(self.rng.uniform(0.5, 5))
        self.fleet.start(name)
        gevent.sleep(2)
        self.affected_names.discard(name)

    def freeze(self, role):
        """Suspend a node with SIGSTOP, and resume it after 0.5 to 6 seconds."""
        name = self._choose_node(role)
        self.affected_names.add(name)
        self.note(f"freeze {name}")
        self.fleet.signal(name, signal.SIGSTOP)
        gevent.sleep(self.rng.uniform(0.5, 6))
        self.fleet.signal(name, signal.SIGCONT)
        gevent.sleep(1)
        self.affected_names.discard(name)

    def cut(self):
        """Cut up to five random pairs of nodes for 1 to 6 seconds."""
        names = sorted(self.fleet.settings)
        pairs = [tuple(self.rng.sample(names, 2)) for _ in range(self.rng.randrange(1, 6))]
        self.note(f"cut {pairs}")
        self.cuts += pairs
        self.fleet.cut(*self.cuts)
        gevent.sleep(self.rng.uniform(1, 6))
        self.cuts = [pair for pair in self.cuts if pair not in pairs]
        self.fleet.cut(*self.cuts)

    def restart_replica(self):
        """Kill a replica, and restart it cold after 0.5 to 4 seconds."""
        name = self.rng.choice(
            sorted(n for n in self.fleet.replicas if n not in self.affected_names)
        )
        self.affected_names.add(name)
        self.note(f"kill {name}")
        self.fleet.kill(name)
        gevent.sleep(self.rng.uniform(0.5, 4))
        self.fleet.start(name)
        gevent.sleep(2)
        self.affected_names.discard(name)

    def replace_store_folder(self):
        """Kill a store and restart it with an empty data folder; at most once in a run."""
        if "emptied" in self.affected_names:
            return
        self.affected_names.add("emptied")
        name = self._choose_node("store")
        self.affected_names.add(name)
        self.note(f"empty {name}")
        self.fleet.kill(name)
        shutil.rmtree(self.fleet.settings[name]["folder"])
        gevent.sleep(self.rng.uniform(0.5, 4))
        self.fleet.start(name)
        gevent.sleep(10)
        self.affected_names.discard(name)

    def lose_zone(self):
        """Kill every process of a domain at once and restart them.

        Does nothing while a process is affected by another fault, or after a store was emptied.
        """
        if self.affected_names:
            return
        zone = self.rng.choice(("north", "east", "south", "west"))
        rows = [*self.fleet.settings.values(), *self.fleet.replicas.values()]
        names = sorted(row["name"] for row in rows if row["domain"] == zone)
        self.affected_names.update(names)
        self.note(f"lose domain {zone}")
        for name in names:
            self.fleet.kill(name)
        gevent.sleep(self.rng.uniform(1, 5))
        for name in names:
            self.fleet.start(name)
        gevent.sleep(3)
        self.affected_names.difference_update(names)

    def fill_disk_briefly(self):
        """Make a store's disk full for 1 to 5 seconds."""
        name = self._choose_node("store")
        self.note(f"disk of {name} is full")
        self.fleet.set_full_disks([name])
        gevent.sleep(self.rng.uniform(1, 5))
        self.fleet.set_full_disks([])

    def run(self, seconds, period):
        """Inject a random fault about every `period` seconds, and wait until all have ended."""
        faults = [
            lambda: self.kill("edge"),
            lambda: self.kill("core"),
            lambda: self.kill("store"),
            lambda: self.freeze("edge"),
            lambda: self.freeze("core"),
            lambda: self.freeze("store"),
            self.cut,
            self.cut,
            self.restart_replica,
            self.replace_store_folder,
            self.lose_zone,
            self.fill_disk_briefly,
        ]
        end_time, running = time.monotonic() + seconds, []
        while time.monotonic() < end_time:
            gevent.sleep(period * self.rng.uniform(0.5, 1.5))
            running.append(gevent.spawn(self.rng.choice(faults)))
        gevent.joinall(running, raise_error=True)


@click.command()
@click.argument("name", type=click.Choice(sorted(MIXES)))
@click.option("--run-folder", default="run/fleet", show_default=True)
@click.option("--seconds", default=60.0, show_default=True)
@click.option("--period", default=2.0, show_default=True, help="Seconds between faults.")
@click.option("--seed", default=1, show_default=True)
def main(name, run_folder, seconds, period, seed):
    """Inject random faults into NAME's fleet; exit code 1 if a caller saw a violation."""
    fleet, record = LocalFleet(f"examples/{name}", run_folder), callers.Record()
    random_faults = RandomFaults(fleet, seed)
    try:
        fleet.start_all()
        fleet.found()
        gevent.joinall(
            [
                gevent.spawn(run_traffic, fleet, MIXES[name], seconds + 5, seed, record),
                gevent.spawn(random_faults.run, seconds, period),
            ],
            raise_error=True,
        )
        fleet.wait_ready()
        fleet.wait_fully_replicated()
        closing_fault(fleet, record, random_faults.note)
        click.echo(json.dumps({**record.to_json(), "steps": random_faults.steps}, indent=1))
    finally:
        fleet.stop_all()
    raise SystemExit(1 if record.violations else 0)


if __name__ == "__main__":
    main()
