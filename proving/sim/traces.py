"""Recorded traces: the input of one store or node during a run, replayed without the run."""

import hashlib
import zlib

import cbor2
import click

from proving.points.configuration import names_except
from proving.points.scenario_fleet import ScenarioFleet
from proving.sim.disk import InstantLog
from proving.sim.quorum_fuzz import Fuzz
from quillring.kernel.errors import QuillringError
from quillring.kernel.node import Node
from quillring.nifty import Member, Nifty
from quillring.quorum import Acceptors

FOLDER = "tests/traces"
RECORDED_VERBS = ("found", "prepare", "accept", "commit", "install", "confirm")
MAX_CALLS = 1500


def digest(value):
    """Return the first 16 hex digits of the SHA-256 of a value's canonical CBOR."""
    return hashlib.sha256(cbor2.dumps(value, canonical=True)).hexdigest()[:16]


def part_digests(acceptors):
    """Return {part: [promised ballot, applied index, committed index, digest of the state]}."""
    return {
        part: [list(record.promised), record.applied, record.committed, digest(record.state)]
        for part, record in sorted(acceptors.parts.items())
    }


def record_store(seed, name):
    """Run a quorum fuzz seed; return the calls that a store received and its resulting state."""
    fuzz, calls = Fuzz(seed), []
    real_attach = Acceptors.attach

    def attach(self, node):
        real_attach(self, node)
        if node.me.name == name and not calls:
            for verb in RECORDED_VERBS:
                node.handlers[f"quorum.{verb}"] = recording_handler(self, verb)

    def recording_handler(acceptors, verb):
        handler = getattr(acceptors, f"on_{verb}")

        def on_call(body, origin):
            if len(calls) < MAX_CALLS and not fuzz.sim.nodes[name].runtime.is_dead:
                calls.append([verb, cbor2.loads(cbor2.dumps(body)), part_digests(acceptors)])
            return handler(body, origin)

        return on_call

    Acceptors.attach = attach
    try:
        fuzz.run()
    finally:
        Acceptors.attach = real_attach
    *replayed_calls, (_, _, final_digests) = calls
    return {
        "seed": seed,
        "store": name,
        "calls": [call[:2] for call in replayed_calls],
        "held": final_digests,
        "identity": replayed_calls[0][1]["identity"],
    }


def replay_store(trace):
    """Replay the calls against a new acceptor; return the digests of its parts."""
    acceptors = Acceptors()
    acceptors.identity, acceptors.log = trace["identity"], InstantLog()
    node = Node(Member(trace["store"], 1, "store", "x", "127.0.0.1", 1, 2, ""), None)
    acceptors.attach(node)
    for verb, body in trace["calls"]:
        try:
            for _ in getattr(acceptors, f"on_{verb}")(body, "trace") or ():
                pass
        except (QuillringError, TypeError):
            continue
    return part_digests(acceptors)


def record_node(seed, name):
    """Record the heartbeats that a node received while links were cut, also one way, and healed.

    An entry without data marks the node's own heartbeat round.
    """
    stage, received = ScenarioFleet(seed), []
    node = stage.node(name)
    nifty, runtime = node.find("nifty"), node.runtime
    start_time = runtime.now()

    def view():
        return [sorted(nifty.graph.links.get(name, ())), list(nifty.bridge_nodes())]

    members_before = [m.to_list() for m in nifty.roster.members.values()]
    real_datagram, real_send_heartbeats = runtime.on_datagram, Nifty.send_heartbeats

    def on_datagram(data):
        received.append([runtime.now() - start_time, data])
        real_datagram(data)

    def send_heartbeats(self):
        if self is nifty:
            received.append([runtime.now() - start_time, None])
        real_send_heartbeats(self)

    runtime.on_datagram, Nifty.send_heartbeats = on_datagram, send_heartbeats
    try:
        sequence = nifty.heartbeat_sequence
        stage.run(2)
        stage.sim.cut([name], ["store-1", "store-2", "core-2"])
        stage.run(4)
        stage.sim.cut(["edge-2"], [name], both_ways=False)
        stage.run(4)
        stage.sim.heal()
        stage.run(3)
        stage.sim.cut([name], names_except(stage, name))
        stage.run(3)
    finally:
        Nifty.send_heartbeats = real_send_heartbeats
    return {
        "me": node.me.to_list(),
        "members": members_before,
        "sequence": sequence,
        "taken": received,
        "view": view(),
    }


class TraceRuntime:
    """A runtime whose clock is the trace's time and which sends nothing."""

    def __init__(self):
        self.time = 0.0

    def now(self):
        """Return the time within the trace in seconds."""
        return self.time

    def datagram(self, address, data):
        """Drop the data."""

    frame = datagram

    def reset(self, address):
        """Do nothing: there are no connections."""


def replay_node(trace):
    """Replay the heartbeats against a new peer layer; return each changed view with its time."""
    runtime = TraceRuntime()
    node = Node(Member.from_list(trace["me"]), runtime)
    nifty = node.offer("nifty", Nifty(node, []))
    for fields in trace["members"]:
        nifty.learn(Member.from_list(fields))
    nifty.heartbeat_sequence, views = trace["sequence"], []
    for at, data in trace["taken"]:
        runtime.time = at
        if data is None:
            nifty.send_heartbeats()
            nifty.refresh()
        else:
            nifty.on_datagram(data)
        view = [sorted(nifty.graph.links.get(node.me.name, ())), list(nifty.bridge_nodes())]
        if not views or views[-1][1] != view:
            views.append([at, view])
    return views


def load(name):
    """Return a recorded trace."""
    with open(f"{FOLDER}/{name}.cbor.z", "rb") as trace_file:
        return cbor2.loads(zlib.decompress(trace_file.read()))


def save(name, trace):
    """Write a trace."""
    with open(f"{FOLDER}/{name}.cbor.z", "wb") as trace_file:
        trace_file.write(zlib.compress(cbor2.dumps(trace), 9))


@click.command()
def main():
    """Record all traces again."""
    for seed in (12, 19):
        save(f"store-fuzz-{seed}", record_store(seed, "store-1"))
    save("edge-cuts", record_node(3, "edge-1"))


if __name__ == "__main__":
    main()
