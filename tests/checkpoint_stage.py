"""One store's slots and log on a disk whose every step may be the last one."""

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
LOG_LIMIT = 60
MOST_STEPS = 400


class Holder:
    """State that tells a record which is missing, doubled or out of order."""

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


class Machine:
    """One life of a store's process on a disk: it commits batches until it dies.

    An eager one commits the next batch as soon as the last one is durable, while the next slot is
    still being written; else the writer comes to rest between two batches.
    """

    def __init__(self, disk, log_limit=LOG_LIMIT, is_eager=False):
        self.disk, self.holder, self.is_eager = disk, Holder(), is_eager
        self.store = CheckpointedLog(disk, self.holder, log_limit)
        self.acknowledged = 0
        if not self.store.recover():
            self.store.write_checkpoint()
        self.acknowledged = len(self.holder.records)
        self.writer = self.store.run(0.1)
        self.effect = next(self.writer)

    def pump(self, is_done=lambda: False):
        """Let the writer go on until it waits for records, or until something is done."""
        for _ in range(MOST_STEPS):
            is_resting = isinstance(self.effect, Wait) and not self.effect.signal.is_set
            if is_resting or is_done():
                return
            self.effect = self.writer.send(True)
        raise AssertionError("the writer never comes to rest")

    def commit(self, batch):
        """Commit each record of a batch by itself, all under one sync; tell whether all went well.

        As in the running store, memory changes first.
        """
        coroutines, waits = [], []
        for record in batch:
            self.holder.replay(record)
            coroutines.append(self.store.commit([record]))
        outcomes = [self._begin(coroutine, waits) for coroutine in coroutines]
        self.pump(lambda: self.is_eager and all(wait.signal.is_set for wait in waits))
        outcomes = [
            self._end(coroutine) if outcome is None else outcome
            for coroutine, outcome in zip(coroutines, outcomes, strict=True)
        ]
        if all(outcome is True for outcome in outcomes):
            self.acknowledged = len(self.holder.records)

    def _begin(self, coroutine, waits):
        try:
            waits.append(next(coroutine))
        except DiskError:
            return False
        return None

    def _end(self, coroutine):
        try:
            coroutine.send(True)
        except StopIteration:
            return True
        except DiskError:
            return False
        raise AssertionError("a record is neither durable nor refused")


def live(disk, acknowledged=0, is_eager=False):
    """Live until the disk's last step; return how many records are surely durable."""
    machine = None
    try:
        machine = Machine(disk, is_eager=is_eager)
        for batch in BATCHES:
            done = len(machine.holder.records)
            if batch[0] in RECORDS[done:]:
                machine.commit([r for r in batch if r in RECORDS[done:]])
        machine.pump()
        return machine.acknowledged, True
    except PowerLost:
        known = acknowledged if machine is None else machine.acknowledged
        return max(acknowledged, known), False


def check(disk, acknowledged, story):
    """What comes back is a beginning of what was committed, with all that was acknowledged."""
    machine = Machine(disk)
    records = machine.holder.records
    assert records == RECORDS[: len(records)], story
    assert len(records) >= acknowledged, story
    return machine


def lives(is_eager):
    """Yield (last step, disk, acknowledged) for a crash at each step of a whole life."""
    for last_step in range(1, MOST_STEPS):
        disk = CrashDisk()
        disk.last_step = last_step
        acknowledged, is_whole = live(disk, is_eager=is_eager)
        yield last_step, disk, acknowledged
        if is_whole:
            return
