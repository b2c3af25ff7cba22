"""Random faults on a local fleet of real processes, while every kind of caller calls."""

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


class Storm:
    """Kills, freezes and cuts processes at random; everything is whole again at its end."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.chance = random.Random(f"storm {seed}")
        self.steps = []
        self.cuts = []
        self.away = set()

    def note(self, text):
        """Note a step."""
        self.steps.append([round(time.monotonic(), 1), text])

    def _pick(self, role):
        names = [n for n in self.fleet.names(role) if n not in self.away]
        return self.chance.choice(names or self.fleet.names(role))

    def kill(self, role):
        """Kill a node, start it again."""
        name = self._pick(role)
        self.away.add(name)
        self.note(f"kill {name}")
        self.fleet.kill(name)
        gevent.sleep(self.chance.uniform(0.5, 5))
        self.fleet.start(name)
        gevent.sleep(2)
        self.away.discard(name)

    def freeze(self, role):
        """Freeze a node, wake it."""
        name = self._pick(role)
        self.away.add(name)
        self.note(f"freeze {name}")
        self.fleet.signal(name, signal.SIGSTOP)
        gevent.sleep(self.chance.uniform(0.5, 6))
        self.fleet.signal(name, signal.SIGCONT)
        gevent.sleep(1)
        self.away.discard(name)

    def cut(self):
        """Cut some pairs for a while."""
        names = sorted(self.fleet.settings)
        pairs = [tuple(self.chance.sample(names, 2)) for _ in range(self.chance.randrange(1, 6))]
        self.note(f"cut {pairs}")
        self.cuts += pairs
        self.fleet.cut(*self.cuts)
        gevent.sleep(self.chance.uniform(1, 6))
        self.cuts = [pair for pair in self.cuts if pair not in pairs]
        self.fleet.cut(*self.cuts)

    def replica(self):
        """Kill a replica, start a cold one."""
        name = self.chance.choice(sorted(n for n in self.fleet.replicas if n not in self.away))
        self.away.add(name)
        self.note(f"kill {name}")
        self.fleet.kill(name)
        gevent.sleep(self.chance.uniform(0.5, 4))
        self.fleet.start(name)
        gevent.sleep(2)
        self.away.discard(name)

    def empty(self):
        """Swap a store for one with an empty folder, once."""
        if "emptied" in self.away:
            return
        self.away.add("emptied")
        name = self._pick("store")
        self.away.add(name)
        self.note(f"empty {name}")
        self.fleet.kill(name)
        shutil.rmtree(self.fleet.settings[name]["folder"])
        gevent.sleep(self.chance.uniform(0.5, 4))
        self.fleet.start(name)
        gevent.sleep(10)
        self.away.discard(name)

    def lose_zone(self):
        """Lose every process of a domain at once, once; they come back."""
        if self.away:
            return
        zone = self.chance.choice(("north", "east", "south", "west"))
        rows = [*self.fleet.settings.values(), *self.fleet.replicas.values()]
        names = sorted(row["name"] for row in rows if row["domain"] == zone)
        self.away.update(names)
        self.note(f"lose domain {zone}")
        for name in names:
            self.fleet.kill(name)
        gevent.sleep(self.chance.uniform(1, 5))
        for name in names:
            self.fleet.start(name)
        gevent.sleep(3)
        self.away.difference_update(names)

    def full(self):
        """A store's disk fills up for a while."""
        name = self._pick("store")
        self.note(f"disk of {name} is full")
        self.fleet.fill([name])
        gevent.sleep(self.chance.uniform(1, 5))
        self.fleet.fill([])

    def run(self, seconds, period):
        """Bring about a fault in every period."""
        faults = [
            lambda: self.kill("edge"),
            lambda: self.kill("core"),
            lambda: self.kill("store"),
            lambda: self.freeze("edge"),
            lambda: self.freeze("core"),
            lambda: self.freeze("store"),
            self.cut,
            self.cut,
            self.replica,
            self.empty,
            self.lose_zone,
            self.full,
        ]
        end_time, running = time.monotonic() + seconds, []
        while time.monotonic() < end_time:
            gevent.sleep(period * self.chance.uniform(0.5, 1.5))
            running.append(gevent.spawn(self.chance.choice(faults)))
        gevent.joinall(running, raise_error=True)


@click.command()
@click.argument("name", type=click.Choice(sorted(MIXES)))
@click.option("--run-folder", default="run/fleet", show_default=True)
@click.option("--seconds", default=60.0, show_default=True)
@click.option("--period", default=2.0, show_default=True, help="Seconds between faults.")
@click.option("--seed", default=1, show_default=True)
def main(name, run_folder, seconds, period, seed):
    """Storm NAME's fleet; exit 1 when a caller saw a violation."""
    fleet, record = LocalFleet(f"examples/{name}", run_folder), callers.Record()
    storm = Storm(fleet, seed)
    try:
        fleet.start_all()
        fleet.found()
        gevent.joinall(
            [
                gevent.spawn(run_traffic, fleet, MIXES[name], seconds + 5, seed, record),
                gevent.spawn(storm.run, seconds, period),
            ],
            raise_error=True,
        )
        fleet.wait_ready()
        fleet.wait_whole()
        closing_fault(fleet, record, storm.note)
        click.echo(json.dumps({**record.to_json(), "steps": storm.steps}, indent=1))
    finally:
        fleet.stop_all()
    raise SystemExit(1 if record.violations else 0)


if __name__ == "__main__":
    main()
