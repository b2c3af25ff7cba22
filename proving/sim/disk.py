"""A simulated disk: what was not synced is dropped when the power goes."""

from itertools import product

from quillring.kernel.errors import DiskError


class SimDisk:
    """Files with a durable and an unsynced part."""

    def __init__(self, chance, sync_seconds=(0.001, 0.006)):
        self.chance = chance
        self.durable = {}
        self.pending = {}
        self.is_full = False
        self.sync_seconds = sync_seconds
        self.syncs = 0

    def read(self, name):
        """Return the durable and pending bytes, or None."""
        if name not in self.durable and name not in self.pending:
            return None
        return self.durable.get(name, b"") + self.pending.get(name, b"")

    def _check_room(self, name):
        if self.is_full:
            raise DiskError(file=name, reason="no space left")

    def write(self, name, data):
        """Write and sync a whole file."""
        self._check_room(name)
        self.durable[name] = data
        self.pending.pop(name, None)

    def begin_file(self, name, header):
        """Begin a file that is written in steps."""
        self.write(name, header)

    def extend_file(self, name, data):
        """Append to the file and sync it."""
        self._check_room(name)
        self.syncs += 1
        self.durable[name] += data

    def finish_file(self, name, header):
        """Write the header of the file anew and sync it."""
        self._check_room(name)
        self.durable[name] = header + self.durable[name][len(header) :]

    def append(self, name, data):
        """Append without syncing."""
        self._check_room(name)
        self.pending[name] = self.pending.get(name, b"") + data

    def truncate(self, name, size):
        """Cut a file back; one that is missing stays so."""
        if self.read(name) is None:
            return
        self.durable[name] = self.read(name)[:size]
        self.pending.pop(name, None)

    def sync(self, name):
        """Make the appended bytes durable."""
        self.syncs += 1
        self.durable[name] = self.durable.get(name, b"") + self.pending.pop(name, b"")

    def sync_existing(self, name):
        """Make a file durable that a killed process may have left unsynced."""
        self.sync(name)

    def sync_delay_seconds(self):
        """Return how long this sync takes."""
        return self.chance.uniform(*self.sync_seconds)

    def lose_power(self, torn=b""):
        """Drop what was not synced; a torn fragment may be left at a log's tail."""
        self.pending.clear()
        if torn:
            log_name = max(
                (n for n in self.durable if n.startswith("log")),
                key=lambda n: len(self.durable[n]),
                default=None,
            )
            if log_name is not None:
                self.durable[log_name] += torn

    def lose_all(self):
        """Lose the disk."""
        self.durable.clear()
        self.pending.clear()


class PowerLost(Exception):
    """The machine lost power, or the process was killed, in the middle of an operation."""


class CrashDisk:
    """Files whose every step may be the last one, and what may be left of them then.

    It takes the steps of `quillring.store.FolderDisk`. What was not synced is kept, missing or torn
    after a loss of power, each write by itself; a name that was made is kept or lost by itself
    until its folder is synced. A killed process leaves the files as they were.
    """

    def __init__(self, files=None):
        self.files = dict(files or {})
        self.durable = dict(self.files)
        self.later = []
        self.new_names = set()
        self.steps = 0
        self.last_step = None
        self.failing_steps = ()

    def _step(self, name):
        self.steps += 1
        if self.steps == self.last_step:
            raise PowerLost(name)
        if self.steps in self.failing_steps:
            raise DiskError(file=name, reason="no space left")

    def read(self, name):
        """Return the bytes of a file as a process sees them, or None."""
        return self.files.get(name)

    def write(self, name, data):
        """Write a whole file anew and sync it and the folder."""
        self._step(name)
        if name not in self.files:
            self.new_names.add(name)
        self._change(name, 0, None)
        try:
            self._step(name)
        except DiskError:
            self._change(name, 0, data[: len(data) // 2])
            raise
        self._change(name, 0, data)
        self._step(name)
        self._settle(name)
        self._step(name)
        self.new_names.clear()

    def begin_file(self, name, header):
        """Begin a file that is written in steps."""
        self.write(name, header)

    def extend_file(self, name, data):
        """Append to the file and sync it."""
        self.append(name, data)
        self.sync(name)

    def finish_file(self, name, header):
        """Write the header of the file anew and sync it."""
        try:
            self._step(name)
        except DiskError:
            self._change(name, 0, header[: len(header) // 2])
            raise
        self._change(name, 0, header)
        self.sync(name)

    def append(self, name, data):
        """Append to a file; one that fails may have written a part."""
        size = len(self.files.get(name, b""))
        try:
            self._step(name)
        except DiskError:
            self._change(name, size, data[: len(data) // 2])
            raise
        self._change(name, size, data)

    def truncate(self, name, size):
        """Cut a file back to a size, durably; one that is missing stays so."""
        if name not in self.files:
            return
        self._step(name)
        self._change(name, size, None)
        self._step(name)
        self._settle(name)

    def sync(self, name):
        """Make all that was written to a file durable."""
        self._step(name)
        self._settle(name)

    def sync_existing(self, name):
        """Make a file durable that another process may have left unsynced, and its name."""
        self._step(name)
        self._settle(name)
        self._step(name)
        self.new_names.clear()

    def sync_delay_seconds(self):
        """Return the seconds a sync takes: none."""
        return 0

    def _change(self, name, offset, data):
        self.later.append((name, offset, data))
        self.files[name] = changed(self.files.get(name, b""), offset, data)

    def _settle(self, name):
        self.durable[name] = self.files[name]
        self.later = [change for change in self.later if change[0] != name]

    def killed(self):
        """Return the disk as the next process finds it; what was not synced still is not."""
        disk = CrashDisk()
        disk.files, disk.durable = dict(self.files), dict(self.durable)
        disk.later, disk.new_names = list(self.later), set(self.new_names)
        return disk

    def after_power_loss(self):
        """Yield a disk for everything that a loss of power now may leave."""
        names = sorted(self.new_names)
        for lost_flags in product((False, True), repeat=len(names)):
            lost_names = {name for name, is_lost in zip(names, lost_flags, strict=True) if is_lost}
            for kept in product(*map(remains, self.later)):
                files = dict(self.durable)
                for name, offset, data in filter(None, kept):
                    files[name] = changed(files.get(name, b""), offset, data)
                yield CrashDisk({n: data for n, data in files.items() if n not in lost_names})


def changed(content, offset, data):
    """Return a file's content after a write at an offset, or after a cut to it (data is None)."""
    if data is None:
        return content[:offset].ljust(offset, b"\0")
    return content[:offset].ljust(offset, b"\0") + data + content[offset + len(data) :]


def remains(change):
    """Return what may be left of one unsynced change: nothing, all, or a torn half of it."""
    name, offset, data = change
    if not data:
        return [None, change]
    half = len(data) // 2
    return [
        None,
        change,
        (name, offset, data[:half]),
        (name, offset, bytes(half) + data[half:]),
        (name, offset, data[:half] + bytes(half // 2) + data[half + half // 2 :]),
    ]


class InstantLog:
    """A log that pretends to be durable at once, and writes nothing."""

    error = None
    is_idle = True

    def commit(self, records):
        """Coroutine: nothing to wait for."""
        return
        yield
