"""The recorded history and the invariants checked over it."""


class History:
    """Everything that happened and matters, with the violations found."""

    def __init__(self, env):
        self.env = env
        self.violations = []
        self.runs = {}
        self.refusedAt = {}
        self.single = set()
        self.endedAt = {}
        self.emptied = {}
        self.counts = {}
        self.marks = []

    def violate(self, text):
        """Keep a violation with its time."""
        self.violations.append(f"{self.env.now:.3f} {text}")

    def count(self, name, amount=1):
        """Count something for the report."""
        self.counts[name] = self.counts.get(name, 0) + amount

    def mark(self, text):
        """Note a step of the scenario."""
        self.marks.append(f"{self.env.now:.2f} {text}")

    def ran(self, work, replica, inquiryName):
        """A replica began some work."""
        now = self.env.now
        earlierRuns = self.runs.setdefault(work, [])
        earlierRuns.append((now, replica.row["name"], inquiryName))
        if work in self.single and len(earlierRuns) > 1:
            self.violate(f"{work} ran twice: {earlierRuns}")
        if work in self.refusedAt:
            self.violate(f"{work} ran after the refusal at {self.refusedAt[work]:.3f}")
        endedAt = self.endedAt.get(work)
        if endedAt is not None and now > endedAt + 3.0:
            self.violate(f"{work} of a lot ended at {endedAt:.3f} began")
        emptiedAt = self.emptied.get(replica.row["domain"])
        if emptiedAt is not None and now > emptiedAt + 5.0:
            self.violate(f"{work} began in a domain emptied at {emptiedAt:.3f}")
        if replica.logic.lateStarts:
            replica.logic.lateStarts = 0
            self.violate(f"{work} began at {replica.row['name']}, which left before")
        self.count("runs")

    def stopped(self, work, replica):
        """A replica stopped some work."""
        endedAt = self.endedAt.get(work)
        if endedAt is not None and self.env.now > endedAt + 3.0:
            self.violate(f"{work} of a lot ended at {endedAt:.3f} ran on")

    def refused(self, work):
        """A sender was told that the work never runs."""
        self.refusedAt[work] = self.env.now
