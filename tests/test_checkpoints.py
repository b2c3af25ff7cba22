"""Slots are written in steps beside the log: no crash on the way loses what was acknowledged."""

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
from tests.test_store import Holder

GROUP = [["store-1", "store-1.x", "a"]]


class WatchedDisk(SimDisk):
    """Keeps a copy of what is durable after each operation, and the sizes that were written."""

    def __init__(self):
        super().__init__(random.Random(1), sync_seconds=(0, 0))
        self.moments, self.sizes, self.acknowledged = [], [], 0

    def _note(self, size):
        self.sizes.append(size)
        self.moments.append((dict(self.durable), self.acknowledged))

    def write(self, name, data):
        super().write(name, data)
        self._note(len(data))

    def extend_file(self, name, data):
        super().extend_file(name, data)
        self._note(len(data))

    def finish_file(self, name, head):
        super().finish_file(name, head)
        self._note(len(head))

    def sync(self, name):
        super().sync(name)
        self._note(0)


def disk_of(files):
    disk = SimDisk(random.Random(1))
    disk.durable = dict(files)
    return disk


def recovered(files):
    holder = Holder()
    store = CheckpointedLog(disk_of(files), holder)
    assert store.recover()
    return holder.records


def written(store, holder, records):
    holder.records.extend(records)
    assert store._write_batch([PendingCommit(records, Signal())]) is None
    store.disk.acknowledged = len(holder.records)


def turned(count, step_every, size=10):
    """A store that wrote records and, by turns, steps of its slots; returns (store, disk)."""
    holder, disk = Holder(), WatchedDisk()
    store = CheckpointedLog(disk, holder, log_limit_bytes=200)
    store.write_checkpoint()
    for number in range(count):
        written(store, holder, [["r", number, "x" * size]])
        if number % step_every == 0:
            for _ in store._continue_checkpoint():
                pass
    return store, disk


@pytest.mark.parametrize("step_every", [1, 2, 3, 5])
def test_after_each_operation_of_the_disk_everything_acknowledged_comes_back_once(step_every):
    store, disk = turned(60, step_every)
    assert store.generation > 3
    for files, acknowledged in disk.moments[2:]:
        numbers = [record[1] for record in recovered(files)]
        assert numbers[:acknowledged] == list(range(acknowledged))
        assert len(numbers) == len(set(numbers)) <= acknowledged + 1


def test_a_rotten_new_slot_falls_back_to_the_former_one_and_both_logs():
    store, disk = turned(41, 1)
    assert store.writer is None and store.log_generation == store.generation
    files = {**disk.durable, f"slot.{store.generation % 2}": b"rotten"}
    assert [record[1] for record in recovered(files)] == list(range(41))


def test_a_shortened_former_log_under_a_rotten_slot_refuses_to_start():
    store, disk = turned(41, 1)
    former_log = f"log.{(store.generation + 1) % 2}"
    files = {**disk.durable, f"slot.{store.generation % 2}": b"rotten"}
    files[former_log] = files[former_log][:-3]
    with pytest.raises(Damaged):
        recovered(files)


def test_a_turn_that_power_cut_short_is_gone_on_with():
    store, disk = turned(21, 1000)
    assert store.writer is not None
    holder = Holder()
    again = CheckpointedLog(disk_of(disk.durable), holder, log_limit_bytes=200)
    assert again.recover() and again._is_checkpoint_due()
    while again.generation == store.generation:
        for _ in again._continue_checkpoint():
            pass
    holder.records.append(["r", 21, ""])
    assert again._write_batch([PendingCommit([["r", 21, ""]], Signal())]) is None
    assert [record[1] for record in recovered(again.disk.durable)] == list(range(22))


def test_no_step_of_a_large_slot_writes_more_than_its_share():
    acceptors = open_store(WatchedDisk(), "store-1", lambda: "x")
    lots = {f"lot-{n}": {"items": [bytes(3000)] * 100} for n in range(20)}
    acceptors.replay(["found", {"groups": {"part-0": GROUP}}])
    acceptors.replay(["install", "part-0", [1, "c"], 5, {**initial_state(GROUP), "raw": lots}])
    slots = acceptors.log
    slots.disk.sizes.clear()
    slots._begin_checkpoint()
    steps = 0
    while slots.writer is not None:
        slots._write_checkpoint_step()
        steps += 1
    assert slots.checkpoint_size > 6_000_000 and steps > 20
    assert max(slots.disk.sizes) <= STEP_BYTES
    again = open_store(disk_of(slots.disk.durable), "store-1", lambda: "y")
    assert again.parts["part-0"].state == acceptors.parts["part-0"].state
    assert again.parts["part-0"].applied == 5 and again.identity == "store-1.x"


def test_a_state_that_arrives_in_pieces_is_gone_on_with_after_a_turn_and_a_crash():
    lots = {f"lot-{n}": {"items": [bytes(3000)] * 100} for n in range(4)}
    state = {**initial_state(GROUP), "raw": lots}
    pieces, place = [], SNAPSHOT_START
    while place is not None:
        data, following = cut_chunk(state, place)
        pieces.append(["piece", "part-0", [1, "c"], 5, list(place), data, following])
        place = following
    acceptors = open_store(WatchedDisk(), "store-1", lambda: "x")
    middle = len(pieces) // 2
    for record in pieces[:middle]:
        acceptors.replay(record)
    acceptors.log._begin_checkpoint()
    acceptors.log._finish_checkpoint()
    assert (
        acceptors.log._write_batch([PendingCommit(pieces[middle : middle + 1], Signal())]) is None
    )
    again = open_store(disk_of(acceptors.log.disk.durable), "store-1", lambda: "y")
    assert again.parts["part-0"].state is None
    for record in pieces[middle + 1 :]:
        again.replay(record)
    assert again.parts["part-0"].state == state and again.parts["part-0"].applied == 5
    assert not again.snapshot_transfer.incoming


def test_a_slot_of_the_version_before_still_loads():
    state = {**initial_state(GROUP), "raw": {"lot": {"items": {0: ["i"]}}}}
    snapshot = {
        "identity": "store-1.x",
        "founding": {"fleet": "f", "groups": {"part-0": GROUP}},
        "parts": {"part-0": [[3, "c"], 7, state, [[8, [3, "c"], []]], 7]},
        "hints": {"store-2": [{"index": 1}]},
    }
    body = cbor2.dumps(snapshot)
    head = HEADER.pack(b"QSL1", 4, len(body), hashlib.sha256(body).digest())
    acceptors = open_store(disk_of({"slot.0": head + body}), "store-1", lambda: "y")
    record = acceptors.parts["part-0"]
    assert (acceptors.identity, record.applied, record.state) == ("store-1.x", 7, state)
    assert record.entries == {8: ((3, "c"), [])} and acceptors.hints == snapshot["hints"]
