"""Client of a part: routes commands and reads to the core that leads it, with retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import (
    Fenced,
    NoMajority,
    NotLeader,
    OutcomeUnknown,
    QuillringError,
    Refused,
    TimedOut,
    Unreachable,
)
from quillring.ownership.jitter import LONGEST_SHARE, sleep_with_jitter
from quillring.ownership.messages import READ, SUBMIT, LeaderRecord, ReadRequest, SubmitRequest
from quillring.quorum.leader.follower_read import read_from_majority, unwrap_answer
from quillring.quorum.parts import majority

if TYPE_CHECKING:
    from typing import Any, Protocol

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine, WireMap
    from quillring.quorum.values import Group

    class PartDirectory(Protocol):
        """What a client looks up about the parts."""

        def founding(self) -> WireMap:
            """Return the founding record, or raise NotFounded."""

        def group(self, part: str) -> Group:
            """Return the stores of a part by the newest gossip received."""

        def candidates(self, part: str) -> list[str]:
            """Return the reachable cores, the preferred leader of the part first."""


TRY_ANOTHER_CORE = (Fenced, NoMajority, NotLeader, TimedOut, Unreachable)
MAY_HAVE_RUN = (NoMajority, TimedOut)


class PartClient:
    """Finds a part's leader, and retries calls for which that is safe."""

    __slots__ = ("node", "directory", "started_at")

    def __init__(self, node: Node, directory: PartDirectory) -> None:
        self.node = node
        self.directory = directory
        self.started_at = node.now()

    def submit(self, part: str, command: WireMap, seconds: float | None = None) -> Coroutine:
        """Commit a command at the core that leads the part; it must carry an id, as it is retried.

        Takes `seconds` at most, by default twice `bounds.propagation`. Raises OutcomeUnknown if the
        command may have been committed, Refused if it was not, NotFounded, or the command's error.
        """
        body = SubmitRequest(part, command).to_wire()
        return self.call_leader(part, SUBMIT, body, seconds)

    def read(self, part: str, query: WireMap, seconds: float | None = None) -> Coroutine:
        """Read a part's state from its leader, or else from a majority of its stores.

        Takes `seconds` at most, by default twice `bounds.propagation`. Raises Refused when no
        answer came in that time or none can come, NotFounded, or the query's own error.
        """
        bounds = self.node.bounds
        last_error: QuillringError = NotLeader(part=part)
        end_time = self.node.now() + (bounds.propagation * 2 if seconds is None else seconds)
        while self.node.now() < end_time:
            unavailability = self.why_unavailable(part)
            if unavailability is not None:
                raise Refused(reason=unavailability.kind, part=part)
            for core in self._call_targets(part)[:1]:
                try:
                    body = ReadRequest(part, query).to_wire()
                    seconds = min(bounds.read_timeout / 2, end_time - self.node.now())
                    answer = yield from self.node.call(core, READ, body, seconds)
                    return answer
                except TRY_ANOTHER_CORE as error:
                    last_error = error
            seconds = min(bounds.read_timeout / 2, end_time - self.node.now())
            if seconds > 0:
                group = self.directory.group(part)
                known = yield from read_from_majority(self.node, part, group, query, seconds)
                if known is not None:
                    self.node.count("peeks")
                    return unwrap_answer(known)
            yield from self._pause_before_retry(end_time)
        raise Refused(reason=last_error.kind, part=part)

    def call_leader(
        self, part: str, service: str, body: WireMap, seconds: float | None
    ) -> Coroutine:
        """Call a service of the core that leads the part, with retries at other candidates.

        Takes `seconds` at most, by default twice `bounds.propagation`. Once an attempt to submit a
        command may have run, only success or a final error of a later attempt settles the outcome;
        anything else raises OutcomeUnknown, as the earlier attempt may still take effect. Raises
        Refused when no attempt can have run, NotFounded, or the service's own error.
        """
        bounds = self.node.bounds
        end_time = self.node.now() + (bounds.propagation * 2 if seconds is None else seconds)
        self.directory.founding()
        request = {"part": part, **body}
        last_error: QuillringError = NotLeader(part=part)
        attempts, may_have_run = 0, False
        while self.node.now() < end_time:
            unavailability = self.why_unavailable(part)
            if unavailability is not None:
                last_error = unavailability
                break
            targets = self._call_targets(part)
            if targets:
                target = targets[attempts % len(targets)]
                call_seconds = min(bounds.propagation, end_time - self.node.now())
                try:
                    answer = yield from self.node.call(target, service, request, call_seconds)
                    return answer
                except TRY_ANOTHER_CORE as error:
                    last_error = error
                    if service == SUBMIT and isinstance(error, MAY_HAVE_RUN):
                        may_have_run = True
                except QuillringError as error:
                    if may_have_run and not error.is_final:
                        raise outcome_unknown(part) from error
                    raise
            attempts += 1
            yield from self._pause_before_retry(end_time)
        if may_have_run:
            raise outcome_unknown(part)
        raise Refused(reason=last_error.kind, part=part)

    def why_unavailable(self, part: str) -> QuillringError | None:
        """Return why no reachable core can lead the part, or None.

        NoMajority: fewer than a majority of its stores are reachable; Unreachable: no core is.
        None during the first `bounds.propagation` seconds, when this node may not yet have received
        a heartbeat from the others.
        """
        if self.node.now() - self.started_at < self.node.bounds.propagation:
            return None
        graph, group = self.node.find("nifty").graph, self.directory.group(part)
        reached = [store.name for store in group if store.name in graph.reachable()]
        if len(reached) < majority(group):
            return NoMajority(part=part, heard=sorted(reached))
        return None if self.directory.candidates(part) else Unreachable(part=part)

    def known_leader(self, part: str) -> str | None:
        """Return the core that leads a part by the newest gossip received, or None."""
        fields: Any = self.node.find("gossip").get(f"owner/{part}")
        return LeaderRecord.from_wire(fields).leader if fields else None

    def _pause_before_retry(self, end_time: float) -> Coroutine:
        """Pause between two attempts: a quarter of a heartbeat with jitter, within the deadline."""
        longest_seconds = end_time - self.node.now()
        seconds = min(self.node.bounds.heartbeat_interval / 4, longest_seconds / LONGEST_SHARE)
        if seconds > 0:
            yield from sleep_with_jitter(self.node, seconds)

    def _call_targets(self, part: str) -> list[str]:
        """Return the known leader of the part, if it is a candidate, then the first candidates."""
        candidates = self.directory.candidates(part)
        leader = self.known_leader(part)
        first_targets = [leader] if leader is not None and leader in candidates else []
        return [*first_targets, *(name for name in candidates[:2] if name not in first_targets)]


def outcome_unknown(part: str) -> OutcomeUnknown:
    """Return the error for a command that may or may not have been committed."""
    return OutcomeUnknown(part=part, reason="repeat it under the same key or id")
