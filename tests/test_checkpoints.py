"""Checkpoints are written in steps while the log grows; crashes lose no acknowledged record."""

import hashlib
import random

import cbor2
import pytest

from proving.sim.disk import SimDisk
from quillring.fleet import open_store
from quillring.kernel.effects import Signal
from quillring.kernel.errors import Damaged
from quillring.quorum.commands import initial_state
from quillring.quorum.snapshot_chunks import SNAPSHOT_START, cut_chunk
from quillring.store import CheckpointedLog
from quillring.store.checkpoint_file import HEADER, STEP_BYTES
from quillring.store.checkpointed_log import PendingCommit
from tests.test_store import RecordedState

GROUP = [["store-1", "store-1.x", "a"]]


class RecordingDisk(SimDisk):
    """Records the durable files after each operation and the size of each write."""

    def __init__(self):
        super().__init__(random.Random(1), sync_seconds=(0, 0))
        self.durable_snapshots, self.write_sizes, self.acknowledged = [], [], 0

    def _record_operation(self, size):
        self.write_sizes.append(size)
        self.durable_snapshots.append((dict(self.durable), self.acknowledged))

    def write(self, name, data):
        super().write(name, data)
        self._record_operation(len(data))

    def extend_file(self, name, data):
        super().extend_file(name, data)
        self._record_operation(len(data))

    def finish_file(self, name, head):
        super().finish_file(name, head)
        self._record_operation(len(head))

    def sync(self, name):
        super().sync(name)
        self._record_operation(0)


def disk_with_files(files):
    """Return a simulated disk on which these files are durable."""
    disk = SimDisk(random.Random(1))
    disk.durable = dict(files)
    return disk


def recovered_records(files):
    """Return the records that recovery reads from these files."""
    recorded_state = RecordedState()
    store = CheckpointedLog(disk_with_files(files), recorded_state)
    assert store.recover()
    return recorded_state.records


def write_records(store, recorded_state, records):
    """Write a batch and mark its records as acknowledged on the recording disk."""
    recorded_state.records.extend(records)
    assert store._write_batch([PendingCommit(records, Signal())]) is None
    store.disk.acknowledged = len(recorded_state.records)


def store_after_records_and_steps(count, step_every, size=10):
    """Write `count` records and continue the checkpoint after every `step_every`-th one.

    Return (store, disk).
    """
    recorded_state, disk = RecordedState(), RecordingDisk()
    store = CheckpointedLog(disk, recorded_state, log_limit_bytes=200)
    store.write_checkpoint()
    for number in range(count):
        write_records(store, recorded_state, [["r", number, "x" * size]])
        if number % step_every == 0:
            for _ in store._continue_checkpoint():
                pass
    return store, disk


@pytest.mark.parametrize("step_every", [1, 2, 3, 5])
def test_recovery_after_each_disk_operation_returns_every_acknowledged_record_once(step_every):
    store, disk = store_after_records_and_steps(60, step_every)
    assert store.generation > 3
    for files, acknowledged in disk.durable_snapshots[2:]:
        numbers = [record[1] for record in recovered_records(files)]
        assert numbers[:acknowledged] == list(range(acknowledged))
        assert len(numbers) == len(set(numbers)) <= acknowledged + 1


def test_corrupt_new_slot_falls_back_to_the_previous_slot_and_both_logs():
    store, disk = store_after_records_and_steps(41, 1)
    assert store.writer is None and store.log_generation == store.generation
    files = {**disk.durable, f"slot.{store.generation % 2}": b"rotten"}
    assert [record[1] for record in recovered_records(files)] == list(range(41))


def test_truncated_previous_log_under_a_corrupt_slot_refuses_to_start():
    store, disk = store_after_records_and_steps(41, 1)
    previous_log = f"log.{(store.generation + 1) % 2}"
    files = {**disk.durable, f"slot.{store.generation % 2}": b"rotten"}
    files[previous_log] = files[previous_log][:-3]
    with pytest.raises(Damaged):
        recovered_records(files)


