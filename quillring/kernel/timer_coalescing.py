"""Timer coalescing: coroutines of a process sleep until common times and share one wake-up.

A wake-up of the process costs as much CPU time as running several coroutines, so sleeps are
aligned to end on a time grid with equal steps. Periods derived from the bounds are multiples of the
step and therefore stay exact. Each process has its own grid origin, so nodes do not wake in step.
"""

from __future__ import annotations

import math

MAX_EARLY_RATIO = 0.25
"""How early a sleep may end, as a share of a step."""


class TimerCoalescer:
    """Aligns the ends of sleeps to a time grid with equal steps.

    Parameters
    ----------
    grid_origin : any point of the grid, as a monotonic time in seconds
    step_seconds : length of a step, in seconds
    """

    __slots__ = ("grid_origin", "step_seconds")

    def __init__(self, grid_origin: float, step_seconds: float) -> None:
        self.grid_origin = grid_origin
        self.step_seconds = step_seconds

    def aligned_seconds(self, now: float, seconds: float) -> float:
        """Return the duration in seconds that moves the end of a sleep to a grid point.

        A sleep shorter than a step is returned unchanged. Any other ends at most MAX_EARLY_RATIO of
        a step early, and less than a step late.
        """
        if seconds < self.step_seconds:
            return seconds
        end_offset = now + seconds - self.grid_origin
        step_index = math.ceil(end_offset / self.step_seconds - MAX_EARLY_RATIO)
        return max(0, self.grid_origin + step_index * self.step_seconds - now)
