"""What one node's own sendings show of a replica."""


def is_quiet(replica, now, seconds):
    """Tell whether a replica has not beaten for so long; one only just learnt of still may."""
    return now - max(replica.heardAt, replica.bornAt) >= seconds


class View:
    """Requests under way, prompt tokens not read yet, and how the last ones went."""

    __slots__ = ("inFlight", "reading", "failures", "suspectUntil", "isOnTrial", "heardAt")

    def __init__(self):
        self.inFlight = 0
        self.reading = 0
        self.failures = 0
        self.suspectUntil = 0
        self.isOnTrial = False
        self.heardAt = 0

    def is_trusted(self, now):
        """Tell whether the replica may get something: no trouble lately, or a single trial."""
        return now >= self.suspectUntil and not self.isOnTrial

    def fail(self, now, isSurely, bounds):
        """Note a failure; from the second in a row, or a sure one, the replica is left alone."""
        self.failures += 2 if isSurely else 1
        self.isOnTrial = False
        if self.failures > 1:
            self.suspectUntil = now + min(bounds.news * 2, bounds.beat / 2 * 1.6 ** self.failures)
