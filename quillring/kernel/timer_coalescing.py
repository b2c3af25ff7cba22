"""Timer coalescing: coroutines of a process sleep until common times and share one wake-up.

Each wake-up of the process costs as much as running several coroutines. Sleeps end on a grid of
equal steps. The periods of the bounds are multiples of the step, so that they stay exact; each
process has its own grid, so that nodes are not synchronized.
"""

from __future__ import annotations

import math

EARLY_SHARE = 0.25


class TimerCoalescer:
    """Aligns sleeps to a grid of equal steps.

    Parameters
    ----------
    start : a time on the grid, in seconds
    seconds : length of a step, in seconds
    """

    __slots__ = ("start", "seconds")

    def __init__(self, start: float, seconds: float) -> None:
        self.start = start
        self.seconds = seconds

    def aligned_seconds(self, now: float, seconds: float) -> float:
        """Return the seconds to sleep instead, up to the first step that is not too early.

        A sleep of less than a step stays as it is. Any other ends at most a quarter of a step
        before its time, and less than a step after it.
        """
        if seconds < self.seconds:
            return seconds
        end = now + seconds - self.start
        number = math.ceil(end / self.seconds - EARLY_SHARE)
        return max(0, self.start + number * self.seconds - now)
