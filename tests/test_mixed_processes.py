"""Processes of the landed and of the present version form one fleet on real sockets."""

import json
import os
import random
import subprocess
import sys
import tarfile
import time

import pytest

from proving.tools.callers import Record, ask, follow_lot, lot_call, stream_call, tile_call
from proving.tools.local_fleet import LocalFleet
from tests.conftest import NODE_NAMES
from tests.landed_code import ARCHIVE

pytestmark = pytest.mark.xdist_group("mixed processes")

FIRST_LANDED_NAMES = {"core-1", "store-1", "store-3", "edge-1"}
LANDED_PROGRAM = """
import sys
import quillring
if not quillring.__file__.startswith(sys.argv[1]):
    sys.exit(f"not the landed version: {quillring.__file__}")
del sys.argv[1]
from quillring.verbs.program import main
main()
"""


class MixedVersionProcesses(LocalFleet):
    """A local fleet whose nodes in `landed_names` run the landed sources from a folder."""

    def __init__(self, sources, *arguments):
        super().__init__(*arguments)
        self.sources, self.landed_names = str(sources), set(FIRST_LANDED_NAMES)

    def start(self, name):
        """Start the process of a node with the sources of its version."""
        if name not in self.landed_names:
            super().start(name)
            return
        path = self.run_folder / f"{name}.json"
        path.write_text(json.dumps(self.settings[name]))
        arguments = ["-P", "-c", LANDED_PROGRAM, self.sources, self.settings[name]["role"]]
        with open(self.run_folder / f"{name}.out", "ab") as out_file:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *arguments, "--settings", str(path)],
                stdout=out_file,
                stderr=out_file,
                start_new_session=True,
                env={**os.environ, "PYTHONPATH": self.sources},
            )

    def change_version(self, name):
        """Restart a node under the other version; stores are killed, other nodes are stopped."""
        if name.startswith("store"):
            self.kill(name)
        else:
            self.stop(name)
        self.landed_names ^= {name}
        self.start(name)
        self.wait_fully_replicated()
        self.wait_ready()


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """Start a fleet of processes of both versions; stop it after the tests."""
    sources = tmp_path_factory.mktemp("landed")
    with tarfile.open(ARCHIVE) as archive:
        archive.extractall(sources, filter="data")
    folder = tmp_path_factory.mktemp("mixed")
    mixed_fleet = MixedVersionProcesses(sources, "examples/ferrowa", folder, True, set(NODE_NAMES))
    try:
        mixed_fleet.start_all()
        mixed_fleet.found()
        mixed_fleet.wait_fully_replicated()
        yield mixed_fleet
    finally:
        mixed_fleet.stop_all()


def check_serving(fleet, seed):
    """Check that each edge completes three streams, a tile and a lot."""
    for name in fleet.names("edge"):
        record, rng = Record(), random.Random(f"{seed} {name}")
        edge = [fleet.http(name)]
        for _ in range(3):
            stream_call(edge, rng, record, time.monotonic, "wayfinding", "short")
        tile_call(edge, rng, record, "tiles")
        lot_call(edge, rng, record, "gate-notices", 4)
        assert record.violations == []
        assert record.outcomes == {
            ("short", "complete"): 3,
            ("tile", "complete"): 1,
            ("lot", "complete"): 1,
        }


def test_processes_of_both_versions_serve_together(fleet):
    check_serving(fleet, "both")


def test_lot_survives_a_version_change_of_every_process(fleet):
    """Each version opens the data folders of the other; some nodes upgrade, the rest downgrade."""
    body = {"entry": "gate-notices", "key": "kept", "items": [f"item {n}" for n in range(30)]}
    edges = [fleet.http(name) for name in fleet.names("edge")]
    status, accepted = ask(edges[0], "POST", "/v1/lots", body, "desk")
    assert status == 200
    for name in (*fleet.names("store"), *fleet.names("core"), *fleet.names("edge")):
        fleet.change_version(name)
    assert fleet.landed_names == set(fleet.settings) - FIRST_LANDED_NAMES
    record = Record()
    follow_lot(edges, random.Random(1), record, accepted["lot"], body["items"], "desk")
    assert record.violations == [] and record.outcomes == {("lot", "complete"): 1}
    check_serving(fleet, "changed")
