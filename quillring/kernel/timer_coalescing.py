"""Timer coalescing: sleeping coroutines of a process wake at common times, to share one wake.

Each wake of the process costs as much as several coroutines do. Sleeps end on a grid of equal
steps. The periods of the bounds are whole numbers of steps, so that they stay what they are; each
process has a grid of its own, so that nodes do not act in unison.
"""

from __future__ import annotations

import math

EARLY_SHARE = 0.25


class TimerCoalescer:
    """Aligns sleeps to a grid of equal steps.

    Parameters
    ----------
    start : a time on the grid, in seconds
    seconds : length of a step
    """

    __slots__ = ("start", "seconds")

    def __init__(self, start: float, seconds: float) -> None:
        self.start = start
        self.seconds = seconds

    def aligned_seconds(self, now: float, seconds: float) -> float:
        """Return how many seconds to sleep instead: to the first step that is not too early.

        A sleep of less than a step stays as it is. Any other ends at most a quarter of a step
        before its time, and less than a step after it.
        """
        if seconds < self.seconds:
            return seconds
        end = now + seconds - self.start
        number = math.ceil(end / self.seconds - EARLY_SHARE)
        return max(0, self.start + number * self.seconds - now)
