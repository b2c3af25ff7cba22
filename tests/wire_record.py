"""Digests of all messages and store files of seeded runs, to compare two versions of the code.

A simulated run depends only on its seed, not on the hash seed. Two versions that send and store the
same data therefore produce the same bytes. `python -m tests.wire_record FILE` records the version
of quillring that is imported.
"""

import hashlib
import json
from collections import Counter
from contextlib import contextmanager
from unittest import mock

import cbor2
import click

from proving.sim import quorum_fuzz, seeded_run
from proving.sim.fleet import SimFleet
from proving.sim.network import SimNet
from quillring.nifty.wire import (
    COMPRESSION_VERSION,
    MAX_UNCOMPRESSED_VERSION,
    VERSION_HEADERS,
    unpack,
)
from tests.fleet_stage import SelfFoundingFleet
from tests.http_lot_random_days import RandomFaultRun

FORM_DEPTH = 3
DIGEST_BYTES = 6


def form_of(value, depth=FORM_DEPTH):
    """Return the structure of a decoded value: keys in order, list lengths and type names."""
    if depth and isinstance(value, dict):
        return {key: form_of(item, depth - 1) for key, item in value.items()}
    if depth and isinstance(value, list):
        return [form_of(item, depth - 1) for item in value]
    return type(value).__name__


def short_digest(data):
    """Return a digest of DIGEST_BYTES bytes in hex."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


class MessageKind:
    """The messages of one kind: their count, a digest of their bytes in order, their forms."""

    def __init__(self):
        self.count = 0
        self.bytes_digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        self.forms = {}

    def add(self, data, value):
        """Count one message; the first message of each form is stored."""
        self.count += 1
        self.bytes_digest.update(data)
        form = short_digest(json.dumps(form_of(value)).encode())
        self.forms.setdefault(form, data)

    def to_fields(self):
        """Return the fields of the record, with the first message as a sample."""
        sample = next(iter(self.forms.values())).hex()
        return {
            "count": self.count,
            "bytes": self.bytes_digest.hexdigest(),
            "forms": sorted(self.forms),
            "sample": sample,
        }


class Recording:
    """All packets of a run by kind: heartbeats, and calls, replies and errors by service."""

    def __init__(self):
        self.kinds = {}
        self.services = {}
        self.fleet = None

    def add_packet(self, home, data, kind):
        """Record one packet in transit; a relayed message is recorded once per hop.

        A compressed frame is recorded uncompressed, because zlib streams differ between builds of
        zlib.
        """
        version, value = unpack(data)
        if version >= COMPRESSION_VERSION:
            data = VERSION_HEADERS[MAX_UNCOMPRESSED_VERSION] + cbor2.dumps(value)
        name = "heartbeat" if kind == "datagram" else self._name(value[0], value[3], value[5])
        self.kinds.setdefault(name, MessageKind()).add(data, value)

    def _name(self, origin, target, message):
        if "r" in message:
            service = self.services.get((target, message["r"]), "unknown")
            return f"{'error' if 't' in message else 'reply'} {service}"
        if "c" in message:
            self.services[origin, message["c"]] = message["s"]
            return f"call {message['s']}"
        return f"one-way {message['s']}"

    def to_fields(self):
        """Return the record: messages by kind, and a digest of each file on the stores' disks."""
        files = {
            f"{store}/{name}": short_digest(disk.read(name))
            for store, disk in sorted(self.fleet.disks.items())
            for name in sorted({*disk.durable, *disk.pending})
        }
        kinds = {name: kind.to_fields() for name, kind in sorted(self.kinds.items())}
        return {"messages": kinds, "files": files}


@contextmanager
def record_simulated_fleet():
    """Context manager: record the packets of the simulated fleet created inside the block."""
    recording = Recording()
    real_carry, real_init = SimNet.carry, SimFleet.__init__

    def carry(self, home, target, data, kind):
        recording.add_packet(home, data, kind)
        return real_carry(self, home, target, data, kind)

    def init(self, *arguments, **options):
        real_init(self, *arguments, **options)
        recording.fleet = self

    with mock.patch.object(SimNet, "carry", carry), mock.patch.object(SimFleet, "__init__", init):
        yield recording


def run_raw_lots_with_faults():
    """Run raw lots under random faults, with a token quota."""
    RandomFaultRun(3, seconds=12, faults=4, lots=8, most_tokens=300).run_all()


def run_founding_and_queries():
    """Found a fleet by votes and call the services that operators query on three nodes."""
    stage = SelfFoundingFleet(7, has_witnesses=True)
    edge = stage.sim.nodes["edge-1"]
    for name in ("core-1", "core-2", "store-1"):
        for service, body in (
            ("part.takeovers", None),
            ("quorum.leaving", None),
            ("node.busy", None),
            ("part.whole", {"part": "config"}),
            ("founding.recall", None),
            ("no.such", {}),
        ):
            stage.ask("edge-1", edge.call(name, service, body))


RUNS = {
    "founded": run_founding_and_queries,
    "kilele": lambda: seeded_run.run_seed("kilele", 6, 8, seeded_run.SMALL_SIZES),
    "quorum": lambda: quorum_fuzz.Fuzz(19).run(),
    "raw-lots": run_raw_lots_with_faults,
}


def play_and_record(name):
    """Run one of RUNS; return its record."""
    with record_simulated_fleet() as recording:
        RUNS[name]()
    return recording.to_fields()


@click.command()
@click.argument("path")
def main(path):
    """Record all runs with the version of quillring that is imported."""
    records = {name: play_and_record(name) for name in RUNS}
    with open(path, "w") as record_file:
        json.dump(records, record_file, indent=1, sort_keys=True)
        record_file.write("\n")
    sizes = Counter({n: len(r["messages"]) for n, r in records.items()})
    click.echo(f"kinds of messages: {dict(sizes)}")


if __name__ == "__main__":
    main()
