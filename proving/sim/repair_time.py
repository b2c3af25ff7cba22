"""How long the parts stay short of a store after a loss, over slow links, in simulated time.

State, link and pieces are a sixteenth of what is named, so that the times are the same and the run
stays small; heartbeats and calls thus weigh sixteen times as much on the links as they would.
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
READY_AT, LONGEST = 10.0, 240.0


class RepairRun:
    """One fleet whose parts all hold the same weight of state, and one loss of a store."""

    def __init__(self, seed, stores, parts, size, mebibytes):
        self.sim = SimFleet(
            "ferrowa", seed, {"sizes": {"edge": 1, "core": stores, "store": stores}}
        )
        self.sim.bounds = Bounds(resync=5.0)
        self.parts, self.size = parts, size
        for name in self.sim.rows:
            node = self.sim.start(name)
            if node.me.role == "core":
                node.spawn(found_at_first_start(node, True, parts - 1, size))
        self.sim.env.run(until=READY_AT / 2)
        node = self.sim.nodes["core-1"]
        command = {"do": "domain.mark", "domain": "none", "emptied": False}
        coroutine = node.find("ownership").submit(CONFIG_PART, command)
        self.sim.env.process(self.sim.run_script(node, coroutine))
        self.sim.env.run(until=READY_AT)
        self.fill(mebibytes * MEBIBYTE // SCALE)

    def owners(self):
        """Return {part: its newest owner}."""
        owners = {}
        for node in self.sim.up_nodes("core"):
            for part, owner in node.find("ownership").leaders.items():
                if owner.is_leader and (part not in owners or owner.ballot > owners[part].ballot):
                    owners[part] = owner
        return owners

    def fill(self, size):
        """Put the same weight into every part at its owner and its stores, as if applied.

        Not into the config part, whose state every node holds and asks for.
        """
        ballast = {str(n): bytes(ROW_BYTES) for n in range(size // ROW_BYTES)}
        records = [
            record
            for node in self.sim.up_nodes("store")
            for part, record in node.find("acceptors").parts.items()
            if part != CONFIG_PART
        ]
        machines = [owner.machine for part, owner in self.owners().items() if part != CONFIG_PART]
        for holder in [*records, *machines]:
            holder.state = {**holder.state, "ballast": ballast}

    def short_parts(self):
        """Return how many parts lack a live member that holds all that is committed."""
        held = {
            node.find("acceptors").identity: node.find("acceptors").parts
            for node in self.sim.up_nodes("store")
        }
        owners = self.owners()
        whole = sum(
            len(owner.group) == self.size
            and all(
                identity in held
                and part in held[identity]
                and held[identity][part].applied >= owner.index
                for _, identity, _ in owner.group
            )
            for part, owner in owners.items()
        )
        return self.parts - whole

    def lose(self, comes_back_after):
        """Lose a store's disk for good, or have it come back empty; return figures in seconds."""
        env, name = self.sim.env, "store-2"
        lost_at, back_at = env.now, None
        self.sim.lose_disk(name)
        short = most_short = self.short_parts()
        while short and env.now < lost_at + LONGEST:
            if back_at is None and comes_back_after and env.now >= lost_at + comes_back_after:
                self.sim.start(name)
                back_at = env.now
            env.run(until=env.now + 0.1)
            short = self.short_parts()
            most_short = max(short, most_short)
        return {
            "parts_short": most_short,
            "whole_after_loss_s": None if short else round(env.now - lost_at, 1),
            "whole_after_return_s": round(env.now - back_at, 1) if back_at and not short else None,
            "left_short": short,
        }


def cut_small_piece(state, place):
    """Cut pieces a sixteenth as long as the product does."""
    return snapshot_chunks.cut_chunk(state, place, snapshot_chunks.CHUNK_BYTES // SCALE)


@click.command()
@click.option("--stores", default=4, show_default=True)
@click.option("--parts", default=4, show_default=True, help="The config part too.")
@click.option("--size", default=3, show_default=True, help="Stores of a part.")
@click.option("--mebibytes", default=16, show_default=True, help="State of each part.")
@click.option("--megabits", default=[15.0], multiple=True, help="Link of each node, per second.")
@click.option("--back", default=0.0, help="The store is back, empty, after so many seconds.")
@click.option("--seed", default=1, show_default=True)
def main(stores, parts, size, mebibytes, megabits, back, seed):
    """Measure the repair after the loss of one store."""
    for megabit in megabits:
        with mock.patch.object(catch_up, "cut_chunk", cut_small_piece):
            run = RepairRun(seed, stores, parts, size, mebibytes)
            run.sim.net.link_bytes_per_second = megabit * 1e6 / 8 / SCALE
            figures = run.lose(back)
        click.echo(json.dumps({"megabits": megabit, "back_after_s": back or None, **figures}))


if __name__ == "__main__":
    main()
