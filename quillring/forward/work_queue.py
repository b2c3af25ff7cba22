"""Estimates of processing time: the prompt queue of a replica, and the speed of a service.

Replicas process prompts in the order of arrival, some tokens at a time. The queue of a replica is
modelled by the unfinished work (virtual work) of a single-server queue, which drains as time
passes. The work of a prompt is learned from the time to first token of earlier prompts.
"""

from __future__ import annotations

MIN_SECONDS_PER_TOKEN, MAX_SECONDS_PER_TOKEN = 1e-7, 1e-3
MAX_SECONDS_PER_PROMPT = 60.0
SAMPLE_DECAY = 0.97
"""Factor by which each new sample of a service reduces the weight of the earlier ones."""
PRIOR_PROMPTS = ((4_000, 0.04), (32_000, 0.32))
"""Tokens and seconds of the samples from which each estimate starts."""
SLOWDOWN_SAMPLE_WEIGHT = 0.25
"""Weight of one sample in the moving average of a replica's slowdown."""
MIN_SLOWDOWN, MAX_SLOWDOWN = 0.25, 20.0
PRIOR_REQUEST_SECONDS = 0.5
REQUEST_SECONDS_SAMPLE_WEIGHT = 0.05
"""Weight of one sample in the moving average of the duration of requests."""


class PromptCost:
    """Model of the seconds that the replicas of a service need for a prompt of some tokens.

    The seconds are `linear * tokens + quadratic * tokens**2`, because each token attends to all
    tokens before it. The coefficients are a least-squares fit in which older samples weigh less.
    """

    __slots__ = ("moments", "products", "linear", "quadratic")

    def __init__(self) -> None:
        self.moments = (0.0, 0.0, 0.0)
        self.products = (0.0, 0.0)
        self.linear = self.quadratic = 0.0
        for token_count, seconds in PRIOR_PROMPTS:
            self.record(token_count, seconds)

    def record(self, token_count: int, seconds: float) -> None:
        """Add the time to first token of a prompt that did not have to wait, and fit again."""
        tokens = token_count / 1000
        seconds = min(MAX_SECONDS_PER_PROMPT, seconds)
        squares, cubes, fourths = (SAMPLE_DECAY * moment for moment in self.moments)
        by_tokens, by_squares = (SAMPLE_DECAY * product for product in self.products)
        # Weighted by 1 / tokens: relative errors of short and long prompts count equally.
        self.moments = (squares + tokens, cubes + tokens**2, fourths + tokens**3)
        self.products = (by_tokens + seconds, by_squares + seconds * tokens)
        self._fit()

    def _fit(self) -> None:
        """Solve the normal equations; use a proportional cost if a coefficient is out of range."""
        squares, cubes, fourths = self.moments
        by_tokens, by_squares = self.products
        determinant = squares * fourths - cubes**2
        linear = quadratic = -1.0
        if determinant > 1e-9 * squares * fourths:
            linear = (by_tokens * fourths - by_squares * cubes) / determinant
            quadratic = (by_squares * squares - by_tokens * cubes) / determinant
        if linear <= 0 or quadratic < 0:
            linear, quadratic = by_tokens / squares, 0.0
        per_token = linear / 1000
        self.linear = min(MAX_SECONDS_PER_TOKEN, max(MIN_SECONDS_PER_TOKEN, per_token))
        self.quadratic = quadratic / 1e6

    def seconds(self, token_count: int) -> float:
        """Return the expected seconds for a number of tokens on a replica of usual speed."""
        seconds = self.linear * token_count + self.quadratic * token_count**2
        return min(MAX_SECONDS_PER_PROMPT, seconds)


class ServiceSpeed:
    """Speed of the replicas of a service, learned from requests of this node and its peers."""

    __slots__ = ("prompt_cost", "request_seconds")

    def __init__(self) -> None:
        self.prompt_cost = PromptCost()
        self.request_seconds = PRIOR_REQUEST_SECONDS

    def record_request(self, seconds: float) -> None:
        """Add the duration of a complete request to the moving average."""
        seconds = min(MAX_SECONDS_PER_PROMPT, max(0.0, seconds))
        self.request_seconds += REQUEST_SECONDS_SAMPLE_WEIGHT * (seconds - self.request_seconds)


class WorkQueue:
    """Estimated unfinished work of one replica: the prompts that it has yet to process.

    Attributes
    ----------
    busy_until
        Time, on this node's clock, at which the replica is expected to have processed them all.
    total_added_seconds
        Total of the work ever added. At the first token of a request, only the work added after
        that request remains.
    slowdown
        Processing time of the replica, divided by that of a replica of usual speed.
    """

    __slots__ = ("busy_until", "total_added_seconds", "slowdown")

    def __init__(self) -> None:
        self.busy_until = 0.0
        self.total_added_seconds = 0.0
        self.slowdown = 1.0

    def wait_seconds(self, now: float) -> float:
        """Return how long a prompt that arrives now is expected to wait."""
        return max(0.0, self.busy_until - now)

    def add(self, seconds: float, now: float) -> None:
        """Add the work of one prompt."""
        self.busy_until = max(now, self.busy_until) + seconds
        self.total_added_seconds += seconds

    def cancel(self, seconds: float, now: float) -> None:
        """Remove the work of a prompt that the replica will not process."""
        self.busy_until = max(now, self.busy_until - seconds)

    def correct_at_first_token(self, added_seconds_at_start: float, now: float) -> None:
        """Set the work to that added after a request, since its first token has arrived."""
        self.busy_until = now + max(0.0, self.total_added_seconds - added_seconds_at_start)

    def record_slowdown(self, ratio: float) -> None:
        """Add a sample: the time that a prompt took, divided by the usual time for it."""
        ratio = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, ratio))
        self.slowdown += SLOWDOWN_SAMPLE_WEIGHT * (ratio - self.slowdown)
