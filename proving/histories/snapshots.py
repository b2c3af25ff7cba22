"""What nodes hold and serve: a configuration never goes back, and fresh nodes are not behind."""

import bisect

from proving.histories.operations import Adopt, Done

NEWS_SECONDS = 2.0


def check_snapshots(history):
    """Return the faults of the configurations that nodes held, as texts."""
    faults, latest = [], {}
    ends, highest = acknowledged(history)
    for snapshot in history.snapshots:
        life = (snapshot.node, snapshot.incarnation)
        former = latest.get(life)
        if former is not None and (snapshot.index, snapshot.number) < (former.index, former.number):
            faults.append(
                f"{snapshot.node} went back from {former.number} at {former.at:.2f} "
                f"to {snapshot.number} at {snapshot.at:.2f}"
            )
        latest[life] = snapshot
        place = bisect.bisect_left(ends, snapshot.at - NEWS_SECONDS)
        due = highest[place - 1] if place else 0
        if snapshot.is_fresh and snapshot.number < due:
            faults.append(
                f"{snapshot.node} counts as fresh with {snapshot.number} at {snapshot.at:.2f}, "
                f"{due} was acknowledged more than {NEWS_SECONDS} s before"
            )
    return faults


def acknowledged(history):
    """Return the times of acknowledged changes in order, and the highest number by each."""
    pairs = sorted(
        (operation.end, operation.order.number)
        for operation in history.operations
        if isinstance(operation.order, Adopt) and isinstance(operation.answer, Done)
    )
    highest, top = [], 0
    for _, number in pairs:
        top = max(top, number)
        highest.append(top)
    return [end for end, _ in pairs], highest
