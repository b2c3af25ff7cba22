"""A replicated counter: registered commands, three stores, and an elected owner of the part."""

import tempfile

import gevent

from quillring.fleet import make_node, open_store, start_node
from quillring.kernel.bounds import Bounds
from quillring.kernel.gevent_runtime import GeventRuntime
from quillring.nifty import Member
from quillring.ownership import QUERIES
from quillring.quorum import COMMANDS
from quillring.quorum.founding.founding import found_fleet
from quillring.store import FolderDisk

SEED = ("127.0.44.1", 7601)


@COMMANDS.entry("counter.add")
def add(state, command):
    """Add an amount to the counter; idempotent by command id."""
    counter = state.get("counter", {})
    new_counter = {**counter, command["id"]: command["amount"]}
    return {**state, "counter": new_counter}, sum(new_counter.values())


@QUERIES.entry("counter")
def show(state, query):
    """Return the value of the counter."""
    return sum(state.get("counter", {}).values())


def start(number, role, zone, folder=None):
    """Start one node in this process; with a data folder, it is a store."""
    name, address = f"{role}-{number}", (f"127.0.44.{number}", 7601)
    acceptors = open_store(FolderDisk(folder), name, lambda: f"{number:04x}") if folder else None
    identity = acceptors.identity if acceptors else ""
    me = Member(name, number, role, zone, *address, 1, identity)
    runtime = GeventRuntime(print, 1.0)
    node = make_node(me, runtime, [SEED], Bounds())
    start_node(node, acceptors)
    runtime.listen(*address, node.find("nifty").on_datagram, node.find("nifty").on_frame)
    return node


def main():
    """Found a fleet with three stores, add from two nodes, and read the sum from the owner."""
    with tempfile.TemporaryDirectory() as folder, gevent.Timeout(60):
        core = start(1, "core", "north")
        other = start(5, "core", "east")
        for number, zone in ((2, "north"), (3, "east"), (4, "south")):
            start(number, "store", zone, f"{folder}/store-{number}")
        while len(core.find("nifty").graph.live) < 5:
            gevent.sleep(0.05)
        print("founded:", core.runtime.drive(found_fleet(core, 1))["was_founded"] is False)
        for node, amount in ((core, 2), (other, 40)):
            while node.find("gossip").get("founding") is None:
                gevent.sleep(0.05)
            command = {"do": "counter.add", "id": node.me.name, "amount": amount}
            node.runtime.drive(node.find("ownership").submit("part-0", command, 20))
        print(
            "counter:",
            core.runtime.drive(core.find("ownership").read("part-0", {"ask": "counter"})),
        )
        while core.find("gossip").get("owner/part-0") is None:
            gevent.sleep(0.05)
        print("owner:", core.find("gossip").get("owner/part-0")["owner"])


if __name__ == "__main__":
    main()
