"""A checkpointed log on a simulated disk that can lose power at any step, for crash tests."""

from proving.sim.disk import CrashDisk, PowerLost
from quillring.kernel.effects import Wait
from quillring.kernel.errors import DiskError
from quillring.store import CheckpointedLog

BATCHES = [
    [["a", 1]],
    [["b", "x" * 30], ["c", 3]],
    [["d", 4], ["e", 5], ["f", "y" * 20]],
    [["g", 7]],
    [["h", "z" * 200]],
    [["i", 9], ["j", 10]],
    [["k", 11]],
]
RECORDS = [record for batch in BATCHES for record in batch]
LOG_LIMIT_BYTES = 60
MAX_STEPS = 400


class RecordedState:
    """In-memory state that lists its records, so missing, duplicate or reordered ones show."""

    def __init__(self):
        self.records = []

    def rows(self):
        return list(self.records)

    def load_rows(self, rows):
        self.records = list(rows)

    def load(self, snapshot):
        self.records = list(snapshot)

    def replay(self, record):
        self.records.append(record)


class StoreProcess:
    """A store process that runs on a disk from recovery until it crashes.

    If `is_eager`, `commit` returns as soon as its batch is durable, even while the next checkpoint
    slot is still being written. Otherwise it returns once the writer is idle.
    """

    def __init__(self, disk, log_limit_bytes=LOG_LIMIT_BYTES, is_eager=False):
        self.disk, self.recorded_state, self.is_eager = disk, RecordedState(), is_eager
        self.store = CheckpointedLog(disk, self.recorded_state, log_limit_bytes)
        self.acknowledged = 0
        if not self.store.recover():
            self.store.write_checkpoint()
        self.acknowledged = len(self.recorded_state.records)
        self.writer = self.store.run(0.1)
        self.pending_effect = next(self.writer)

    def run_writer(self, is_done=lambda: False):
        """Run the writer until it waits for records or `is_done` returns true."""
        for _ in range(MAX_STEPS):
            is_idle = (
                isinstance(self.pending_effect, Wait) and not self.pending_effect.signal.is_set
            )
            if is_idle or is_done():
                return
            self.pending_effect = self.writer.send(True)
        raise AssertionError("the writer does not become idle")

    def commit(self, batch):
        """Commit each record of a batch separately, all with one sync.

        `acknowledged` is updated only if every record became durable. The state in memory changes
        before the log, as in the running store.
        """
        coroutines, waits = [], []
        for record in batch:
            self.recorded_state.replay(record)
            coroutines.append(self.store.commit([record]))
        outcomes = [self._start_commit(coroutine, waits) for coroutine in coroutines]
        self.run_writer(lambda: self.is_eager and all(wait.signal.is_set for wait in waits))
        outcomes = [
            self._finish_commit(coroutine) if outcome is None else outcome
            for coroutine, outcome in zip(coroutines, outcomes, strict=True)
        ]
        if all(outcome is True for outcome in outcomes):
            self.acknowledged = len(self.recorded_state.records)

    def _start_commit(self, coroutine, waits):
        try:
            waits.append(next(coroutine))
        except DiskError:
            return False
        return None

    def _finish_commit(self, coroutine):
        try:
            coroutine.send(True)
        except StopIteration:
            return True
        except DiskError:
            return False
        raise AssertionError("the commit of a record neither succeeded nor failed")


def run_until_power_loss(disk, acknowledged=0, is_eager=False):
    """Commit all batches that are not on the disk yet, until it loses power.

    Return (number of records acknowledged so far, whether all batches were processed).
    """
    process = None
    try:
        process = StoreProcess(disk, is_eager=is_eager)
        for batch in BATCHES:
            recovered_count = len(process.recorded_state.records)
            if batch[0] in RECORDS[recovered_count:]:
                process.commit([r for r in batch if r in RECORDS[recovered_count:]])
        process.run_writer()
        return process.acknowledged, True
    except PowerLost:
        acknowledged_count = acknowledged if process is None else process.acknowledged
        return max(acknowledged, acknowledged_count), False


def check_recovery(disk, acknowledged, context):
    """Check that recovery returns a prefix of RECORDS with at least the acknowledged ones."""
    process = StoreProcess(disk)
    records = process.recorded_state.records
    assert records == RECORDS[: len(records)], context
    assert len(records) >= acknowledged, context
    return process


def crash_at_each_step(is_eager):
    """Yield (last step, disk, acknowledged) for a power loss at each step of a complete run."""
    for last_step in range(1, MAX_STEPS):
        disk = CrashDisk()
        disk.last_step = last_step
        acknowledged, is_complete = run_until_power_loss(disk, is_eager=is_eager)
        yield last_step, disk, acknowledged
        if is_complete:
            return
