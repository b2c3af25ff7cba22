"""How the promises of each class were kept on this node lately."""

KEPT, LATE, UNSERVED = "kept", "late", "unserved"
SPAN_SECONDS, SPANS = 60, 15


class Meter:
    """Counts by class and minute; what is older than a quarter of an hour is forgotten."""

    __slots__ = ("node", "spans")

    def __init__(self, node):
        self.node = node
        self.spans = {}

    def note(self, class_name, first_at, first_end):
        """Note when an inquiry's first piece went out, if it did, and by when it should have."""
        outcome = UNSERVED if first_at is None else KEPT if first_at <= first_end else LATE
        span = int(self.node.now() // SPAN_SECONDS)
        if span not in self.spans:
            self.spans = {n: kept for n, kept in self.spans.items() if n > span - SPANS}
        counts = self.spans.setdefault(span, {})
        counts[class_name, outcome] = counts.get((class_name, outcome), 0) + 1

    def rows(self):
        """Return a row a class: how many were kept, late and unserved, and the share kept."""
        oldest = int(self.node.now() // SPAN_SECONDS) - SPANS
        totals = {}
        for span, counts in self.spans.items():
            for (class_name, outcome), count in counts.items() if span > oldest else ():
                row = totals.setdefault(class_name, {KEPT: 0, LATE: 0, UNSERVED: 0})
                row[outcome] += count
        return [
            {"class": name, **row, "share_kept": round(row[KEPT] / sum(row.values()), 4)}
            for name, row in sorted(totals.items())
        ]
