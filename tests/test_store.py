import pytest

from quillring.kernel.effects import Signal
from quillring.kernel.errors import Damaged, DiskError
from quillring.store import CheckpointedLog, FolderDisk
from quillring.store.checkpointed_log import PendingCommit
from tests.checkpoint_stage import Holder


def opened(folder, log_limit=1 << 20):
    holder = Holder()
    store = CheckpointedLog(FolderDisk(str(folder)), holder, log_limit)
    if not store.recover():
        store.write_checkpoint()
    return store, holder


def written(store, holder, records):
    holder.records.extend(records)
    assert store._write_batch([PendingCommit(records, Signal())]) is None


def test_records_come_back_in_order_over_slot_turns(tmp_path):
    store, holder = opened(tmp_path, log_limit=60)
    for number in range(40):
        written(store, holder, [["r", number]])
    assert store.generation > 3
    assert opened(tmp_path)[1].records == [["r", number] for number in range(40)]


def test_a_torn_log_tail_is_cut_off(tmp_path):
    store, holder = opened(tmp_path)
    written(store, holder, [["a"], ["b"]])
    log_path = tmp_path / "log.1"
    log_path.write_bytes(log_path.read_bytes()[:-2])
    store, holder = opened(tmp_path)
    assert holder.records == [["a"]]
    written(store, holder, [["c"]])
    assert opened(tmp_path)[1].records == [["a"], ["c"]]


def test_a_torn_slot_falls_back_to_the_other_with_its_log(tmp_path):
    store, holder = opened(tmp_path)
    written(store, holder, [["a"]])
    new_slot = tmp_path / "slot.0"
    new_slot.write_bytes(b"QSL1 torn in the middle of the turn")
    assert opened(tmp_path)[1].records == [["a"]]


def test_a_torn_slot_whose_log_was_used_refuses_to_start(tmp_path):
    store, holder = opened(tmp_path)
    store.write_checkpoint()
    written(store, holder, [["acknowledged"]])
    (tmp_path / "slot.0").write_bytes(b"rotten")
    with pytest.raises(Damaged) as caught:
        opened(tmp_path)
    assert "repair" in caught.value.detail


def test_a_rotten_record_amid_the_log_refuses_to_start(tmp_path):
    store, holder = opened(tmp_path)
    written(store, holder, [["a", "x" * 20]])
    written(store, holder, [["b", "y" * 20]])
    log_path = tmp_path / "log.1"
    data = bytearray(log_path.read_bytes())
    data[data.index(b"xxxx") + 1] ^= 1
    log_path.write_bytes(bytes(data))
    with pytest.raises(Damaged):
        opened(tmp_path)


def test_a_full_disk_fails_the_batch_and_is_tried_again(tmp_path):
    store, holder = opened(tmp_path)

    class FullDisk(FolderDisk):
        __slots__ = ()

        def append(self, name, data):
            raise DiskError(file=name, reason="no space left")

        write = append

    good, store.disk = store.disk, FullDisk(str(tmp_path))
    holder.records.append(["late"])
    error = store._write_batch([PendingCommit([["late"]], Signal())])
    assert isinstance(error, DiskError)
    with pytest.raises(DiskError):
        next(store.commit([["more"]]))
    store.disk = good
    assert store._write_batch([]) is None
    assert opened(tmp_path)[1].records == [["late"]]
