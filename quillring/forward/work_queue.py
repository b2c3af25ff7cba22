"""Estimates of how long replicas need: the queue of one replica, and the speed of a service.

Replicas process prompts in the order of arrival, some tokens at a time. The queue of a replica is
modelled as work that drains while time passes: the virtual work (unfinished work) of a queue with
one server. How much work a prompt is, is learnt from the time to first token of those sent before.
"""

from __future__ import annotations

MIN_SECONDS_PER_TOKEN, MAX_SECONDS_PER_TOKEN = 1e-7, 1e-3
MAX_SECONDS_PER_PROMPT = 60.0
SAMPLE_DECAY = 0.97
"""A sample of a service counts for so much less with each one after it."""
PRIOR_PROMPTS = ((4_000, 0.04), (32_000, 0.32))
"""Tokens and seconds of the prompts that an estimate starts from."""
SPEED_WEIGHT = 0.25
"""Weight of one sample in the moving average of a replica's speed."""
MIN_SLOWNESS, MAX_SLOWNESS = 0.25, 20.0
PRIOR_REQUEST_SECONDS = 0.5
REQUEST_SECONDS_WEIGHT = 0.05
"""Weight of one sample in the moving average of the duration of requests."""


class PromptCost:
    """Seconds that the replicas of a service need for a prompt, by its tokens.

    The seconds are `linear * tokens + quadratic * tokens**2`, as each token attends to all before
    it: a least-squares fit over the samples, the older ones with less weight.
    """

    __slots__ = ("moments", "products", "linear", "quadratic")

    def __init__(self) -> None:
        self.moments = (0.0, 0.0, 0.0)
        self.products = (0.0, 0.0)
        self.linear = self.quadratic = 0.0
        for token_count, seconds in PRIOR_PROMPTS:
            self.record(token_count, seconds)

    def record(self, token_count: int, seconds: float) -> None:
        """Record the time to first token of a prompt that did not have to wait."""
        tokens = token_count / 1000
        seconds = min(MAX_SECONDS_PER_PROMPT, seconds)
        squares, cubes, fourths = (SAMPLE_DECAY * moment for moment in self.moments)
        by_tokens, by_squares = (SAMPLE_DECAY * product for product in self.products)
        # Weighted by 1 / tokens: the relative errors of short and of long prompts count alike.
        self.moments = (squares + tokens, cubes + tokens**2, fourths + tokens**3)
        self.products = (by_tokens + seconds, by_squares + seconds * tokens)
        self._fit()

    def _fit(self) -> None:
        """Solve the normal equations; fall back to a proportional cost outside of the bounds."""
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
        """Return the seconds expected for so many tokens, on a replica of usual speed."""
        seconds = self.linear * token_count + self.quadratic * token_count**2
        return min(MAX_SECONDS_PER_PROMPT, seconds)


class ServiceSpeed:
    """How fast the replicas of a service are, learnt from requests of this node and its peers."""

    __slots__ = ("prompt_cost", "request_seconds")

    def __init__(self) -> None:
        self.prompt_cost = PromptCost()
        self.request_seconds = PRIOR_REQUEST_SECONDS

    def record_request(self, seconds: float) -> None:
        """Record how long a complete request took."""
        seconds = min(MAX_SECONDS_PER_PROMPT, max(0.0, seconds))
        self.request_seconds += REQUEST_SECONDS_WEIGHT * (seconds - self.request_seconds)


class WorkQueue:
    """The prompts that one replica is believed to still have to process.

    Attributes
    ----------
    busy_until
        When the replica is expected to have processed all of them, in seconds of this node.
    added_seconds
        All work ever added. The work added after a request is what remains at its first token.
    slowness
        Seconds that the replica needs for what takes a replica of usual speed one second.
    """

    __slots__ = ("busy_until", "added_seconds", "slowness")

    def __init__(self) -> None:
        self.busy_until = 0.0
        self.added_seconds = 0.0
        self.slowness = 1.0

    def wait_seconds(self, now: float) -> float:
        """Return how long a prompt that arrives now is expected to wait."""
        return max(0.0, self.busy_until - now)

    def add(self, seconds: float, now: float) -> None:
        """Add the work of one prompt."""
        self.busy_until = max(now, self.busy_until) + seconds
        self.added_seconds += seconds

    def cancel(self, seconds: float, now: float) -> None:
        """Remove the work of a prompt that the replica will not process."""
        self.busy_until = max(now, self.busy_until - seconds)

    def complete(self, added_seconds_at_start: float, now: float) -> None:
        """Correct the estimate at a first token: only work added after that request is left."""
        self.busy_until = now + max(0.0, self.added_seconds - added_seconds_at_start)

    def record_slowness(self, ratio: float) -> None:
        """Record the time that a prompt took, divided by the time that is usual for it."""
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
        self.slowness += SPEED_WEIGHT * (ratio - self.slowness)
