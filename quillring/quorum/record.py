"""What one acceptor holds of a part."""

from quillring.quorum.commands import apply_batch


class PartRecord:
    """What one acceptor holds of a part."""

    __slots__ = ("promised", "applied", "state", "entries", "committed")

    def __init__(self, promised=(0, ""), applied=0, state=None, entries=None, committed=0):
        self.promised = tuple(promised)
        self.applied = applied
        self.state = state
        self.entries = entries or {}
        self.committed = committed

    def to_list(self):
        """Return the record for a slot or a prepare answer."""
        tail = [[i, list(b), batch] for i, (b, batch) in sorted(self.entries.items())]
        return [list(self.promised), self.applied, self.state, tail, self.committed]

    @classmethod
    def from_list(cls, fields):
        """Read a record from a slot."""
        promised, applied, state, tail, committed = fields
        return cls(promised, applied, state, {i: (tuple(b), v) for i, b, v in tail}, committed)

    def learn(self, ballot, committed):
        """Apply what the ballot's owner says is committed; stop at a gap."""
        while self.applied < committed:
            entry = self.entries.get(self.applied + 1)
            if entry is None or entry[0] != ballot or self.state is None:
                break
            self.state, _ = apply_batch(self.state, entry[1])
            self.applied += 1
            del self.entries[self.applied]
        self.committed = max(self.committed, self.applied)
