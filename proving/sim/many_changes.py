"""Cost of a restart, a lost disk, a new owner and a frozen store after many configuration changes.

    python -m proving.sim.many_changes --changes 1000 --routes 60 --parts 64

Complete configurations are adopted one after another in a simulated fleet. In each case
a member then returns. Each case measures the simulated seconds until the member has caught up, the
bytes sent to it until then, and the sizes of the log and slot on a store's disk. Stores are never
declared lost, so each remains a member of its parts.
"""

import time

import click

from proving.sim.fleet import SimFleet
from quillring.fleet import open_store
from quillring.kernel.bounds import Bounds
from quillring.quorum.founding.bootstrap import found_at_first_start
from quillring.quorum.parts import CONFIG_PART, GROUP_SIZE

READY_AT_SECONDS = 8
STEP_SECONDS = 0.01
TIMEOUT_SECONDS = 30
NEVER_LOST_SECONDS = 1_000_000.0


class ManyChanges:
    """A founded fleet whose configuration is changed many times."""

    def __init__(self, seed, parts, routes, stores=4):
        sizes = {"sizes": {"edge": 2, "core": 3, "store": stores}}
        self.sim = SimFleet("ferrowa", seed, sizes)
        self.sim.bounds = Bounds(resync=NEVER_LOST_SECONDS)
        self.env, self.parts, self.routes = self.sim.env, parts, routes
        self.number, self.sent_bytes = 0, {}
        for name in self.sim.rows:
            self.start(name, True)
        self.env.run(until=READY_AT_SECONDS)
        real_carry = self.sim.net.carry

        def carry_and_count(source, target, data, kind):
            self.sent_bytes[target] = self.sent_bytes.get(target, 0) + len(data)
            real_carry(source, target, data, kind)

        self.sim.net.carry = carry_and_count

    def start(self, name, is_first=False):
        """Start a node; at the first start, cores found the fleet."""
        node = self.sim.start(name)
        if node.me.role == "core":
            node.spawn(found_at_first_start(node, is_first, self.parts))
        return node

    def run(self, seconds):
        """Advance simulated time."""
        self.env.run(until=self.env.now + seconds)

    def change(self, count, core="core-1"):
        """Submit `count` complete configurations to a core; return how many were accepted."""
        node, accepted = self.sim.nodes[core], 0
        for _ in range(count):
            command = self.configuration()
            coroutine = node.find("ownership").submit(CONFIG_PART, command, TIMEOUT_SECONDS)
            task = self.env.process(self.sim.run_coroutine(node, coroutine))
            self.env.run(until=task)
            accepted += task.value[1] is None
            self.number = command["edition"] if task.value[1] is None else self.number
        return accepted

    def configuration(self):
        """Return the command that adopts the next complete configuration, with changed routes."""
        number = self.number + 1
        forwards = {
            f"route-{position}": {
                "host": f"host-{position % 7}.example",
                "prefix": f"/r{position}-{number}/",
                "kind": "repeatable",
                "split": [["words", 90 + number % 10], ["maps", 10]],
                "rounds": 2,
                "hold_ms": 3000 + number,
                "goal_ms": 400,
                "urgency": position % 3,
                "origin": {"name": f"route-{position}", "number": number},
            }
            for position in range(self.routes)
        }
        service = {"kind": "raw", "probe_path": "/healthz", "connections": 200}
        return {
            "do": "edition.adopt",
            "base_edition": self.number,
            "edition": number,
            "whole": True,
            "forwards": forwards,
            "services": {"words": service, "maps": service},
            "limits": None,
            "removed": None,
            "extras": {},
        }

    def owner(self):
        """Return the leader of the configuration part with the highest ballot, or None."""
        owners = [
            node.find("ownership").leaders[CONFIG_PART]
            for node in self.sim.up_nodes("core")
            if CONFIG_PART in node.find("ownership").leaders
        ]
        return max((o for o in owners if o.is_leader), key=lambda o: o.ballot, default=None)

    def group(self):
        """Return the names of the stores in the group of the configuration part."""
        return [store[0] for store in self.owner().group]

    def identity(self, store):
        """Return the identity of a store, which is lost with its disk."""
        return self.sim.nodes[store].find("acceptors").identity

    def is_caught_up(self, store):
        """Return whether a store of the group has applied the newest configuration."""
        record = self.sim.nodes[store].find("acceptors").parts.get(CONFIG_PART)
        if record is None or record.state is None:
            return False
        return (record.state["layout"] or {}).get("edition") == self.number

    def measure_until(self, name, is_done):
        """Run until a condition holds; return (seconds, bytes to a node).

        The seconds are None after a timeout.
        """
        address, start_time = self.sim.nodes[name].me.address, self.env.now
        bytes_before = self.sent_bytes.get(address, 0)
        while not is_done():
            if self.env.now - start_time > TIMEOUT_SECONDS:
                return None, self.sent_bytes.get(address, 0) - bytes_before
            self.run(STEP_SECONDS)
        return round(self.env.now - start_time, 2), self.sent_bytes.get(address, 0) - bytes_before

    def disk_bytes(self, store):
        """Return the sizes of a store's (log, slot) in bytes."""
        log = self.sim.nodes[store].find("acceptors").log
        return log.log_size, log.checkpoint_size

    def start_ms(self, store):
        """Return the real time in milliseconds that reading a store's disk at start takes."""
        disk = self.sim.disks[store]
        start_time = time.perf_counter()
        open_store(disk, store, lambda: "0")
        return round((time.perf_counter() - start_time) * 1000, 1)


