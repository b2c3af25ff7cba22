"""Fuzzing of the quorum alone: constant commands with frequent faults and group changes."""

import json
import multiprocessing
import sys

import click

from proving.sim.fleet import SimFleet
from proving.sim.monitor import Monitor
from quillring.kernel.errors import DiskError
from quillring.quorum.parts import CONFIG_PART

SIZES = {"sizes": {"edge": 1, "core": 3, "store": 6}, "replicas": []}
HEAL_AT_SECONDS, END_AT_SECONDS = 40.0, 62.0


class Fuzz:
    """One run with writers, faults and an operator who retires and restores stores."""

    def __init__(self, seed):
        self.sim = SimFleet("ferrowa", seed, SIZES)
        self.rng = self.sim.chance
        self.monitor = Monitor(self.sim)
        self.acknowledged = {}
        self.number = 0
        self.disks_lost = 0

    def write(self, part):
        """Process: submit lots with unique names to a part, about eight per second."""
        env = self.sim.env
        while env.now < HEAL_AT_SECONDS:
            yield env.timeout(self.rng.expovariate(8))
            cores = self.sim.up_nodes("core")
            if not cores:
                continue
            self.number += 1
            name = f"{part}.{self.number}"
            command = {
                "do": "lot.accept",
                "lot": name,
                "sender": "s",
                "entry": "none",
                "items": [name],
            }
            coroutine = self.rng.choice(cores).find("ownership").submit(part, command, 3)
            env.process(self._submit(coroutine, part, name))

    def _submit(self, coroutine, part, name):
        """Process: run a submission at a random core, and record the time if it is acknowledged."""
        node = self.rng.choice(self.sim.up_nodes("core") or [None])
        if node is None:
            return
        answer, _ = yield from self.sim.run_coroutine(node, coroutine)
        if answer:
            self.acknowledged.setdefault(part, {})[name] = self.sim.env.now

    def inject_faults(self):
        """Process: inject one random fault after another until the heal time."""
        sim, rng = self.sim, self.rng
        while sim.env.now < HEAL_AT_SECONDS:
            yield sim.env.timeout(rng.uniform(0.1, 1.0))
            if sim.env.now >= HEAL_AT_SECONDS:
                return
            names = [*sim.names("core"), *sim.names("store")]
            name, kind = rng.choice(names), rng.random()
            if not sim.is_up(sim.nodes[name]):
                continue
            if kind < 0.3:
                sim.kill(name, loses_power=rng.random() < 0.5)
                sim.env.process(self._restart_later(name))
            elif kind < 0.55:
                sim.freeze(name, rng.uniform(0.1, 4))
            elif kind < 0.85:
                others = rng.sample(names, rng.randrange(1, len(names)))
                sim.cut([name], [o for o in others if o != name], rng.random() < 0.7)
                sim.env.process(self._heal_later())
            elif kind < 0.95:
                sim.net.loss_share = rng.uniform(0, 0.2)
                sim.net.duplicate_share = sim.net.reorder_share = rng.uniform(0, 0.3)
            elif name.startswith("store") and self.disks_lost < 1 and self._are_all_stores_up():
                self.disks_lost += 1
                sim.lose_disk(name)
                sim.env.process(self._restart_later(name))

    def _are_all_stores_up(self):
        stores = self.sim.names("store")
        return all(self.sim.is_up(self.sim.nodes[name]) for name in stores)

    def _restart_later(self, name):
        yield self.sim.env.timeout(self.rng.uniform(0.1, 4))
        try:
            if self.sim.nodes[name].runtime.is_dead:
                self.sim.start(name)
        except DiskError as error:
            self.sim.history.violate(f"{name} does not start: {error}")

    def _heal_later(self):
        yield self.sim.env.timeout(self.rng.uniform(0.3, 3))
        self.sim.net.cuts.clear()

    def retire_and_restore_stores(self):
        """Process: repeatedly retire a random store and restore it."""
        sim = self.sim
        while sim.env.now < HEAL_AT_SECONDS:
            yield sim.env.timeout(self.rng.uniform(2, 5))
            store = self.rng.choice(sim.names("store"))
            for row in ({"retired": True}, None):
                cores = sim.up_nodes("core")
                if not cores:
                    continue
                node = self.rng.choice(cores)
                command = {
                    "do": "layout.adopt",
                    "id": f"{store} {sim.env.now}",
                    "whole": False,
                    "base_version": node.find("layout").version,
                    "change": {"stores": {store: row}},
                }
                answer, _ = yield from sim.run_coroutine(
                    node, node.find("ownership").submit(CONFIG_PART, command, 3)
                )
                if answer:
                    self.monitor.accept(answer["version"])
                yield sim.env.timeout(self.rng.uniform(1, 6))

    def run(self):
        """Run the simulation, check the end state, and return (violations, figures)."""
        sim = self.sim
        sim.start_all()
        sim.env.process(sim.found())
        sim.env.run(until=5)
        for process in (
            self.write("part-0"),
            self.write("part-1"),
            self.inject_faults(),
            self.retire_and_restore_stores(),
        ):
            sim.env.process(process)
        sim.env.run(until=HEAL_AT_SECONDS)
        sim.heal()
        for name, node in list(sim.nodes.items()):
            node.runtime.thaw()
            if node.runtime.is_dead:
                sim.start(name)
        sim.env.run(until=END_AT_SECONDS)
        self._check_end_state()
        counts = {
            name: sum(n.counts.get(name, 0) for n in sim.nodes.values())
            for name in ("takeovers", "group_changes", "installs", "hints_sent")
        }
        return sim.history.violations, {
            **counts,
            "acked": sum(len(names) for names in self.acknowledged.values()),
        }

    def _check_end_state(self):
        sim = self.sim
        ownership = sim.nodes["core-1"].find("ownership")
        for part, names in self.acknowledged.items():
            owners = [
                n.find("ownership").leaders[part]
                for n in sim.up_nodes("core")
                if part in n.find("ownership").leaders
                and n.find("ownership").leaders[part].has_lease()
            ]
            if len(owners) != 1:
                sim.history.violate(f"{part} has {len(owners)} owners at the end of the run")
                continue
            lost = sorted(set(names) - set(owners[0].state["lots"]))
            if lost:
                sim.history.violate(f"{part} lost {len(lost)} of {len(names)}: {lost[:3]}")
            if len(ownership.group(part)) != 3:
                sim.history.violate(f"{part} has the group {ownership.group(part)}")


def run_one(seed):
    """Run one seed in a worker process; return (seed, violations, figures)."""
    try:
        return seed, *Fuzz(seed).run()
    except Exception as error:
        return seed, [f"failure: {error!r}"], {}


@click.command()
@click.option("--first", default=1, show_default=True)
@click.option("--count", default=20, show_default=True)
@click.option("--workers", default=8, show_default=True)
def main(first, count, workers):
    """Fuzz many seeds; exit with 1 if any has a violation."""
    totals, failed = {}, 0
    with multiprocessing.Pool(workers) as pool:
        for seed, violations, figures in pool.imap_unordered(run_one, range(first, first + count)):
            for name, value in figures.items():
                totals[name] = totals.get(name, 0) + value
            if violations:
                failed += 1
                click.echo(f"seed {seed}: {violations[:4]}")
                click.echo(f"  replay: python -m proving.sim.quorum_fuzz --first {seed} --count 1")
    click.echo(json.dumps({"runs": count, "failed": failed, **totals}))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
