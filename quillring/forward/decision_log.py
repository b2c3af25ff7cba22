"""Sampled log of load-balancing decisions, with the time that each request took.

Disabled unless the setting `decision_log_ratio` is above 0. The last MAX_RECORDS records are kept
in memory for operators. At log level `info`, each is also written to the node's log as JSON.
"""

from __future__ import annotations

import json
from collections import Counter, deque
from typing import TYPE_CHECKING

from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.node import Node

MAX_RECORDS = 2000
CACHED_PREFIX = "cached_prefix"
OWN_ZONE = "own_zone"
OTHER_ZONE = "other_zone"
NOT_PLACED = "not_placed"
IN_TIME = "in_time"
LATE_CAUSES = ("queued_here", "retried", "expected_wait", "long_prompt", "unexpected_wait")
QUEUED_HERE, RETRIED, EXPECTED_WAIT, LONG_PROMPT, UNEXPECTED_WAIT = LATE_CAUSES
MIN_CAUSE_SHARE = 0.5
"""A delay of at least this share of the latency goal counts as the cause of a late first token."""


class DecisionRecord(NamedTuple):
    """One forwarded request: the replica of its last attempt, why it was chosen, and the timing.

    Parameters
    ----------
    reason
        Why the replica was chosen: its cached prefix, or the lowest cost in this node's zone or
        in another zone; NOT_PLACED if no replica was chosen.
    expected_wait_seconds, uncached_tokens, known_in_flight
        The node's estimates for the replica when it sent the request.
    queued_seconds
        Time from the arrival of the request to the start of its last attempt.
    first_token_seconds
        Time from the arrival to the first token; None if there was none.
    goal_seconds
        The latency goal of the route.
    """

    route: str
    reason: str
    replica: str | None
    replica_zone: str | None
    prompt_tokens: int
    uncached_tokens: int
    known_in_flight: int
    expected_wait_seconds: float
    expected_first_token_seconds: float
    queued_seconds: float
    first_token_seconds: float | None
    total_seconds: float
    goal_seconds: float
    attempts: int

    def cause(self) -> str:
        """Return why the first token was late, or IN_TIME if it was not."""
        min_cause_seconds = self.goal_seconds * MIN_CAUSE_SHARE
        if self.first_token_seconds is not None and self.first_token_seconds <= self.goal_seconds:
            return IN_TIME
        if self.attempts > 1:
            return RETRIED
        if self.queued_seconds >= min_cause_seconds:
            return QUEUED_HERE
        if self.expected_wait_seconds >= min_cause_seconds:
            return EXPECTED_WAIT
        if self.expected_first_token_seconds >= min_cause_seconds:
            return LONG_PROMPT
        return UNEXPECTED_WAIT


class DecisionLog:
    """Stores the most recent records of a random sample of this node's requests."""

    __slots__ = ("node", "ratio", "records")

    def __init__(self, node: Node, ratio: float = 0.0) -> None:
        self.node = node
        self.ratio = ratio
        self.records: deque[DecisionRecord] = deque(maxlen=MAX_RECORDS)

    def should_sample(self) -> bool:
        """Decide at random whether to record the next request."""
        return self.ratio > 0 and self.node.runtime.random.random() < self.ratio

    def add(self, record: DecisionRecord) -> None:
        """Store a record and write it to the node's log as one JSON object."""
        self.records.append(record)
        fields = {**record._asdict(), "cause": record.cause()}
        self.node.log("info", "decision %s", json.dumps(fields))

    def count_by_cause(self) -> list[dict[str, Any]]:
        """Return the number of records by route, cause and reason, in descending order."""
        counts = Counter((r.route, r.cause(), r.reason) for r in self.records)
        return [
            {"route": route, "cause": cause, "reason": reason, "requests": count}
            for (route, cause, reason), count in counts.most_common()
        ]
