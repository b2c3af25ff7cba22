"""What one node's own sendings show of a replica."""


def is_quiet(replica, now, seconds):
    """Tell whether a replica has not beaten for so long; one only just learnt of still may."""
    return now - max(replica.heard_at, replica.born_at) >= seconds


class View:
    """Requests under way, prompt tokens not read yet, and how the last ones went."""

    __slots__ = ("in_flight", "reading", "failures", "suspect_until", "is_on_trial", "heard_at")

    def __init__(self):
        self.in_flight = 0
        self.reading = 0
        self.failures = 0
        self.suspect_until = 0
        self.is_on_trial = False
        self.heard_at = 0

    def is_trusted(self, now):
        """Tell whether the replica may get something: no error lately, or a single trial."""
        return now >= self.suspect_until and not self.is_on_trial

    def fail(self, now, is_surely, bounds):
        """Note a failure; from the second in a row, or a sure one, the replica is left alone."""
        self.failures += 2 if is_surely else 1
        self.is_on_trial = False
        if self.failures > 1:
            self.suspect_until = now + min(
                bounds.propagation * 2, bounds.heartbeat_interval / 2 * 1.6**self.failures
            )
