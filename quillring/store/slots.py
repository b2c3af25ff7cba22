"""Two slots written in turn and a short checksummed log between them."""

import hashlib
import struct
import zlib

import cbor2

from quillring.kernel.effects import Signal, Sleep, Wait
from quillring.kernel.errors import Damaged, DiskError

HEADER = struct.Struct(">4sQI32s")
RECORD = struct.Struct(">II")
MAGIC = b"QSL1"
BATCH_MARK = "batch"
REPAIR = "keep a copy, empty the folder, start the store as a new member; hints refill it"


class SlotStore:
    """The recoverable state of one store machine.

    `holder` has image() -> value, load(image) and replay(record); records reach the disk in the
    order of commit(), in batches under one fsync.
    """

    __slots__ = (
        "disk",
        "holder",
        "generation",
        "log_size",
        "log_limit",
        "waiting",
        "dirty_signal",
        "error",
        "syncs",
        "slot_size",
        "is_writing",
    )

    def __init__(self, disk, holder, log_limit=1 << 20):
        self.disk = disk
        self.holder = holder
        self.generation = 0
        self.log_size = 0
        self.log_limit = log_limit
        self.waiting = []
        self.dirty_signal = Signal()
        self.error = None
        self.syncs = 0
        self.slot_size = 0
        self.is_writing = False

    def recover(self):
        """Load the newest slot and its log; False when the folder was empty."""
        slot_bodies = [self._read_slot(parity) for parity in (0, 1)]
        good_slots = [body for body in slot_bodies if isinstance(body, tuple)]
        log_generations = [self._log_generation(parity) for parity in (0, 1)]
        if not good_slots:
            if any(body == "torn" for body in slot_bodies) and any(log_generations):
                raise Damaged(file="slot", reason="no slot is readable", repair=REPAIR)
            return False
        self.generation, image = max(good_slots, key=lambda slot: slot[0])
        if any(generation > self.generation for generation in log_generations):
            raise Damaged(file="slot", reason="a log is newer than any slot", repair=REPAIR)
        self.disk.settle(f"slot.{self.generation % 2}")
        self.holder.load(image)
        self._replay_log()
        return True

    def _read_slot(self, parity):
        data = self.disk.read(f"slot.{parity}")
        if data is None:
            return None
        try:
            magic, generation, length, digest = HEADER.unpack_from(data)
            body = data[HEADER.size : HEADER.size + length]
            if magic != MAGIC or hashlib.sha256(body).digest() != digest:
                return "torn"
            return generation, cbor2.loads(body)
        except (struct.error, ValueError, cbor2.CBORError):
            return "torn"

    def _log_generation(self, parity):
        records, _ = self._read_log(parity)
        return records[0] if records and isinstance(records[0], int) else 0

    def _read_log(self, parity):
        data = self.disk.read(f"log.{parity}") or b""
        records, offset = [], 0
        while (record := read_record(data, offset)) is not None:
            value, offset = record
            records.append(value)
        is_marked = BATCH_MARK in records
        if offset < len(data) and has_record_after(data, offset, is_marked):
            raise Damaged(file=f"log.{parity}", reason="a record amid the log", repair=REPAIR)
        return [record for record in records if record != BATCH_MARK], offset

    def _replay_log(self):
        parity = self.generation % 2
        records, good_size = self._read_log(parity)
        if not records or records[0] != self.generation:
            self._start_log()
            return
        for record in records[1:]:
            self.holder.replay(record)
        self.disk.cut(f"log.{parity}", good_size)
        self.disk.settle(f"log.{parity}")
        self.log_size = good_size

    def _start_log(self):
        """Begin the slot's log; the old records are surely gone before the new head is there."""
        log_name = f"log.{self.generation % 2}"
        head_record = pack_record(self.generation) + BATCH_HEAD
        self.disk.cut(log_name, 0)
        self.disk.write(log_name, head_record)
        self.log_size = len(head_record)

    def turn(self):
        """Write the whole image to the other slot and start its log."""
        body = cbor2.dumps(self.holder.image())
        head = HEADER.pack(MAGIC, self.generation + 1, len(body), hashlib.sha256(body).digest())
        self.disk.write(f"slot.{(self.generation + 1) % 2}", head + body)
        self.slot_size = len(body)
        self.generation += 1
        self._start_log()

    @property
    def is_idle(self):
        """True when all that was handed over is durable."""
        return not self.waiting and not self.is_writing

    def commit(self, records):
        """Script: return once the records are durable; DiskError when they can't be."""
        if self.error is not None:
            raise self.error
        done_signal = Signal()
        self.waiting.append((records, done_signal))
        self.dirty_signal.set()
        while not done_signal.is_set:
            yield Wait(done_signal, 3600)
        if done_signal.value is not None:
            raise done_signal.value

    def run(self, retry_seconds):
        """Script: write what waits in batches; a failed disk is tried again by a new slot."""
        while True:
            if self.error is None and not self.waiting:
                yield Wait(self.dirty_signal, 3600)
            self.dirty_signal = Signal()
            batch, self.waiting = self.waiting, []
            self.is_writing = True
            yield from self._pause()
            outcome = self._write(batch)
            self.is_writing = False
            for _, done_signal in batch:
                done_signal.set(outcome)
            if outcome is not None:
                yield Sleep(retry_seconds)

    def _pause(self):
        seconds = self.disk.pause()
        if seconds:
            yield Sleep(seconds)

    def _write(self, batch):
        """Append a batch, or write the whole image, which also holds what waits meanwhile."""
        log_name = f"log.{self.generation % 2}"
        data = b"".join(pack_record(record) for records, _ in batch for record in records)
        try:
            if self.error is not None or self.log_size + len(data) > max(
                self.log_limit, self.slot_size
            ):
                batch.extend(self.waiting)
                self.waiting = []
                self.turn()
            elif data:
                self.disk.append(log_name, BATCH_HEAD + data)
                self.disk.sync(log_name)
                self.log_size += len(BATCH_HEAD + data)
            self.syncs += 1
            self.error = None
        except DiskError as error:
            self.error = error
        return self.error


def pack_record(value):
    """Return the bytes of one log record."""
    body = cbor2.dumps(value)
    return RECORD.pack(len(body), zlib.crc32(body)) + body


def read_record(data, offset):
    """Return (value, next offset) of the record there, or None when it is torn."""
    if offset + RECORD.size > len(data):
        return None
    length, checksum = RECORD.unpack_from(data, offset)
    body = data[offset + RECORD.size : offset + RECORD.size + length]
    if len(body) != length or zlib.crc32(body) != checksum or not length:
        return None
    return cbor2.loads(body), offset + RECORD.size + length


def has_record_after(data, offset, is_marked):
    """Tell whether the unreadable record there is followed by what shows that it was synced.

    Each batch reaches the disk under one sync and begins with a mark. A loss of power may tear any
    piece out of the last batch, but no further batch follows a torn one. In a log of earlier
    versions, without marks, any readable record that follows counts.
    """
    while offset + RECORD.size <= len(data):
        length, _ = RECORD.unpack_from(data, offset)
        offset += RECORD.size + length
        record = read_record(data, offset)
        if not is_marked or (record is not None and record[0] == BATCH_MARK):
            return record is not None
    return False


BATCH_HEAD = pack_record(BATCH_MARK)
