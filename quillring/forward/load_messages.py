"""Messages with which nodes report their load on replicas to each other."""

from __future__ import annotations

import math
from typing import Any

from quillring.forward.request import PromptPart
from quillring.kernel.errors import BadWire
from quillring.kernel.records import NamedTuple

LOAD_REPORT = "load.report"
"""A node's own load, sent to its zone's representative, or with a long prompt to all its nodes."""
ZONE_LOAD_REPORT = "load.zone"
"""The sum of a zone, sent to its nodes and to one node of each other zone, which forwards it."""
MAX_REPLICAS_PER_REPORT = 10_000


class PromptStart(NamedTuple):
    """The start of a long prompt: it was sent to a replica.

    Parameters
    ----------
    uncached_tokens
        Prompt tokens that the replica has to process.
    parts
        Long shared parts of the prompt, which are in the replica's cache afterwards.
    """

    replica: str
    uncached_tokens: int
    parts: tuple[PromptPart, ...]


class PromptTiming(NamedTuple):
    """The time to first token of a long prompt that did not have to wait."""

    replica: str
    uncached_tokens: int
    seconds: float


class LoadReport(NamedTuple):
    """Requests in flight by replica, and the long prompts since the last report.

    Parameters
    ----------
    source
        Name of the node or zone whose load is reported.
    batch_in_flight
        The batch requests (items of lots) among `in_flight`.
    silent
        Replicas with requests in flight that have recently sent nothing to the source.
    incarnation, sequence
        Order of the reports of one sender. Receivers ignore reports that are not newer.
    """

    source: str
    incarnation: int
    sequence: int
    in_flight: dict[str, int]
    batch_in_flight: dict[str, int]
    silent: list[str]
    starts: list[PromptStart]
    timings: list[PromptTiming]

    def to_wire(self) -> list[Any]:
        """Return the report as a list for CBOR."""
        starts = [
            [start.replica, start.uncached_tokens, [[*part] for part in start.parts]]
            for start in self.starts
        ]
        timings = [[*timing] for timing in self.timings]
        return [
            self.source,
            self.incarnation,
            self.sequence,
            self.in_flight,
            self.batch_in_flight,
            self.silent,
            starts,
            timings,
        ]

    @classmethod
    def from_wire(cls, body: list[Any]) -> LoadReport:
        """Parse the body of a message.

        Raises
        ------
        BadWire
            The message is malformed; no part of it is used.
        """
        try:
            fields: list[Any] = list(body)
            source, incarnation, sequence, in_flight, batch, silent, starts, timings = fields
            starts = [_start_from_wire(row) for row in starts]
            timings = [_timing_from_wire(row) for row in timings]
        except (TypeError, ValueError) as error:
            raise BadWire(reason="load report") from error
        is_valid = (
            isinstance(source, str)
            and _is_count(incarnation)
            and _is_count(sequence)
            and _are_counts(in_flight)
            and _are_counts(batch)
            and isinstance(silent, list)
            and all(isinstance(name, str) for name in silent)
        )
        if not is_valid:
            raise BadWire(reason="load report")
        return cls(source, incarnation, sequence, in_flight, batch, silent, starts, timings)


def _start_from_wire(row: Any) -> PromptStart:
    """Parse a prompt start of a report; raise ValueError or TypeError if it is malformed."""
    replica, uncached_tokens, part_rows = row
    parts = tuple(PromptPart(name, token_count) for name, token_count in part_rows)
    is_valid = (
        isinstance(replica, str)
        and _is_count(uncached_tokens)
        and all(isinstance(part.name, str) and _is_count(part.token_count) for part in parts)
    )
    if not is_valid:
        raise ValueError("malformed prompt start")
    return PromptStart(replica, uncached_tokens, parts)


def _timing_from_wire(row: Any) -> PromptTiming:
    """Parse a prompt timing of a report; raise ValueError or TypeError if it is malformed."""
    replica, uncached_tokens, seconds = row
    is_valid = (
        isinstance(replica, str)
        and _is_count(uncached_tokens)
        and isinstance(seconds, float)
        and 0 < seconds < math.inf
    )
    if not is_valid:
        raise ValueError("malformed prompt timing")
    return PromptTiming(replica, uncached_tokens, seconds)


def _are_counts(value: Any) -> bool:
    """Return whether a value maps a limited number of names to non-negative integers."""
    return (
        isinstance(value, dict)
        and len(value) <= MAX_REPLICAS_PER_REPORT
        and all(isinstance(name, str) and _is_count(count) for name, count in value.items())
    )


def _is_count(value: Any) -> bool:
    """Return whether a value is a non-negative integer."""
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0
