"""Measures real processes in a fleet of many hollow nodes, connected over loopback UDP."""

import json
import random
import subprocess
import sys
import time

import click
import gevent

from proving.scale.fleet import FIRST_INCARNATION
from proving.scale.runs import process_bytes
from proving.tools.callers import ask
from proving.tools.local_fleet import LocalFleet
from proving.tools.overhead import cpu_seconds
from quillring.fleet import make_node
from quillring.kernel.bounds import Bounds
from quillring.kernel.gevent_runtime import GeventRuntime
from quillring.kernel.settings import split_address
from quillring.nifty import Member

REAL_NODE_NAMES = ("core-1", "edge-1")
PROGRAM = "from quillring.verbs.program import main; main()"
ZONES = ("north", "east", "south", "west")


class FaultFreeFleet(LocalFleet):
    """A local fleet that runs the program without fault injection."""

    def start(self, name):
        """Start one process."""
        path = self.run_folder / f"{name}.json"
        path.write_text(json.dumps(self.settings[name]))
        out_file = open(self.run_folder / f"{name}.out", "ab")
        arguments = ["-c", PROGRAM, self.settings[name]["role"]]
        self.processes[name] = subprocess.Popen(
            [sys.executable, *arguments, "--settings", str(path)],
            stdout=out_file,
            stderr=out_file,
            start_new_session=True,
        )


def start_hollow(number, seeds, faults):
    """Start a hollow node on a loopback address; return it."""
    address = (f"127.0.{44 + number // 250}.{number % 250 + 1}", 7400)
    me = Member(
        f"edge-h{number:04d}",
        FIRST_INCARNATION + number,
        "edge",
        ZONES[number % 4],
        *address,
        8400,
        "",
    )
    runtime = GeventRuntime(faults.append, 1.0)
    node = make_node(me, runtime, seeds, Bounds())
    nifty = node.find("nifty")
    runtime.listen(*address, nifty.on_datagram, nifty.on_frame)
    gevent.spawn_later(random.uniform(0, 0.05), start_services, node)
    return node


def start_services(node):
    """Start the services of a hollow node."""
    for name in ("nifty", "gossip"):
        node.spawn(node.find(name).run())


def measure(fleet, seconds):
    """Return the share of a processor core and the memory in MB of each real process."""
    before = {name: cpu_seconds(fleet.processes[name].pid) for name in REAL_NODE_NAMES}
    start_time = time.monotonic()
    gevent.sleep(seconds)
    elapsed_seconds = time.monotonic() - start_time
    return {
        name: {
            "core_share": round((cpu_seconds(process.pid) - before[name]) / elapsed_seconds, 4),
            "rss_mb": round(process_bytes(process.pid) / 1e6, 1),
        }
        for name, process in fleet.processes.items()
    }


@click.command()
@click.option(
    "--hollow", default=93, show_default=True, help="Number of hollow nodes in this process."
)
@click.option("--seconds", default=10.0, show_default=True, help="Seconds of each measurement.")
@click.option("--run-folder", default="run/scale", show_default=True)
def main(hollow, seconds, run_folder):
    """Measure two real nodes alone, while hollow nodes join, and in the steady state."""
    fleet, faults, rows = (
        FaultFreeFleet("examples/ferrowa", run_folder, True, set(REAL_NODE_NAMES)),
        [],
        {},
    )
    try:
        for name in REAL_NODE_NAMES:
            fleet.start(name)
        seeds = [split_address(fleet.settings[name]["address"]) for name in REAL_NODE_NAMES]
        gevent.sleep(3)
        rows["alone"] = measure(fleet, seconds)
        nodes = [start_hollow(number, seeds, faults) for number in range(hollow)]
        rows["joining"] = measure(fleet, 5)
        gevent.sleep(5)
        rows["steady"] = measure(fleet, seconds)
        _, answer = ask(fleet.http("edge-1"), "GET", "/v1/members")
        hops = [member["hops"] for member in answer["members"]]
        rows["direct_links_of_edge_1"] = hops.count(1)
        rows["hollow_links"] = sum(node.find("nifty").graph.hops("edge-1") == 1 for node in nodes)
    finally:
        fleet.stop_all()
    click.echo(json.dumps({"hollow": hollow, "rows": rows, "faults": len(faults)}))


if __name__ == "__main__":
    main()