def test_checkpoint_interrupted_by_power_loss_is_resumed():
    store, disk = store_after_records_and_steps(21, 1000)
    assert store.writer is not None
    recorded_state = RecordedState()
    restarted = CheckpointedLog(disk_with_files(disk.durable), recorded_state, log_limit_bytes=200)
    assert restarted.recover() and restarted._is_checkpoint_due()
    while restarted.generation == store.generation:
        for _ in restarted._continue_checkpoint():
            pass
    recorded_state.records.append(["r", 21, ""])
    assert restarted._write_batch([PendingCommit([["r", 21, ""]], Signal())]) is None
    assert [record[1] for record in recovered_records(restarted.disk.durable)] == list(range(22))


def test_no_step_of_a_large_checkpoint_writes_more_than_step_bytes():
    acceptors = open_store(RecordingDisk(), "store-1", lambda: "x")
    lots = {f"lot-{n}": {"items": [bytes(3000)] * 100} for n in range(20)}
    acceptors.replay(["found", {"groups": {"part-0": GROUP}}])
    acceptors.replay(["install", "part-0", [1, "c"], 5, {**initial_state(GROUP), "raw": lots}])
    checkpointed_log = acceptors.log
    checkpointed_log.disk.write_sizes.clear()
    checkpointed_log._begin_checkpoint()
    steps = 0
    while checkpointed_log.writer is not None:
        checkpointed_log._write_checkpoint_step()
        steps += 1
    assert checkpointed_log.checkpoint_size > 6_000_000 and steps > 20
    assert max(checkpointed_log.disk.write_sizes) <= STEP_BYTES
    restarted = open_store(disk_with_files(checkpointed_log.disk.durable), "store-1", lambda: "y")
    assert restarted.parts["part-0"].state == acceptors.parts["part-0"].state
    assert restarted.parts["part-0"].applied == 5 and restarted.identity == "store-1.x"


def test_chunked_state_transfer_resumes_after_a_checkpoint_and_a_crash():
    lots = {f"lot-{n}": {"items": [bytes(3000)] * 100} for n in range(4)}
    state = {**initial_state(GROUP), "raw": lots}
    chunk_records, position = [], SNAPSHOT_START
    while position is not None:
        data, next_position = cut_chunk(state, position)
        chunk_records.append(["piece", "part-0", [1, "c"], 5, list(position), data, next_position])
        position = next_position
    acceptors = open_store(RecordingDisk(), "store-1", lambda: "x")
    middle = len(chunk_records) // 2
    for record in chunk_records[:middle]:
        acceptors.replay(record)
    acceptors.log._begin_checkpoint()
    acceptors.log._finish_checkpoint()
    assert (
        acceptors.log._write_batch([PendingCommit(chunk_records[middle : middle + 1], Signal())])
        is None
    )
    restarted = open_store(disk_with_files(acceptors.log.disk.durable), "store-1", lambda: "y")
    assert restarted.parts["part-0"].state is None
    for record in chunk_records[middle + 1 :]:
        restarted.replay(record)
    assert restarted.parts["part-0"].state == state and restarted.parts["part-0"].applied == 5
    assert not restarted.snapshot_transfer.incoming


def test_slot_of_the_previous_version_still_loads():
    state = {**initial_state(GROUP), "raw": {"lot": {"items": {0: ["i"]}}}}
    snapshot = {
        "identity": "store-1.x",
        "founding": {"fleet": "f", "groups": {"part-0": GROUP}},
        "parts": {"part-0": [[3, "c"], 7, state, [[8, [3, "c"], []]], 7]},
        "hints": {"store-2": [{"index": 1}]},
    }
    body = cbor2.dumps(snapshot)
    head = HEADER.pack(b"QSL1", 4, len(body), hashlib.sha256(body).digest())
    acceptors = open_store(disk_with_files({"slot.0": head + body}), "store-1", lambda: "y")
    record = acceptors.parts["part-0"]
    assert (acceptors.identity, record.applied, record.state) == ("store-1.x", 7, state)
    assert record.entries == {8: ((3, "c"), [])} and acceptors.hints == snapshot["hints"]
