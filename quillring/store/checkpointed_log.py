"""A write-ahead log with two alternating checkpoints.

Each generation has a checkpoint and a log. The next checkpoint is written in small steps between
batches of commits. Meanwhile new records go to the next log, whose head names the current log as
its predecessor. Until the new checkpoint is complete, the state consists of the old checkpoint and
both logs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from quillring.kernel.effects import Signal, Sleep, Wait
from quillring.kernel.errors import Damaged, DiskError
from quillring.kernel.records import NamedTuple
from quillring.store.checkpoint_file import (
    Checkpoint,
    CheckpointWriter,
    checkpoint_file_name,
    read_checkpoint,
)
from quillring.store.log_file import (
    REPAIR_INSTRUCTIONS,
    LogContents,
    LogHead,
    log_file_name,
    read_log,
)
from quillring.store.records import ENCODED_BATCH_MARK, encode_record

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from quillring.kernel.types import Coroutine
    from quillring.store.disk import Disk

LOG_LIMIT_BYTES = 1 << 20
STEP_PAUSE_SECONDS = 0.002
IDLE_WAIT_SECONDS = 3600
FILE_PARITIES = (0, 1)


class StateMachine(Protocol):
    """The state in memory that the log makes durable; it is changed by records, in log order."""

    def rows(self) -> list[Any]:
        """Return the complete state as immutable values."""

    def load_rows(self, rows: Iterable[Any]) -> None:
        """Replace the state by that of a checkpoint, as returned by rows()."""

    def load(self, snapshot: Any) -> None:
        """Replace the state by the single value of a checkpoint in the first format."""

    def replay(self, fields: Any) -> None:
        """Apply one record of the log."""


class PendingCommit(NamedTuple):
    """Records to write; the signal is set to None once they are durable, or to the DiskError."""

    records: list[Any]
    done_signal: Signal


class CheckpointedLog:
    """The durable state of one store machine; owns the log and checkpoint files on its disk.

    Records are written in the order of commit(), in batches with one fsync each (group commit). A
    checkpoint is due when the log exceeds both `log_limit_bytes` and the last checkpoint's size.
    """

    __slots__ = (
        "disk",
        "state_machine",
        "generation",
        "log_generation",
        "log_size",
        "log_count",
        "log_limit_bytes",
        "pending",
        "work_signal",
        "error",
        "operation_count",
        "checkpoint_size",
        "is_writing",
        "writer",
    )

    def __init__(
        self, disk: Disk, state_machine: StateMachine, log_limit_bytes: int = LOG_LIMIT_BYTES
    ) -> None:
        self.disk = disk
        self.state_machine = state_machine
        self.generation = self.log_generation = 0
        self.log_size = self.log_count = 0
        self.log_limit_bytes = log_limit_bytes
        self.pending: list[PendingCommit] = []
        self.work_signal = Signal()
        self.error: DiskError | None = None
        self.operation_count = 0
        self.checkpoint_size = 0
        self.is_writing = False
        self.writer: CheckpointWriter | None = None

    def recover(self) -> bool:
        """Load the newest checkpoint and replay its logs; return False if there is no checkpoint.

        Raises Damaged when synced data is lost, DiskError when the disk fails.
        """
        files = [self.disk.read(checkpoint_file_name(parity)) for parity in FILE_PARITIES]
        logs = self._read_logs()
        checkpoint = _newest_checkpoint(files)
        if checkpoint is None:
            if logs and any(data is not None for data in files):
                raise Damaged(file="slot", reason="no slot is readable", repair=REPAIR_INSTRUCTIONS)
            return False
        self.generation, self.checkpoint_size = checkpoint.generation, checkpoint.size
        self._check_newer_logs(logs)
        self.disk.sync_existing(checkpoint_file_name(self.generation))
        if checkpoint.rows is None:
            self.state_machine.load(checkpoint.single_value)
        else:
            self.state_machine.load_rows(checkpoint.rows)
        self._replay_logs(logs, checkpoint.covered_count)
        return True

    def _read_logs(self) -> dict[int, LogContents]:
        """Return {generation: contents} of the logs with a readable head."""
        logs = {}
        for parity in FILE_PARITIES:
            name = log_file_name(parity)
            log = read_log(name, self.disk.read(name) or b"")
            if log is not None:
                logs[log.head.generation] = log
        return logs

    def _check_newer_logs(self, logs: dict[int, LogContents]) -> None:
        """Raise Damaged if a log is newer than any checkpoint and continues no complete log."""
        for generation, log in logs.items():
            previous_log = logs.get(self.generation)
            is_next = log.head.previous_generation == self.generation
            if (
                is_next
                and previous_log is not None
                and previous_log.valid_size >= log.head.previous_size
            ):
                continue
            if generation > self.generation:
                raise Damaged(
                    file="slot", reason="a log is newer than any slot", repair=REPAIR_INSTRUCTIONS
                )

    def _replay_logs(self, logs: dict[int, LogContents], covered_count: int) -> None:
        """Replay the records that the checkpoint does not cover; truncate an incomplete batch."""
        if self.generation not in logs:
            self._start_log(self.generation)
            return
        for generation in (self.generation, self.generation + 1):
            log = logs.get(generation)
            if log is None:
                break
            for record in log.records[covered_count:]:
                self.state_machine.replay(record)
            covered_count = 0
            name = log_file_name(generation)
            self.disk.truncate(name, log.valid_size)
            self.disk.sync_existing(name)
            self.log_generation = generation
            self.log_size, self.log_count = log.valid_size, len(log.records)

    def _start_log(self, generation: int) -> None:
        """Begin a log that continues no other one."""
        self._write_log_head(LogHead(generation))

    def _start_next_log(self) -> None:
        """Begin the log of the next generation, which continues the current one."""
        self._write_log_head(LogHead(self.generation + 1, self.generation, self.log_size))

    def _write_log_head(self, head: LogHead) -> None:
        """Begin a log: durably truncate the old records, then write the new head."""
        name, data = log_file_name(head.generation), encode_record(head.to_disk())
        self.disk.truncate(name, 0)
        self.disk.write(name, data)
        self.log_generation = head.generation
        self.log_size, self.log_count = len(data), 0

    def write_checkpoint(self) -> None:
        """Write a complete checkpoint without pauses; its log starts empty unless already in use.

        Raises DiskError.
        """
        has_next_log = self.log_generation > self.generation
        covered_count = self.log_count if has_next_log else 0
        self._open_writer(covered_count)
        self._finish_checkpoint()
        if has_next_log:
            self.disk.truncate(log_file_name(self.generation), self.log_size)
        else:
            self._start_log(self.generation)

    def _begin_checkpoint(self) -> None:
        """Begin the next checkpoint, which covers the records of the log and the pending ones."""
        if self.log_generation == self.generation:
            self._start_next_log()
        pending_count = sum(len(commit.records) for commit in self.pending)
        self._open_writer(self.log_count + pending_count)

    def _open_writer(self, covered_count: int) -> None:
        """Create the writer of the next checkpoint from the current state."""
        rows = self.state_machine.rows()
        self.writer = CheckpointWriter(self.disk, self.generation + 1, rows, covered_count)

    def _write_checkpoint_step(self) -> bool:
        """Write one step of the checkpoint in progress; return True once none is in progress."""
        writer = self.writer
        if writer is None:
            return True
        if not writer.step():
            return False
        self.generation, self.checkpoint_size = writer.generation, writer.size
        self.writer = None
        return True

    def _finish_checkpoint(self) -> None:
        """Write the remaining steps of the checkpoint in progress."""
        while not self._write_checkpoint_step():
            pass

    @property
    def is_idle(self) -> bool:
        """Whether no records are pending or being written."""
        return not self.pending and not self.is_writing

    def commit(self, records: list[Any]) -> Coroutine:
        """Return once the records are durable; raises DiskError when the disk fails."""
        if self.error is not None:
            raise self.error
        done_signal = Signal()
        self.pending.append(PendingCommit(records, done_signal))
        self.work_signal.set()
        while not done_signal.is_set:
            yield Wait(done_signal, IDLE_WAIT_SECONDS)
        if done_signal.value is not None:
            raise done_signal.value

    def run(self, retry_seconds: float) -> Coroutine:
        """Write batches of pending records, and checkpoints, without end.

        After a DiskError, retry every `retry_seconds` by writing a complete checkpoint.
        """
        while True:
            if self.writer is not None:
                yield Sleep(STEP_PAUSE_SECONDS)
            elif self.error is None and not self.pending and not self._is_checkpoint_due():
                yield Wait(self.work_signal, IDLE_WAIT_SECONDS)
            self.work_signal = Signal()
            if self.pending or self.error is not None:
                yield from self._write_pending()
            if self.error is None:
                yield from self._continue_checkpoint()
            else:
                yield Sleep(retry_seconds)

    def _write_pending(self) -> Coroutine:
        """Write the pending records as one batch, and signal the outcome to their commits."""
        batch, self.pending = self.pending, []
        self.is_writing = True
        yield from self._wait_for_disk()
        outcome = self._write_batch(batch)
        self.is_writing = False
        for commit in batch:
            commit.done_signal.set(outcome)

    def _continue_checkpoint(self) -> Coroutine:
        """Begin the next checkpoint if it is due, or write one step of the one in progress."""
        if self.writer is None and not self._is_checkpoint_due():
            return
        yield from self._wait_for_disk()
        if self.writer is None:
            self._run_disk_operation(self._begin_checkpoint)
        else:
            self._run_disk_operation(self._write_checkpoint_step)

    def _is_checkpoint_due(self) -> bool:
        """Return whether the log is over its limits, or its checkpoint was never completed."""
        if self.log_size > max(self.log_limit_bytes, self.checkpoint_size):
            return True
        return self.writer is None and self.log_generation > self.generation

    def _wait_for_disk(self) -> Coroutine:
        """Sleep for the simulated duration of a sync; a real disk has none."""
        seconds = self.disk.sync_delay_seconds()
        if seconds:
            yield Sleep(seconds)

    def _write_batch(self, batch: list[PendingCommit]) -> DiskError | None:
        """Write a batch and sync it; return None, or the DiskError that prevented it."""
        data = b"".join(encode_record(record) for commit in batch for record in commit.records)
        if self.error is not None:
            return self._run_disk_operation(self.write_checkpoint)
        if data and self._run_disk_operation(lambda: self._append(data)) is None:
            self.log_count += sum(len(commit.records) for commit in batch)
        outcome = self.error
        if outcome is None and self._is_checkpoint_due():
            if self.writer is None:
                self._run_disk_operation(self._begin_checkpoint)
            else:
                self._run_disk_operation(self._finish_checkpoint)
        return outcome

    def _append(self, data: bytes) -> None:
        """Append a batch to the current log and sync it."""
        name, marked_data = log_file_name(self.log_generation), ENCODED_BATCH_MARK + data
        self.disk.append(name, marked_data)
        self.disk.sync(name)
        self.log_size += len(marked_data)

    def _run_disk_operation(self, action: Callable[[], object]) -> DiskError | None:
        """Run a disk operation; record and return its DiskError, or None.

        An error aborts the checkpoint in progress.
        """
        try:
            action()
            self.operation_count += 1
            self.error = None
        except DiskError as error:
            self.error, self.writer = error, None
        return self.error


def _newest_checkpoint(files: list[bytes | None]) -> Checkpoint | None:
    """Return the valid checkpoint of the highest generation, or None."""
    checkpoints = [read_checkpoint(data) for data in files if data is not None]
    readable = [checkpoint for checkpoint in checkpoints if checkpoint is not None]
    return max(readable, key=lambda checkpoint: checkpoint.generation, default=None)
