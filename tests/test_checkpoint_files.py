"""The format of slots and logs, and which files and folders are synced."""

import os
from unittest import mock

import pytest

from proving.sim.disk import CrashDisk
from quillring.kernel.errors import Damaged
from quillring.store import FolderDisk
from quillring.store.records import encode_record
from tests.checkpoint_stage import RECORDS, Machine, check


def log_of_earlier_version(records):
    """Return a disk whose log has no marks of batches."""
    disk = CrashDisk()
    Machine(disk)
    disk.files["log.1"] = b"".join(map(encode_record, [1, *records]))
    return CrashDisk(disk.files)


def test_a_log_of_an_earlier_version_is_read_and_carried_on():
    disk = log_of_earlier_version(RECORDS[:3])
    machine = check(disk, 3, "as it was")
    machine.commit(RECORDS[3:])
    check(CrashDisk(disk.files), len(RECORDS), "carried on")


@pytest.mark.parametrize("make", [log_of_earlier_version, None])
def test_rot_in_what_was_synced_refuses_to_start(make):
    disk = CrashDisk()
    if make is None:
        machine = Machine(disk, log_limit=1 << 20)
        for record in RECORDS[:3]:
            machine.commit([record])
    else:
        disk = make(RECORDS[:3])
    log = bytearray(disk.files["log.1"])
    log[log.index(b"xxxx")] ^= 1
    with pytest.raises(Damaged):
        Machine(CrashDisk({**disk.files, "log.1": bytes(log)}))


class SyncRecorder:
    """Notes which paths were synced, in place of the operating system's call."""

    def __init__(self):
        self.paths = []

    def __call__(self, handle):
        self.paths.append(os.readlink(f"/proc/self/fd/{handle}"))


def test_each_file_and_each_folder_that_is_made_is_synced_with_its_parent(tmp_path):
    recorder, folder = SyncRecorder(), tmp_path / "data" / "store"
    with mock.patch.object(os, "fsync", recorder):
        disk = FolderDisk(str(folder))
        assert {str(tmp_path), str(tmp_path / "data")} <= set(recorder.paths)
        recorder.paths.clear()
        disk.write("slot.1", b"slot")
        assert recorder.paths == [str(folder / "slot.1"), str(folder)]
        recorder.paths.clear()
        disk.append("slot.1", b"tail")
        disk.sync("slot.1")
        disk.truncate("slot.1", 4)
        assert recorder.paths == [str(folder / "slot.1")] * 2
        recorder.paths.clear()
        disk.sync_existing("slot.1")
        assert recorder.paths == [str(folder / "slot.1"), str(folder)]
        disk.truncate("missing", 0)
    assert sorted(os.listdir(folder)) == ["slot.1"]
    assert disk.read("slot.1") == b"slot"
