"""Hundreds of changes: what a restart, a lost disk, a new owner and a frozen node cost after them.

    python -m proving.sim.many_changes --changes 1000 --routes 60 --parts 64

Whole configurations are adopted one after another in a simulated fleet, one store frozen through
all of it. Then each kind of member comes back; its time is simulated, its bytes are those sent to
it until it was in step, and the log and slot are those of a store's disk. No store counts as lost,
so that each stays a member of its parts.
"""

import time

import click

from proving.sim.fleet import SimFleet
from quillring.fleet import open_store
from quillring.kernel.bounds import Bounds
from quillring.quorum.founding.bootstrap import found_at_first_start
from quillring.quorum.parts import CONFIG_PART, GROUP_SIZE

READY_AT = 8
STEP = 0.01
PATIENCE = 30
NEVER_LOST = 1_000_000.0


class ManyChanges:
    """A founded fleet whose configuration is changed again and again."""

    def __init__(self, seed, parts, routes, stores=4):
        sizes = {"sizes": {"edge": 2, "core": 3, "store": stores}}
        self.sim = SimFleet("ferrowa", seed, sizes)
        self.sim.bounds = Bounds(resync=NEVER_LOST)
        self.env, self.parts, self.routes = self.sim.env, parts, routes
        self.number, self.sent_bytes = 0, {}
        for name in self.sim.rows:
            self.start(name, True)
        self.env.run(until=READY_AT)
        carry = self.sim.net.carry

        def count(home, target, data, kind):
            self.sent_bytes[target] = self.sent_bytes.get(target, 0) + len(data)
            carry(home, target, data, kind)

        self.sim.net.carry = count

    def start(self, name, is_first=False):
        """Start a node; cores found the fleet at the first start."""
        node = self.sim.start(name)
        if node.me.role == "core":
            node.spawn(found_at_first_start(node, is_first, self.parts))
        return node

    def run(self, seconds):
        """Let simulated time pass."""
        self.env.run(until=self.env.now + seconds)

    def change(self, count, core="core-1"):
        """Adopt so many whole configurations; return how many were taken."""
        node, taken = self.sim.nodes[core], 0
        for _ in range(count):
            command = self.configuration()
            coroutine = node.find("ownership").submit(CONFIG_PART, command, PATIENCE)
            task = self.env.process(self.sim.run_script(node, coroutine))
            self.env.run(until=task)
            taken += task.value[1] is None
            self.number = command["edition"] if task.value[1] is None else self.number
        return taken

    def configuration(self):
        """Return the next whole configuration, whose routes differ from the last one's."""
        number = self.number + 1
        forwards = {
            f"route-{place}": {
                "host": f"host-{place % 7}.example",
                "prefix": f"/r{place}-{number}/",
                "kind": "repeatable",
                "split": [["words", 90 + number % 10], ["maps", 10]],
                "rounds": 2,
                "hold_ms": 3000 + number,
                "goal_ms": 400,
                "urgency": place % 3,
                "origin": {"name": f"route-{place}", "number": number},
            }
            for place in range(self.routes)
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
        """Return the owner of the configuration with the highest term, or None."""
        owners = [
            node.find("ownership").leaders[CONFIG_PART]
            for node in self.sim.up_nodes("core")
            if CONFIG_PART in node.find("ownership").leaders
        ]
        return max((o for o in owners if o.is_leader), key=lambda o: o.ballot, default=None)

    def group(self):
        """Return the names of the stores that keep the configuration."""
        return [store[0] for store in self.owner().group]

    def identity(self, store):
        """Return the identity of a store, which it loses with its disk."""
        return self.sim.nodes[store].find("acceptors").identity

    def is_in_step(self, store):
        """Tell whether a store of the group has applied the newest configuration."""
        record = self.sim.nodes[store].find("acceptors").parts.get(CONFIG_PART)
        if record is None or record.state is None:
            return False
        return (record.state["layout"] or {}).get("edition") == self.number

    def time_and_bytes(self, name, is_so):
        """Let time pass until something is so; return (seconds, bytes sent to a node by then)."""
        address, start_time = self.sim.nodes[name].me.address, self.env.now
        former = self.sent_bytes.get(address, 0)
        while not is_so():
            if self.env.now - start_time > PATIENCE:
                return None, self.sent_bytes.get(address, 0) - former
            self.run(STEP)
        return round(self.env.now - start_time, 2), self.sent_bytes.get(address, 0) - former

    def disk_bytes(self, store):
        """Return the (log, slot) bytes of a store."""
        log = self.sim.nodes[store].find("acceptors").log
        return log.log_size, log.checkpoint_size

    def start_ms(self, store):
        """Return the milliseconds of real time in which a store's disk is read at its start."""
        disk = self.sim.disks[store]
        start_time = time.perf_counter()
        open_store(disk, store, lambda: "0")
        return round((time.perf_counter() - start_time) * 1000, 1)


def frozen_store(fleet, count):
    """Freeze a store of the group through so many changes, and wake it."""
    store = fleet.group()[0]
    runtime = fleet.sim.nodes[store].runtime
    runtime.freeze()
    taken = fleet.change(count)
    runtime.thaw()
    return taken, fleet.time_and_bytes(store, lambda: fleet.is_in_step(store))


def restarted_store(fleet, count):
    """Kill a store of the group, start it after so many changes."""
    store = fleet.group()[0]
    fleet.sim.kill(store, loses_power=True)
    taken = fleet.change(count)
    fleet.start(store)
    return taken, fleet.time_and_bytes(store, lambda: fleet.is_in_step(store))


def emptied_store(fleet, count):
    """Change so often, then let a store of the group come back with an empty disk.

    It comes back as a new member, and it or a spare takes the place of the old one.
    """
    taken, store = fleet.change(count), fleet.group()[0]
    former = fleet.identity(store)
    fleet.sim.lose_disk(store)
    fleet.start(store)

    def is_whole():
        owner = fleet.owner()
        return (
            owner is not None
            and former not in [identity for _, identity, _ in owner.group]
            and len(owner.group) == GROUP_SIZE
            and all(fleet.is_in_step(name) for name in fleet.group())
        )

    return taken, fleet.time_and_bytes(store, is_whole)


def new_owner(fleet, count):
    """Change so often, then kill the owner; in step is the next one's first committed change."""
    taken, former = fleet.change(count), fleet.owner().node.me.name
    fleet.sim.kill(former)

    def has_owner():
        owner = fleet.owner()
        return owner is not None and owner.state["layout"]["edition"] == fleet.number

    survivor = next(name for name in fleet.sim.names("core") if name != former)
    return taken, fleet.time_and_bytes(survivor, has_owner)


CASES = (frozen_store, restarted_store, emptied_store, new_owner)


def measure(case, changes, routes, parts, stores, seed=1):
    """Return the figures of one case after so many changes."""
    fleet = ManyChanges(seed, parts, routes, stores)
    fleet.change(1)
    taken, (seconds, sent) = case(fleet, changes)
    store = fleet.group()[-1]
    log_size, slot_size = fleet.disk_bytes(store)
    return {
        "taken": taken,
        "seconds": seconds,
        "bytes": sent,
        "log": log_size,
        "slot": slot_size,
        "start_ms": fleet.start_ms(store),
    }


def read_counts(context, parameter, text):
    """Return the whole numbers over 0 of an option with commas; click.BadParameter for others."""
    words = [word.strip() for word in text.split(",")]
    if not all(word.isdecimal() and int(word) > 0 for word in words):
        raise click.BadParameter(f"{text!r} are no numbers over 0, with commas")
    return [int(word) for word in words]


@click.command()
@click.option("--changes", default="10,100,1000", callback=read_counts, help="With commas.")
@click.option("--routes", type=click.IntRange(min=1), default=60)
@click.option("--parts", type=click.IntRange(min=1), default=64)
@click.option("--stores", type=click.IntRange(min=3), default=4, help="With 3 none is a spare.")
@click.option("--seed", default=1)
def main(changes, routes, parts, stores, seed):
    """Measure each case after each number of changes, and print a row each."""
    for case in CASES:
        for count in changes:
            print(
                case.__name__, count, measure(case, count, routes, parts, stores, seed), flush=True
            )


if __name__ == "__main__":
    main()
