"""Why requests went where they did, and where their time went: a bounded, sampled record.

Off unless the setting `decision_log_ratio` is above 0. The last records are kept in memory for
operators; with logging at level `info` each is also one structured line of the node's log.
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
LARGE_SHARE = 0.5
"""A cause explains a late first token if it took at least this share of the latency goal."""


class DecisionRecord(NamedTuple):
    """One forwarded request: where its last attempt went and why, and where its time went.

    Parameters
    ----------
    reason
        Why that replica: its cached prefix, or the least cost in the own or another zone.
    expected_wait_seconds, uncached_tokens, known_in_flight
        What the node believed of the replica when it sent the request.
    queued_seconds
        From the arrival of the request until a replica was chosen for its last attempt.
    first_token_seconds
        From the arrival until the first token, None if there was none.
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
        """Return why the first token was late, IN_TIME if it was not."""
        large = self.goal_seconds * LARGE_SHARE
        if self.first_token_seconds is not None and self.first_token_seconds <= self.goal_seconds:
            return IN_TIME
        if self.attempts > 1:
            return RETRIED
        if self.queued_seconds >= large:
            return QUEUED_HERE
        if self.expected_wait_seconds >= large:
            return EXPECTED_WAIT
        if self.expected_first_token_seconds >= large:
            return LONG_PROMPT
        return UNEXPECTED_WAIT


class DecisionLog:
    """Keeps the last records of a share of this node's requests."""

    __slots__ = ("node", "ratio", "records")

    def __init__(self, node: Node, ratio: float = 0.0) -> None:
        self.node = node
        self.ratio = ratio
        self.records: deque[DecisionRecord] = deque(maxlen=MAX_RECORDS)

    def is_sampled(self) -> bool:
        """Return whether to record the next request."""
        return self.ratio > 0 and self.node.runtime.random.random() < self.ratio

    def add(self, record: DecisionRecord) -> None:
        """Keep a record, and write it to the log as one JSON object."""
        self.records.append(record)
        fields = {**record._asdict(), "cause": record.cause()}
        self.node.log("info", "decision %s", json.dumps(fields))

    def sums(self) -> list[dict[str, Any]]:
        """Return how many records there are by route, cause and reason, the most first."""
        counts = Counter((r.route, r.cause(), r.reason) for r in self.records)
        return [
            {"route": route, "cause": cause, "reason": reason, "requests": count}
            for (route, cause, reason), count in counts.most_common()
        ]
