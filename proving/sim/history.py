"""The recorded history of a simulated run and the invariants checked over it."""


class History:
    """The events of a run and the violations of invariants found so far.

    Times are simulated seconds. `at_most_once` contains work that may run at most once; `emptied`
    maps each emptied domain to its time; `ended_at` maps work of cancelled lots to its time.
    """

    def __init__(self, env):
        self.env = env
        self.violations = []
        self.runs = {}
        self.refused_at = {}
        self.at_most_once = set()
        self.ended_at = {}
        self.emptied = {}
        self.counts = {}
        self.notes = []

    def violate(self, text):
        """Record a violation with its time."""
        self.violations.append(f"{self.env.now:.3f} {text}")

    def count(self, name, amount=1):
        """Add to a counter of the report."""
        self.counts[name] = self.counts.get(name, 0) + amount

    def note(self, text):
        """Record a step of the scenario with its time."""
        self.notes.append(f"{self.env.now:.2f} {text}")

    def ran(self, work, replica, request_name):
        """Record that a replica started some work, and check that it may run there now."""
        now = self.env.now
        earlier_runs = self.runs.setdefault(work, [])
        earlier_runs.append((now, replica.row["name"], request_name))
        if work in self.at_most_once and len(earlier_runs) > 1:
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
        """Record that a replica stopped some work, and check that its lot had not ended."""
        ended_at = self.ended_at.get(work)
        if ended_at is not None and self.env.now > ended_at + 3.0:
            self.violate(f"{work} of a lot ended at {ended_at:.3f} ran on")

    def note_refusal(self, work):
        """Record that a sender received a refusal: the work must never run."""
        self.refused_at[work] = self.env.now