def frozen_store(fleet, count):
    """Freeze a store of the group during `count` changes, thaw it, measure until it caught up."""
    store = fleet.group()[0]
    runtime = fleet.sim.nodes[store].runtime
    runtime.freeze()
    accepted = fleet.change(count)
    runtime.thaw()
    return accepted, fleet.measure_until(store, lambda: fleet.is_caught_up(store))


def restarted_store(fleet, count):
    """Kill a store of the group, restart it after `count` changes, measure until it caught up."""
    store = fleet.group()[0]
    fleet.sim.kill(store, loses_power=True)
    accepted = fleet.change(count)
    fleet.start(store)
    return accepted, fleet.measure_until(store, lambda: fleet.is_caught_up(store))


def emptied_store(fleet, count):
    """After `count` changes, restart a store of the group with an empty disk.

    It returns as a new member; it or a spare replaces the old one. The measurement ends when the
    group is complete without the old member and every member has caught up.
    """
    accepted, store = fleet.change(count), fleet.group()[0]
    former_identity = fleet.identity(store)
    fleet.sim.lose_disk(store)
    fleet.start(store)

    def is_group_complete():
        owner = fleet.owner()
        return (
            owner is not None
            and former_identity not in [identity for _, identity, _ in owner.group]
            and len(owner.group) == GROUP_SIZE
            and all(fleet.is_caught_up(name) for name in fleet.group())
        )

    return accepted, fleet.measure_until(store, is_group_complete)


def new_owner(fleet, count):
    """After `count` changes, kill the owner; measure until the next owner has the newest state."""
    accepted, former_owner = fleet.change(count), fleet.owner().node.me.name
    fleet.sim.kill(former_owner)

    def has_owner():
        owner = fleet.owner()
        return owner is not None and owner.state["layout"]["edition"] == fleet.number

    survivor = next(name for name in fleet.sim.names("core") if name != former_owner)
    return accepted, fleet.measure_until(survivor, has_owner)


CASES = (frozen_store, restarted_store, emptied_store, new_owner)


def measure(case, changes, routes, parts, stores, seed=1):
    """Return the figures of one case after a number of changes."""
    fleet = ManyChanges(seed, parts, routes, stores)
    fleet.change(1)
    accepted, (seconds, sent) = case(fleet, changes)
    store = fleet.group()[-1]
    log_size, slot_size = fleet.disk_bytes(store)
    return {
        "taken": accepted,
        "seconds": seconds,
        "bytes": sent,
        "log": log_size,
        "slot": slot_size,
        "start_ms": fleet.start_ms(store),
    }


def read_counts(context, parameter, text):
    """Return the comma-separated positive integers of an option; raise click.BadParameter."""
    texts = [item.strip() for item in text.split(",")]
    if not all(item.isdecimal() and int(item) > 0 for item in texts):
        raise click.BadParameter(f"{text!r} are no numbers over 0, with commas")
    return [int(item) for item in texts]


@click.command()
@click.option("--changes", default="10,100,1000", callback=read_counts, help="Comma-separated.")
@click.option("--routes", type=click.IntRange(min=1), default=60)
@click.option("--parts", type=click.IntRange(min=1), default=64)
@click.option(
    "--stores",
    type=click.IntRange(min=3),
    default=4,
    help="Number of stores; with 3, no spare is left.",
)
@click.option("--seed", default=1)
def main(changes, routes, parts, stores, seed):
    """Measure each case after each number of changes and print one row for each."""
    for case in CASES:
        for count in changes:
            print(
                case.__name__, count, measure(case, count, routes, parts, stores, seed), flush=True
            )


if __name__ == "__main__":
    main()
