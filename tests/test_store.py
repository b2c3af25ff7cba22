import pytest

from quillring.kernel.effects import Signal
from quillring.kernel.errors import Damaged, DiskError
from quillring.store import CheckpointedLog, FolderDisk
from quillring.store.checkpointed_log import PendingCommit
from tests.checkpoint_stage import RecordedState


def open_store_in(folder, log_limit_bytes=1 << 20):
    """Open a store in a folder; return it and its state after recovery."""
    recorded_state = RecordedState()
    store = CheckpointedLog(FolderDisk(str(folder)), recorded_state, log_limit_bytes)
    if not store.recover():
        store.write_checkpoint()
    return store, recorded_state


def write_records(store, recorded_state, records):
    """Write a batch of records to the log and the state."""
    recorded_state.records.extend(records)
    assert store._write_batch([PendingCommit(records, Signal())]) is None


def test_records_are_recovered_in_order_across_checkpoints(tmp_path):
    store, recorded_state = open_store_in(tmp_path, log_limit_bytes=60)
    for number in range(40):
        write_records(store, recorded_state, [["r", number]])
    assert store.generation > 3
    assert open_store_in(tmp_path)[1].records == [["r", number] for number in range(40)]


def test_a_torn_log_tail_is_cut_off(tmp_path):
    store, recorded_state = open_store_in(tmp_path)
    write_records(store, recorded_state, [["a"], ["b"]])
    log_path = tmp_path / "log.1"
    log_path.write_bytes(log_path.read_bytes()[:-2])
    store, recorded_state = open_store_in(tmp_path)
    assert recorded_state.records == [["a"]]
    write_records(store, recorded_state, [["c"]])
    assert open_store_in(tmp_path)[1].records == [["a"], ["c"]]


def test_torn_slot_falls_back_to_the_other_slot_and_its_log(tmp_path):
    store, recorded_state = open_store_in(tmp_path)
    write_records(store, recorded_state, [["a"]])
    new_slot = tmp_path / "slot.0"
    new_slot.write_bytes(b"QSL1 torn in the middle of the turn")
    assert open_store_in(tmp_path)[1].records == [["a"]]


def test_torn_slot_whose_log_has_records_refuses_to_start(tmp_path):
    store, recorded_state = open_store_in(tmp_path)
    store.write_checkpoint()
    write_records(store, recorded_state, [["acknowledged"]])
    (tmp_path / "slot.0").write_bytes(b"rotten")
    with pytest.raises(Damaged) as caught:
        open_store_in(tmp_path)
    assert "repair" in caught.value.detail


def test_corrupt_record_inside_the_log_refuses_to_start(tmp_path):
    store, recorded_state = open_store_in(tmp_path)
    write_records(store, recorded_state, [["a", "x" * 20]])
    write_records(store, recorded_state, [["b", "y" * 20]])
    log_path = tmp_path / "log.1"
    data = bytearray(log_path.read_bytes())
    data[data.index(b"xxxx") + 1] ^= 1
    log_path.write_bytes(bytes(data))
    with pytest.raises(Damaged):
        open_store_in(tmp_path)


def test_batch_that_fails_on_a_full_disk_is_retried(tmp_path):
    store, recorded_state = open_store_in(tmp_path)

    class FullDisk(FolderDisk):
        __slots__ = ()

        def append(self, name, data):
            raise DiskError(file=name, reason="no space left")

        write = append

    working_disk, store.disk = store.disk, FullDisk(str(tmp_path))
    recorded_state.records.append(["late"])
    error = store._write_batch([PendingCommit([["late"]], Signal())])
    assert isinstance(error, DiskError)
    with pytest.raises(DiskError):
        next(store.commit([["more"]]))
    store.disk = working_disk
    assert store._write_batch([]) is None
    assert open_store_in(tmp_path)[1].records == [["late"]]
