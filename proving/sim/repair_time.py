"""How long parts are under-replicated after the loss of a store, over slow links.

Times are simulated. State, link rate and chunks are scaled down to a sixteenth of the sizes given,
which leaves the times unchanged and makes the run small; heartbeats and calls are not scaled and
thus take sixteen times their real share of a link.
"""

import json
from unittest import mock

import click

from proving.sim.fleet import SimFleet
from quillring.kernel.bounds import Bounds
from quillring.quorum import snapshot_chunks
from quillring.quorum.founding.bootstrap import found_at_first_start
from quillring.quorum.leader import catch_up
from quillring.quorum.parts import CONFIG_PART

SCALE = 16
MEBIBYTE = 1 << 20
ROW_BYTES = 4096
READY_AT_SECONDS, MAX_REPAIR_SECONDS = 10.0, 240.0


class RepairRun:
    """One fleet whose parts all have the same amount of state, and the loss of one store."""

    def __init__(self, seed, stores, parts, group_size, mebibytes):
        self.sim = SimFleet(
            "ferrowa", seed, {"sizes": {"edge": 1, "core": stores, "store": stores}}
        )
        self.sim.bounds = Bounds(resync=5.0)
        self.parts, self.group_size = parts, group_size
        for name in self.sim.rows:
            node = self.sim.start(name)
            if node.me.role == "core":
                node.spawn(found_at_first_start(node, True, parts - 1, group_size))
        self.sim.env.run(until=READY_AT_SECONDS / 2)
        node = self.sim.nodes["core-1"]
        command = {"do": "domain.mark", "domain": "none", "emptied": False}
        coroutine = node.find("ownership").submit(CONFIG_PART, command)
        self.sim.env.process(self.sim.run_coroutine(node, coroutine))
        self.sim.env.run(until=READY_AT_SECONDS)
        self.fill(mebibytes * MEBIBYTE // SCALE)

    def owners(self):
        """Return {part: its leader with the highest ballot}."""
        owners = {}
        for node in self.sim.up_nodes("core"):
            for part, owner in node.find("ownership").leaders.items():
                if owner.is_leader and (part not in owners or owner.ballot > owners[part].ballot):
                    owners[part] = owner
        return owners

    def fill(self, size_bytes):
        """Add `size_bytes` to the state of every part, at its owner and its stores, as if applied.

        The config part is left out, because every node stores and requests its state.
        """
        ballast = {str(n): bytes(ROW_BYTES) for n in range(size_bytes // ROW_BYTES)}
        records = [
            record
            for node in self.sim.up_nodes("store")
            for part, record in node.find("acceptors").parts.items()
            if part != CONFIG_PART
        ]
        machines = [owner.machine for part, owner in self.owners().items() if part != CONFIG_PART]
        for replica in [*records, *machines]:
            replica.state = {**replica.state, "ballast": ballast}

    def count_under_replicated_parts(self):
        """Return the number of parts without a full group of live members that are caught up."""
        live_parts = {
            node.find("acceptors").identity: node.find("acceptors").parts
            for node in self.sim.up_nodes("store")
        }
        owners = self.owners()
        complete_parts = sum(
            len(owner.group) == self.group_size
            and all(
                identity in live_parts
                and part in live_parts[identity]
                and live_parts[identity][part].applied >= owner.index
                for _, identity, _ in owner.group
            )
            for part, owner in owners.items()
        )
        return self.parts - complete_parts

    def lose(self, restart_after_seconds):
        """Lose a store and its disk, measure the repair and return the figures, in seconds.

        The store restarts empty after `restart_after_seconds` seconds, or never if that is 0.
        """
        env, name = self.sim.env, "store-2"
        lost_at, restarted_at = env.now, None
        self.sim.lose_disk(name)
        under_replicated = max_under_replicated = self.count_under_replicated_parts()
        while under_replicated and env.now < lost_at + MAX_REPAIR_SECONDS:
            if (
                restarted_at is None
                and restart_after_seconds
                and env.now >= lost_at + restart_after_seconds
            ):
                self.sim.start(name)
                restarted_at = env.now
            env.run(until=env.now + 0.1)
            under_replicated = self.count_under_replicated_parts()
            max_under_replicated = max(under_replicated, max_under_replicated)
        return {
            "parts_short": max_under_replicated,
            "whole_after_loss_s": None if under_replicated else round(env.now - lost_at, 1),
            "whole_after_return_s": round(env.now - restarted_at, 1)
            if restarted_at and not under_replicated
            else None,
            "left_short": under_replicated,
        }


def cut_small_chunk(state, offset):
    """Cut a chunk of a sixteenth of the product's chunk size."""
    return snapshot_chunks.cut_chunk(state, offset, snapshot_chunks.CHUNK_BYTES // SCALE)


@click.command()
@click.option("--stores", default=4, show_default=True)
@click.option(
    "--parts", default=4, show_default=True, help="Number of parts, including the config part."
)
@click.option("--size", default=3, show_default=True, help="Stores per part.")
@click.option("--mebibytes", default=16, show_default=True, help="State per part in MiB.")
@click.option("--megabits", default=[15.0], multiple=True, help="Link rate of each node in Mbit/s.")
@click.option("--back", default=0.0, help="Seconds until the store restarts empty; 0 for never.")
@click.option("--seed", default=1, show_default=True)
def main(stores, parts, size, mebibytes, megabits, back, seed):
    """Measure the repair after the loss of one store."""
    for megabit in megabits:
        with mock.patch.object(catch_up, "cut_chunk", cut_small_chunk):
            run = RepairRun(seed, stores, parts, size, mebibytes)
            run.sim.net.link_bytes_per_second = megabit * 1e6 / 8 / SCALE
            figures = run.lose(back)
        click.echo(json.dumps({"megabits": megabit, "back_after_s": back or None, **figures}))


if __name__ == "__main__":
    main()
