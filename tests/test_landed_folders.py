"""Data folders written by the landed version are recovered to the same state, byte for byte."""

import shutil
import zlib
from pathlib import Path

import cbor2
import pytest

from quillring.edge.replica_snapshot import ReplicaSnapshot
from quillring.fleet import open_store
from quillring.kernel.node import Node
from quillring.nifty import Member
from quillring.quorum.founding.founding_vote import Witness
from quillring.store import FolderDisk
from quillring.store.checkpoint_file import HEADER
from quillring.store.records import decode_records

RECORDED_FOLDER = Path(__file__).parent / "data" / "landed"
STORES = ("busy", "half-snapshot")


@pytest.fixture
def folder_disk(tmp_path):
    """Return a function that opens a copy of a recorded data folder as a disk."""

    def copy_folder(name):
        shutil.copytree(RECORDED_FOLDER / name, tmp_path / name)
        return FolderDisk(str(tmp_path / name))

    return copy_folder


@pytest.fixture
def node():
    return Node(Member("store-1", 1, "store", "x", "127.0.0.1", 1, 2, ""), None)


class StubGossip:
    """Stub of gossip that stores published values in a dict."""

    def __init__(self):
        self.news = {}

    def publish(self, key, version, value):
        self.news[key] = (version, value)

    def values_with_prefix(self, prefix):
        return {key: value for key, (_, value) in self.news.items() if key.startswith(prefix)}


class StubReplicaTable:
    """Stub of the replica table, with a version that shows a change."""

    table_version = 1


def read_recording(name):
    """Return the slot file that the landed version wrote after it recovered a folder."""
    return (RECORDED_FOLDER / f"{name}.recovered").read_bytes()


def recovered_slot(disk, name):
    """Recover a data folder and write a checkpoint; return its slot file."""
    acceptors = open_store(disk, (RECORDED_FOLDER / name / "NAME").read_text(), None)
    acceptors.log.write_checkpoint()
    return disk.read(f"slot.{acceptors.log.generation % 2}")


def rows_of(slot):
    """Return the records of a slot file without its first one."""
    return decode_records(slot[HEADER.size :])[0][1:]


@pytest.mark.parametrize("name", STORES)
def test_landed_store_folder_is_recovered_to_the_same_rows(folder_disk, name):
    assert rows_of(recovered_slot(folder_disk(name), name)) == rows_of(
        zlib.decompress(read_recording(name))
    )


@pytest.mark.parametrize("name", STORES)
def test_next_checkpoint_slot_has_the_bytes_the_landed_version_wrote(folder_disk, name):
    assert recovered_slot(folder_disk(name), name) == zlib.decompress(read_recording(name))


@pytest.mark.parametrize("name", STORES)
def test_a_second_recovery_changes_nothing(folder_disk, name):
    disk = folder_disk(name)
    first_rows = rows_of(recovered_slot(disk, name))
    assert rows_of(recovered_slot(disk, name)) == first_rows


def test_recorded_folders_contain_the_required_kinds_of_rows():
    busy_rows, half_snapshot_rows = (
        rows_of(zlib.decompress(read_recording(name))) for name in STORES
    )
    assert {"store", "hint", "part", "state"} == {row[0] for row in busy_rows}
    assert {"arriving", "arrived"} < {row[0] for row in half_snapshot_rows}
    assert any(row[2][3] for row in busy_rows if row[0] == "part"), "no accepted entry is unapplied"
    assert {row[1] for row in busy_rows if row[0] == "part"} > {"config"}
    assert busy_rows[0][2]["groups"], "no founding"


def test_founding_vote_is_read_and_written_in_the_same_bytes(folder_disk, node, tmp_path):
    vote = cbor2.loads(read_recording("small"))["vote"]
    assert Witness(node, folder_disk("small")).on_recall(None, "core-1") == vote
    (tmp_path / "new").mkdir()
    disk = FolderDisk(str(tmp_path / "new"))
    witness = Witness(node, disk)
    witness.on_keep([1, [1, "core-1#101"], [0, ""], None], "core-1")
    witness.on_keep(vote, "core-1")
    for name in ("founding.0", "founding.1"):
        assert disk.read(name) == (RECORDED_FOLDER / "small" / name).read_bytes()


def test_replica_snapshot_of_a_landed_store_is_restored_and_rewritten(folder_disk, node):
    heartbeats, gossip = (
        cbor2.loads(read_recording("small"))["beats"],
        node.offer("gossip", StubGossip()),
    )
    node.offer("replicas", StubReplicaTable())
    disk = folder_disk("small")
    snapshot = ReplicaSnapshot(node, disk)
    snapshot.restore()
    assert gossip.news == {"replica/words-1": ([7, 3], heartbeats[0])}
    writer, snapshot.written_version = snapshot.run(), 0
    next(writer)
    next(writer)
    assert cbor2.loads(disk.read("replicas.1")[4:]) == [3, heartbeats]
    assert disk.read("replicas.0") == (RECORDED_FOLDER / "small" / "replicas.0").read_bytes()
