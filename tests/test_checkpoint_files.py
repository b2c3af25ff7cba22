"""The file format of checkpoint slots and logs, and which files and folders are synced."""

import os
from unittest import mock

import pytest

from proving.sim.disk import CrashDisk
from quillring.kernel.errors import Damaged
from quillring.store import FolderDisk
from quillring.store.records import encode_record
from tests.checkpoint_stage import RECORDS, StoreProcess, check_recovery


def disk_with_unmarked_log(records):
    """Return a disk whose log has no batch marks, as an earlier version wrote it."""
    disk = CrashDisk()
    StoreProcess(disk)
    disk.files["log.1"] = b"".join(map(encode_record, [1, *records]))
    return CrashDisk(disk.files)


def test_log_of_an_earlier_version_is_read_and_appended_to():
    disk = disk_with_unmarked_log(RECORDS[:3])
    process = check_recovery(disk, 3, "before any new record")
    process.commit(RECORDS[3:])
    check_recovery(CrashDisk(disk.files), len(RECORDS), "after appending the rest")


@pytest.mark.parametrize("make_disk", [disk_with_unmarked_log, None])
def test_corruption_in_synced_records_refuses_to_start(make_disk):
    disk = CrashDisk()
    if make_disk is None:
        process = StoreProcess(disk, log_limit_bytes=1 << 20)
        for record in RECORDS[:3]:
            process.commit([record])
    else:
        disk = make_disk(RECORDS[:3])
    log = bytearray(disk.files["log.1"])
    log[log.index(b"xxxx")] ^= 1
    with pytest.raises(Damaged):
        StoreProcess(CrashDisk({**disk.files, "log.1": bytes(log)}))


class SyncRecorder:
    """Replaces os.fsync and records the paths of the synced files and folders."""

    def __init__(self):
        self.paths = []

    def __call__(self, handle):
        self.paths.append(os.readlink(f"/proc/self/fd/{handle}"))


def test_each_new_file_and_folder_is_synced_together_with_its_parent_folder(tmp_path):
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
