"""Checks that nodes never go back to an older configuration and are current if they are fresh."""

import bisect

from proving.histories.operations import Adopt, Done

MAX_STALENESS_SECONDS = 2.0


def check_snapshots(history):
    """Return descriptions of violations in the recorded snapshots of the nodes.

    A process must not replace its configuration by an older one. A node that counts as fresh must
    have every change that was acknowledged more than MAX_STALENESS_SECONDS before.
    """
    violations, latest = [], {}
    end_times, highest_numbers = acknowledged_numbers(history)
    for snapshot in history.snapshots:
        process = (snapshot.node, snapshot.incarnation)
        previous = latest.get(process)
        if previous is not None and (snapshot.index, snapshot.number) < (
            previous.index,
            previous.number,
        ):
            violations.append(
                f"{snapshot.node} went back from configuration {previous.number} at "
                f"{previous.at:.2f} s to {snapshot.number} at {snapshot.at:.2f} s"
            )
        latest[process] = snapshot
        count = bisect.bisect_left(end_times, snapshot.at - MAX_STALENESS_SECONDS)
        required = highest_numbers[count - 1] if count else 0
        if snapshot.is_fresh and snapshot.number < required:
            violations.append(
                f"{snapshot.node} counts as fresh with configuration {snapshot.number} at "
                f"{snapshot.at:.2f} s, but {required} was acknowledged more than "
                f"{MAX_STALENESS_SECONDS} s before"
            )
    return violations


def acknowledged_numbers(history):
    """Return the sorted times of acknowledged changes, and the highest number by each of them."""
    pairs = sorted(
        (operation.end, operation.order.number)
        for operation in history.operations
        if isinstance(operation.order, Adopt) and isinstance(operation.answer, Done)
    )
    highest_numbers, highest = [], 0
    for _, number in pairs:
        highest = max(highest, number)
        highest_numbers.append(highest)
    return [end for end, _ in pairs], highest_numbers
