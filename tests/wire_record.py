"""What a seeded run sends and stores, in short: to compare two versions of the code by it.

A run of the simulator is the same from one seed under any hash seed, so that two versions that say
and keep the same make the same bytes. `python -m tests.wire_record FILE` records the version of
quillring that is imported.
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

DEPTH = 3
DIGEST_BYTES = 6


def form_of(value, depth=DEPTH):
    """Return the form of a decoded value: keys in their order, types, lengths of lists."""
    if depth and isinstance(value, dict):
        return {key: form_of(kept, depth - 1) for key, kept in value.items()}
    if depth and isinstance(value, list):
        return [form_of(kept, depth - 1) for kept in value]
    return type(value).__name__


def short(data):
    """Return a short digest of bytes."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


class Kind:
    """All messages of one kind: how many, their bytes in order, and the forms seen."""

    def __init__(self):
        self.count = 0
        self.bytes_digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        self.forms = {}

    def add(self, data, value):
        """Take one message; of each form the first one is kept."""
        self.count += 1
        self.bytes_digest.update(data)
        form = short(json.dumps(form_of(value)).encode())
        self.forms.setdefault(form, data)

    def to_fields(self):
        """Return it as fields of a record, with the first message as a sample."""
        sample = next(iter(self.forms.values())).hex()
        return {
            "count": self.count,
            "bytes": self.bytes_digest.hexdigest(),
            "forms": sorted(self.forms),
            "sample": sample,
        }


class Recording:
    """Every packet of a run by kind: heartbeats, and calls and replies by service."""

    def __init__(self):
        self.kinds = {}
        self.services = {}
        self.fleet = None

    def take(self, home, data, kind):
        """Take one packet on its way; a relayed message counts once for each hop.

        A compressed frame counts as the plain one: zlib streams differ between builds of zlib.
        """
        version, value = unpack(data)
        if version >= COMPRESSION_VERSION:
            data = VERSION_HEADERS[MAX_UNCOMPRESSED_VERSION] + cbor2.dumps(value)
        name = "heartbeat" if kind == "datagram" else self._name(value[0], value[3], value[5])
        self.kinds.setdefault(name, Kind()).add(data, value)

    def _name(self, origin, target, message):
        if "r" in message:
            service = self.services.get((target, message["r"]), "unknown")
            return f"{'error' if 't' in message else 'reply'} {service}"
        if "c" in message:
            self.services[origin, message["c"]] = message["s"]
            return f"call {message['s']}"
        return f"one-way {message['s']}"

    def to_fields(self):
        """Return the record: messages by kind, and a digest of each file on a store's disk."""
        files = {
            f"{store}/{name}": short(disk.read(name))
            for store, disk in sorted(self.fleet.disks.items())
            for name in sorted({*disk.durable, *disk.pending})
        }
        kinds = {name: kind.to_fields() for name, kind in sorted(self.kinds.items())}
        return {"messages": kinds, "files": files}


@contextmanager
def recorded():
    """Record the one simulated fleet that is made meanwhile."""
    recording = Recording()
    real_carry, real_init = SimNet.carry, SimFleet.__init__

    def carry(self, home, target, data, kind):
        recording.take(home, data, kind)
        return real_carry(self, home, target, data, kind)

    def init(self, *words, **options):
        real_init(self, *words, **options)
        recording.fleet = self

    with mock.patch.object(SimNet, "carry", carry), mock.patch.object(SimFleet, "__init__", init):
        yield recording


def day_of_raw_lots():
    """A day of raw lots with faults, under a quota."""
    RandomFaultRun(3, seconds=12, faults=4, lots=8, most_tokens=300).run_all()


def founded_and_asked():
    """A fleet that founds itself by votes; every node is asked what operators ask."""
    stage = SelfFoundingFleet(7, has_witnesses=True)
    asking = stage.sim.nodes["edge-1"]
    for name in ("core-1", "core-2", "store-1"):
        for service, body in (
            ("part.takeovers", None),
            ("quorum.leaving", None),
            ("node.busy", None),
            ("part.whole", {"part": "config"}),
            ("founding.recall", None),
            ("no.such", {}),
        ):
            stage.ask("edge-1", asking.call(name, service, body))


RUNS = {
    "founded": founded_and_asked,
    "kilele": lambda: seeded_run.run_seed("kilele", 6, 8, seeded_run.SMALL),
    "quorum": lambda: quorum_fuzz.Fuzz(19).run(),
    "raw-lots": day_of_raw_lots,
}


def record(name):
    """Play a run; return its record."""
    with recorded() as recording:
        RUNS[name]()
    return recording.to_fields()


@click.command()
@click.argument("path")
def main(path):
    """Record all runs of the version of quillring that is imported."""
    records = {name: record(name) for name in RUNS}
    with open(path, "w") as record_file:
        json.dump(records, record_file, indent=1, sort_keys=True)
        record_file.write("\n")
    sizes = Counter({n: len(r["messages"]) for n, r in records.items()})
    click.echo(f"kinds of messages: {dict(sizes)}")


if __name__ == "__main__":
    main()
