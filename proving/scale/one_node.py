"""One real node of each role among scripted peers over loopback: its processor time and memory.

The peers are one coroutine, so that a busy machine slows figures less than many hollow nodes
do: they send sound heartbeats, spread over the period, and read the node's own.
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
NEWS, RETURN, WARM_SECONDS, FULL_ROUNDS = 2.5, 15, 6, 6


class Peers:
    """The scripted members, all behind one socket."""

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
        self.node_state, self.sequence, self.taken = None, 0, 0
        self.period = HeartbeatTiming(Bounds(propagation=NEWS, recovery=RETURN), count + 1).interval

    def read(self):
        """Read what the node sent; one heartbeat of a round speaks for all its copies."""
        try:
            while True:
                heartbeat = Heartbeat.from_wire(self.socket.recv(65535), SUPPORTED_VERSIONS)
                self.taken += 1
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
        """Beat for some seconds, each member at its own moment of the period."""
        end_time, period = time.monotonic() + seconds, self.period
        while time.monotonic() < end_time:
            round_start, self.sequence = time.monotonic(), self.sequence + 1
            told = max(1, min(self.sequence, FULL_ROUNDS))
            for number, member in enumerate(self.members):
                wait = round_start + period * (number + 1) / len(self.members) - time.monotonic()
                time.sleep(max(0, wait))
                self.read()
                heartbeat_round = HeartbeatRound(
                    member,
                    self.sequence,
                    told,
                    self.roster.digest,
                    self.bitmap,
                    None,
                    SUPPORTED_VERSIONS,
                    0,
                )
                self.socket.sendto(
                    heartbeat_round.encode_for(self.node_state), (NODE_HOST, NODE_PORT)
                )


def spent_seconds(pid):
    """Return the processor seconds of a process, to the microsecond."""
    threads = pathlib.Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(thread.read_text().split()[0]) for thread in threads) / 1e9


def measure(role, count, seconds, folder):
    """Return what a node of a role spends among so many peers."""
    settings = {
        "name": f"{role}-one",
        "role": role,
        "domain": "north",
        "address": f"{NODE_HOST}:{NODE_PORT}",
        "http_address": f"{NODE_HOST}:{NODE_PORT + 1}",
        "seeds": [f"{HOST.format(1)}:{PORT}"],
        "bounds": {"news": NEWS, "return_": RETURN},
        **({"folder": f"{folder}/data"} if role == "store" else {}),
    }
    path = pathlib.Path(folder) / f"{role}.json"
    path.write_text(json.dumps(settings))
    peers = Peers(count, role)
    process = subprocess.Popen([sys.executable, "-c", PROGRAM, role, "--settings", str(path)])
    try:
        peers.run(WARM_SECONDS)
        start_cost, before, taken = spent_seconds(process.pid), time.monotonic(), peers.taken
        peers.run(seconds)
        span = time.monotonic() - before
        return {
            "core_share": round((spent_seconds(process.pid) - start_cost) / span, 5),
            "first_s": round(start_cost, 3),
            "mb": round(process_bytes(process.pid) / 1e6, 1),
            "beats_taken": round((peers.taken - taken) / span, 1),
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
    """Measure an idle node of each role among peers that all hear each other."""
    for role in roles.split(","):
        for count in map(int, peers.split(",")):
            with tempfile.TemporaryDirectory() as folder:
                row = measure(role, count, seconds, folder)
            click.echo(json.dumps({"role": role, "peers": count, **row}))


if __name__ == "__main__":
    main()
