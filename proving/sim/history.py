"""The recorded history and the invariants checked over it."""


class History:
    """What happened in a run, with the violations of invariants found so far."""

    def __init__(self, env):
        self.env = env
        self.violations = []
        self.runs = {}
        self.refused_at = {}
        self.single = set()
        self.ended_at = {}
        self.emptied = {}
        self.counts = {}
        self.notes = []

    def violate(self, text):
        """Keep a violation with its time."""
        self.violations.append(f"{self.env.now:.3f} {text}")

    def count(self, name, amount=1):
        """Count something for the report."""
        self.counts[name] = self.counts.get(name, 0) + amount

    def note(self, text):
        """Note a step of the scenario."""
        self.notes.append(f"{self.env.now:.2f} {text}")

    def ran(self, work, replica, request_name):
        """A replica began some work."""
        now = self.env.now
        earlier_runs = self.runs.setdefault(work, [])
        earlier_runs.append((now, replica.row["name"], request_name))
        if work in self.single and len(earlier_runs) > 1:
            self.violate(f"{work} ran twice: {earlier_runs}")
        if work in self.refused_at:
            self.violate(f"{work} ran after the refusal at {self.refused_at[work]:.3f}")
        ended_at = self.ended_at.get(work)
        if ended_at is not None and now > ended_at + 3.0:
            self.violate(f"{work} of a lot ended at {ended_at:.3f} began")
        emptied_at = self.emptied.get(replica.row["domain"])
        if emptied_at is not None and now > emptied_at + 5.0:
            self.violate(f"{work} began in a domain emptied at {emptied_at:.3f}")
        if replica.logic.late_starts:
            replica.logic.late_starts = 0
            self.violate(f"{work} began at {replica.row['name']}, which left before")
        self.count("runs")

    def stopped(self, work, replica):
        """A replica stopped some work."""
        ended_at = self.ended_at.get(work)
        if ended_at is not None and self.env.now > ended_at + 3.0:
            self.violate(f"{work} of a lot ended at {ended_at:.3f} ran on")

    def refused(self, work):
        """A sender was told that the work never runs."""
        self.refused_at[work] = self.env.now
