"""Measures processor time and memory of one real node of each role among scripted peers.

The peers send valid heartbeats over loopback, spread over the interval, and read those of the node.
They share one loop, so load on the machine distorts the figures less than with many hollow nodes.
"""

import json
import pathlib
import socket
import subprocess
import sys
import tempfile
import time

import click

from proving.scale.runs import process_bytes
from quillring.kernel.bounds import Bounds
from quillring.kernel.member import Member
from quillring.nifty.heartbeat_round import HeartbeatRound
from quillring.nifty.heartbeat_timing import HeartbeatTiming
from quillring.nifty.peer_state import PeerState
from quillring.nifty.roster import Roster
from quillring.nifty.wire import SUPPORTED_VERSIONS, Heartbeat

PROGRAM = "from quillring.verbs.program import main; main()"
PORT, HOST, NODE_HOST, NODE_PORT = 7413, "127.0.46.{}", "127.0.45.1", 7415
PROPAGATION_SECONDS, RECOVERY_SECONDS, WARM_UP_SECONDS, FULL_CONTENT_ROUNDS = 2.5, 15, 6, 6


class Peers:
    """The scripted members, which share one socket."""

    def __init__(self, count, role):
        self.members = [
            Member(f"peer-{n:03d}", 5_000 + n, "edge", "north", HOST.format(n + 1), PORT, 8400, "")
            for n in range(count)
        ]
        self.roster = Roster([*self.members, Member(f"{role}-one", 1, role, "north", "", 0, 0, "")])
        self.bitmap = self.roster.to_bitmap(self.roster.names)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("0.0.0.0", PORT))
        self.socket.setblocking(False)
        self.node_state, self.sequence, self.received_count = None, 0, 0
        self.period = HeartbeatTiming(
            Bounds(propagation=PROPAGATION_SECONDS, recovery=RECOVERY_SECONDS), count + 1
        ).interval

    def read(self):
        """Read the datagrams from the node; its state as a peer is the same for all members."""
        try:
            while True:
                heartbeat = Heartbeat.from_wire(self.socket.recv(65535), SUPPORTED_VERSIONS)
                self.received_count += 1
                self.node_state = self.node_state or PeerState(heartbeat)
                self.node_state.sequence = max(self.node_state.sequence, heartbeat.sequence)
                self.node_state.heard_at, self.node_state.reads_terse = (
                    time.monotonic(),
                    heartbeat.reads_terse,
                )
                self.node_state.acknowledged_sequence = (
                    heartbeat.echo.sequence if heartbeat.echo else 0
                )
        except BlockingIOError:
            return

    def run(self, seconds):
        """Send heartbeats for some seconds; those of the members are spread over the interval."""
        end_time, period = time.monotonic() + seconds, self.period
        while time.monotonic() < end_time:
            round_start, self.sequence = time.monotonic(), self.sequence + 1
            content_sequence = max(1, min(self.sequence, FULL_CONTENT_ROUNDS))
            for number, member in enumerate(self.members):
                wait = round_start + period * (number + 1) / len(self.members) - time.monotonic()
                time.sleep(max(0, wait))
                self.read()
                heartbeat_round = HeartbeatRound(
                    member,
                    self.sequence,
                    content_sequence,
                    self.roster.digest,
                    self.bitmap,
                    None,
                    SUPPORTED_VERSIONS,
                    0,
                )
                self.socket.sendto(
                    heartbeat_round.encode_for(self.node_state), (NODE_HOST, NODE_PORT)
                )


def cpu_seconds(pid):
    """Return the processor seconds of a process, from its scheduler statistics in nanoseconds."""
    threads = pathlib.Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(thread.read_text().split()[0]) for thread in threads) / 1e9


def measure(role, count, seconds, folder):
    """Start a node of a role among `count` peers; return its processor share and memory."""
    settings = {
        "name": f"{role}-one",
        "role": role,
        "domain": "north",
        "address": f"{NODE_HOST}:{NODE_PORT}",
        "http_address": f"{NODE_HOST}:{NODE_PORT + 1}",
        "seeds": [f"{HOST.format(1)}:{PORT}"],
        "bounds": {"news": PROPAGATION_SECONDS, "return_": RECOVERY_SECONDS},
        **({"folder": f"{folder}/data"} if role == "store" else {}),
    }
    path = pathlib.Path(folder) / f"{role}.json"
    path.write_text(json.dumps(settings))
    peers = Peers(count, role)
    process = subprocess.Popen([sys.executable, "-c", PROGRAM, role, "--settings", str(path)])
    try:
        peers.run(WARM_UP_SECONDS)
        start_cpu_seconds, before, received_count = (
            cpu_seconds(process.pid),
            time.monotonic(),
            peers.received_count,
        )
        peers.run(seconds)
        elapsed_seconds = time.monotonic() - before
        return {
            "core_share": round(
                (cpu_seconds(process.pid) - start_cpu_seconds) / elapsed_seconds, 5
            ),
            "first_s": round(start_cpu_seconds, 3),
            "mb": round(process_bytes(process.pid) / 1e6, 1),
            "beats_taken": round((peers.received_count - received_count) / elapsed_seconds, 1),
            "acked": peers.node_state is not None and peers.node_state.acknowledged_sequence > 0,
        }
    finally:
        process.terminate()
        process.wait()
        peers.socket.close()


@click.command()
@click.option("--peers", default="1,93", show_default=True, help="Numbers of scripted peers.")
@click.option("--roles", default="edge,core,store", show_default=True)
@click.option("--seconds", default=10.0, show_default=True, help="Seconds of each measurement.")
def main(peers, roles, seconds):
    """Measure an idle node of each role among peers that all reach each other."""
    for role in roles.split(","):
        for count in map(int, peers.split(",")):
            with tempfile.TemporaryDirectory() as folder:
                row = measure(role, count, seconds, folder)
            click.echo(json.dumps({"role": role, "peers": count, **row}))


if __name__ == "__main__":
    main()
