"""Simulated disks, on which a loss of power drops what was not synced."""

from itertools import product

from quillring.kernel.errors import DiskError


class SimDisk:
    """Files that each have a durable and an unsynced part."""

    def __init__(self, chance, sync_seconds=(0.001, 0.006)):
        self.chance = chance
        self.durable = {}
        self.pending = {}
        self.is_full = False
        self.sync_seconds = sync_seconds
        self.syncs = 0

    def read(self, name):
        """Return the durable and unsynced bytes of a file, or None if it is missing."""
        if name not in self.durable and name not in self.pending:
            return None
        return self.durable.get(name, b"") + self.pending.get(name, b"")

    def _check_free_space(self, name):
        if self.is_full:
            raise DiskError(file=name, reason="no space left")

    def write(self, name, data):
        """Replace a file's content and sync it."""
        self._check_free_space(name)
        self.durable[name] = data
        self.pending.pop(name, None)

    def begin_file(self, name, header):
        """Start a file that is written in several steps."""
        self.write(name, header)

    def extend_file(self, name, data):
        """Append to the file and sync it."""
        self._check_free_space(name)
        self.syncs += 1
        self.durable[name] += data

    def finish_file(self, name, header):
        """Overwrite the header of the file and sync it."""
        self._check_free_space(name)
        self.durable[name] = header + self.durable[name][len(header) :]

    def append(self, name, data):
        """Append without syncing."""
        self._check_free_space(name)
        self.pending[name] = self.pending.get(name, b"") + data

    def truncate(self, name, size):
        """Truncate a file durably; do nothing if it is missing."""
        if self.read(name) is None:
            return
        self.durable[name] = self.read(name)[:size]
        self.pending.pop(name, None)

    def sync(self, name):
        """Make the appended bytes of a file durable."""
        self.syncs += 1
        self.durable[name] = self.durable.get(name, b"") + self.pending.pop(name, b"")

    def sync_existing(self, name):
        """Sync a file that a killed process may have left unsynced."""
        self.sync(name)

    def sync_delay_seconds(self):
        """Return a random duration for one sync in seconds."""
        return self.chance.uniform(*self.sync_seconds)

    def lose_power(self, torn=b""):
        """Drop unsynced bytes, and append a torn fragment to the longest log if one is given."""
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
        """Delete every file, as when the disk is replaced."""
        self.durable.clear()
        self.pending.clear()


class PowerLost(Exception):
    """The machine lost power, or the process was killed, in the middle of an operation."""


class CrashDisk:
    """A disk that can fail at each step and enumerates the contents that may remain afterwards.

    It takes the same steps as `quillring.store.FolderDisk`. After a loss of power each unsynced
    write is kept, missing or torn, independently of the others, and each new file name is kept or
    lost until its folder is synced. A killed process leaves the files as they were.

    Step number `last_step` raises PowerLost; the steps in `failing_steps` raise DiskError.
    """

    def __init__(self, files=None):
        self.files = dict(files or {})
        self.durable = dict(self.files)
        self.unsynced_changes = []
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
        """Replace a file's content and sync the file and its folder."""
        self._step(name)
        if name not in self.files:
            self.new_names.add(name)
        self._apply_write(name, 0, None)
        try:
            self._step(name)
        except DiskError:
            self._apply_write(name, 0, data[: len(data) // 2])
            raise
        self._apply_write(name, 0, data)
        self._step(name)
        self._mark_synced(name)
        self._step(name)
        self.new_names.clear()

    def begin_file(self, name, header):
        """Start a file that is written in several steps."""
        self.write(name, header)

    def extend_file(self, name, data):
        """Append to the file and sync it."""
        self.append(name, data)
        self.sync(name)

    def finish_file(self, name, header):
        """Overwrite the header of the file and sync it."""
        try:
            self._step(name)
        except DiskError:
            self._apply_write(name, 0, header[: len(header) // 2])
            raise
        self._apply_write(name, 0, header)
        self.sync(name)

    def append(self, name, data):
        """Append to a file; a failed append leaves the first half of the data."""
        size = len(self.files.get(name, b""))
        try:
            self._step(name)
        except DiskError:
            self._apply_write(name, size, data[: len(data) // 2])
            raise
        self._apply_write(name, size, data)

    def truncate(self, name, size):
        """Truncate a file durably; do nothing if it is missing."""
        if name not in self.files:
            return
        self._step(name)
        self._apply_write(name, size, None)
        self._step(name)
        self._mark_synced(name)

    def sync(self, name):
        """Make everything written to a file durable."""
        self._step(name)
        self._mark_synced(name)

    def sync_existing(self, name):
        """Sync a file that another process may have left unsynced, and the folder with its name."""
        self._step(name)
        self._mark_synced(name)
        self._step(name)
        self.new_names.clear()

    def sync_delay_seconds(self):
        """Return the duration of a sync in seconds, which is 0."""
        return 0

    def _apply_write(self, name, offset, data):
        self.unsynced_changes.append((name, offset, data))
        self.files[name] = content_after_write(self.files.get(name, b""), offset, data)

    def _mark_synced(self, name):
        self.durable[name] = self.files[name]
        self.unsynced_changes = [change for change in self.unsynced_changes if change[0] != name]

    def after_kill(self):
        """Return the disk as the next process finds it; unsynced changes remain unsynced."""
        disk = CrashDisk()
        disk.files, disk.durable = dict(self.files), dict(self.durable)
        disk.unsynced_changes, disk.new_names = list(self.unsynced_changes), set(self.new_names)
        return disk

    def after_power_loss(self):
        """Yield a disk for each combination of contents that a loss of power now may leave."""
        names = sorted(self.new_names)
        for lost_flags in product((False, True), repeat=len(names)):
            lost_names = {name for name, is_lost in zip(names, lost_flags, strict=True) if is_lost}
            for kept_changes in product(*map(possible_remains, self.unsynced_changes)):
                files = dict(self.durable)
                for name, offset, data in filter(None, kept_changes):
                    files[name] = content_after_write(files.get(name, b""), offset, data)
                yield CrashDisk({n: data for n, data in files.items() if n not in lost_names})


def content_after_write(content, offset, data):
    """Return a file's content after a write at an offset, or a truncation to it (data is None)."""
    if data is None:
        return content[:offset].ljust(offset, b"\0")
    return content[:offset].ljust(offset, b"\0") + data + content[offset + len(data) :]


def possible_remains(change):
    """Return what may remain of an unsynced change: nothing, all of it, or a torn part."""
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
    """A log that reports every record as durable at once and writes nothing."""

    error = None
    is_idle = True

    def commit(self, records):
        """Coroutine: return at once."""
        return
        yield
