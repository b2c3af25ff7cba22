"""A simulated disk: what was not synced is dropped when the power goes."""

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

    def begin(self, name, head):
        """Begin a file that is written in steps."""
        self.write(name, head)

    def extend(self, name, data):
        """Append to the file and sync it."""
        self._check_room(name)
        self.syncs += 1
        self.durable[name] += data

    def finish(self, name, head):
        """Write the head of the file anew and sync it."""
        self._check_room(name)
        self.durable[name] = head + self.durable[name][len(head) :]

    def append(self, name, data):
        """Append without syncing."""
        self._check_room(name)
        self.pending[name] = self.pending.get(name, b"") + data

    def cut(self, name, size):
        """Cut a file back."""
        self.durable[name] = self.read(name)[:size]
        self.pending.pop(name, None)

    def sync(self, name):
        """Make the appended bytes durable."""
        self.syncs += 1
        self.durable[name] = self.durable.get(name, b"") + self.pending.pop(name, b"")

    def pause(self):
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
