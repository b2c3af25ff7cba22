"""Two slots written in turn and short checksummed logs between them.

Each generation has a slot and a log. While the next slot is being written, in small steps beside
the ordinary work, what comes in goes to the next log already, which says that it follows the
present one: until the new slot stands, the state is the old slot and both logs.
"""

from quillring.kernel.effects import Signal, Sleep, Wait
from quillring.kernel.errors import Damaged, DiskError
from quillring.store.log_file import Log, is_marked_head, log_head, log_name
from quillring.store.records import (
    BATCH_HEAD,
    BATCH_MARK,
    has_record_after,
    pack_record,
    read_records,
)
from quillring.store.slot_file import SlotWriter, read_slot, slot_name

REPAIR = "keep a copy, empty the folder, start the store as a new member; hints refill it"
STEP_REST_SECONDS = 0.002


class SlotStore:
    """The recoverable state of one store machine.

    `holder` has rows() -> list of immutable values, load_rows(rows), load(image) for slots of the
    first form, and replay(record); records reach the disk in the order of commit(), in batches
    under one fsync.
    """

    __slots__ = (
        "disk",
        "holder",
        "generation",
        "log_generation",
        "log_size",
        "log_count",
        "log_limit",
        "waiting",
        "dirty_signal",
        "error",
        "syncs",
        "slot_size",
        "is_writing",
        "writer",
    )

    def __init__(self, disk, holder, log_limit=1 << 20):
        self.disk = disk
        self.holder = holder
        self.generation = self.log_generation = 0
        self.log_size = self.log_count = 0
        self.log_limit = log_limit
        self.waiting = []
        self.dirty_signal = Signal()
        self.error = None
        self.syncs = 0
        self.slot_size = 0
        self.is_writing = False
        self.writer = None

    def recover(self):
        """Load the newest slot and its logs; False when the folder was empty."""
        files = [self.disk.read(slot_name(parity)) for parity in (0, 1)]
        slots = [None if data is None else read_slot(data) for data in files]
        logs = {log.generation: log for log in map(self._read_log, (0, 1)) if log is not None}
        if not any(slots):
            if any(data is not None for data in files) and logs:
                raise Damaged(file="slot", reason="no slot is readable", repair=REPAIR)
            return False
        slot = max(filter(None, slots), key=lambda slot: slot.generation)
        self.generation, self.slot_size = slot.generation, slot.size
        self._check_newer_logs(logs)
        self.disk.settle(slot_name(self.generation))
        if slot.rows is None:
            self.holder.load(slot.snapshot)
        else:
            self.holder.load_rows(slot.rows)
        self._replay_logs(logs, slot.skipped)
        return True

    def _check_newer_logs(self, logs):
        """Raise Damaged if a log is newer than any slot, but for the next one of a turn."""
        for generation, log in logs.items():
            former = logs.get(self.generation)
            is_next = log.follows == self.generation and former is not None
            if is_next and former.good_size >= log.former_size:
                continue
            if generation > self.generation:
                raise Damaged(file="slot", reason="a log is newer than any slot", repair=REPAIR)

    def _read_log(self, parity):
        data = self.disk.read(log_name(parity)) or b""
        records, good_size = read_records(data)
        is_marked = BATCH_MARK in records or is_marked_head(records)
        if good_size < len(data) and has_record_after(data, good_size, is_marked):
            raise Damaged(file=log_name(parity), reason="a record amid the log", repair=REPAIR)
        return Log.from_records([r for r in records if r != BATCH_MARK], good_size)

    def _replay_logs(self, logs, skipped):
        if self.generation not in logs:
            self._start_log(self.generation)
            return
        for generation in (self.generation, self.generation + 1):
            log = logs.get(generation)
            if log is None:
                break
            for record in log.records[skipped:]:
                self.holder.replay(record)
            skipped = 0
            self.disk.cut(log_name(generation), log.good_size)
            self.disk.settle(log_name(generation))
            self.log_generation = generation
            self.log_size, self.log_count = log.good_size, len(log.records)

    def _start_log(self, generation):
        self._write_log_head(log_head(generation))

    def _follow_log(self):
        self._write_log_head(log_head(self.generation + 1, self.generation, self.log_size))

    def _write_log_head(self, head):
        """Begin a log; the old records are surely gone before the new head is there."""
        generation, head_record = head["generation"], pack_record(head)
        self.disk.cut(log_name(generation), 0)
        self.disk.write(log_name(generation), head_record)
        self.log_generation = generation
        self.log_size, self.log_count = len(head_record), 0

    def turn(self):
        """Write all state to the other slot at once; its log begins anew, unless it is in use."""
        has_log = self.log_generation > self.generation
        skipped = self.log_count if has_log else 0
        self.writer = SlotWriter(self.disk, self.generation + 1, self.holder.rows(), skipped)
        self._finish_turn()
        if has_log:
            self.disk.cut(log_name(self.generation), self.log_size)
        else:
            self._start_log(self.generation)

    def _begin_turn(self):
        """Begin the next slot; what it holds of the records that wait is not replayed on it."""
        if self.log_generation == self.generation:
            self._follow_log()
        skipped = self.log_count + sum(len(records) for records, _ in self.waiting)
        self.writer = SlotWriter(self.disk, self.generation + 1, self.holder.rows(), skipped)

    def _step_turn(self):
        """Write some of the next slot; True once it stands."""
        if not self.writer.step():
            return False
        self.generation, self.slot_size = self.writer.generation, self.writer.size
        self.writer = None
        return True

    def _finish_turn(self):
        while not self._step_turn():
            pass

    @property
    def is_idle(self):
        """True when all that was handed over is durable."""
        return not self.waiting and not self.is_writing

    def commit(self, records):
        """Coroutine: return once the records are durable; DiskError when they can't be."""
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
        """Coroutine: write what waits in batches; a failed disk is tried again by a new slot."""
        while True:
            if self.writer is not None:
                yield Sleep(STEP_REST_SECONDS)
            elif self.error is None and not self.waiting and not self._is_turn_due():
                yield Wait(self.dirty_signal, 3600)
            self.dirty_signal = Signal()
            if self.waiting or self.error is not None:
                yield from self._write_waiting()
            if self.error is None:
                yield from self._go_on_turning()
            else:
                yield Sleep(retry_seconds)

    def _write_waiting(self):
        batch, self.waiting = self.waiting, []
        self.is_writing = True
        yield from self._pause()
        outcome = self._write(batch)
        self.is_writing = False
        for _, done_signal in batch:
            done_signal.set(outcome)

    def _go_on_turning(self):
        if self.writer is None and not self._is_turn_due():
            return
        yield from self._pause()
        self._try(self._begin_turn if self.writer is None else self._step_turn)

    def _is_turn_due(self):
        is_long = self.log_size > max(self.log_limit, self.slot_size)
        return is_long or (self.writer is None and self.log_generation > self.generation)

    def _pause(self):
        seconds = self.disk.pause()
        if seconds:
            yield Sleep(seconds)

    def _write(self, batch):
        """Write a batch and sync it; return None or the DiskError that kept it from the disk."""
        data = b"".join(pack_record(record) for records, _ in batch for record in records)
        if self.error is not None:
            return self._try(self.turn)
        if data and self._try(lambda: self._append(data)) is None:
            self.log_count += sum(len(records) for records, _ in batch)
        outcome = self.error
        if outcome is None and self._is_turn_due():
            self._try(self._begin_turn if self.writer is None else self._finish_turn)
        return outcome

    def _append(self, data):
        name, marked_data = log_name(self.log_generation), BATCH_HEAD + data
        self.disk.append(name, marked_data)
        self.disk.sync(name)
        self.log_size += len(marked_data)

    def _try(self, action):
        """Do something at the disk; return and keep its error, or None."""
        try:
            action()
            self.syncs += 1
            self.error = None
        except DiskError as error:
            self.error, self.writer = error, None
        return self.error
