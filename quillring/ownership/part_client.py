"""Client of the parts: sends commands and reads to the core that leads a part, with retries."""

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
from quillring.ownership.jitter import MAX_PAUSE_FACTOR, sleep_with_jitter
from quillring.ownership.messages import READ, SUBMIT, LeaderRecord, ReadRequest, SubmitRequest
from quillring.quorum.leader.follower_read import read_from_majority, unwrap_answer
from quillring.quorum.parts import majority

if TYPE_CHECKING:
    from typing import Any, Protocol

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine, WireMap
    from quillring.quorum.values import Group

    class PartDirectory(Protocol):
        """The information about the parts that a client needs."""

        def founding(self) -> WireMap:
            """Return the founding record, or raise NotFounded."""

        def group(self, part: str) -> Group:
            """Return the stores of a part according to the newest gossip received."""

        def candidates(self, part: str) -> list[str]:
            """Return the reachable cores, ranked by preference as leader of the part."""


RETRYABLE_ERRORS = (Fenced, NoMajority, NotLeader, TimedOut, Unreachable)
MAY_HAVE_RUN_ERRORS = (NoMajority, TimedOut)


class PartClient:
    """Finds the leader of a part and calls it, with retries where these are safe."""

    __slots__ = ("node", "directory", "started_at")

    def __init__(self, node: Node, directory: PartDirectory) -> None:
        self.node = node
        self.directory = directory
        self.started_at = node.now()

    def submit(self, part: str, command: WireMap, seconds: float | None = None) -> Coroutine:
        """Commit a command at the core that leads the part.

        The command must have an id, as it may be sent more than once. Takes at most `seconds`, by
        default twice `bounds.propagation`. Raises OutcomeUnknown if the command may have been
        committed, Refused if it was not, NotFounded, or the command's own error.
        """
        body = SubmitRequest(part, command).to_wire()
        return self.call_leader(part, SUBMIT, body, seconds)

    def read(self, part: str, query: WireMap, seconds: float | None = None) -> Coroutine:
        """Read a part's state from its leader or, if that fails, from a majority of its stores.

        Takes at most `seconds`, by default twice `bounds.propagation`. Raises Refused on a timeout
        or when the part is unavailable, NotFounded, or the query's own error.
        """
        bounds = self.node.bounds
        last_error: QuillringError = NotLeader(part=part)
        deadline = self.node.now() + (bounds.propagation * 2 if seconds is None else seconds)
        while self.node.now() < deadline:
            unavailability = self.why_unavailable(part)
            if unavailability is not None:
                raise Refused(reason=unavailability.kind, part=part)
            for core in self._call_targets(part)[:1]:
                try:
                    body = ReadRequest(part, query).to_wire()
                    seconds = min(bounds.read_timeout / 2, deadline - self.node.now())
                    answer = yield from self.node.call(core, READ, body, seconds)
                    return answer
                except RETRYABLE_ERRORS as error:
                    last_error = error
            seconds = min(bounds.read_timeout / 2, deadline - self.node.now())
            if seconds > 0:
                group = self.directory.group(part)
                known = yield from read_from_majority(self.node, part, group, query, seconds)
                if known is not None:
                    self.node.count("peeks")
                    return unwrap_answer(known)
            yield from self._pause_before_retry(deadline)
        raise Refused(reason=last_error.kind, part=part)

    def call_leader(
        self, part: str, service: str, body: WireMap, seconds: float | None
    ) -> Coroutine:
        """Call a service of the core that leads the part, with retries at other candidates.

        Takes at most `seconds`, by default twice `bounds.propagation`. Once an attempt to submit a
        command may have run, only a success or a final error of a later attempt is conclusive;
        otherwise OutcomeUnknown is raised, as the earlier attempt may still take effect. Raises
        Refused when no attempt can have run, NotFounded, or the service's own error.
        """
        bounds = self.node.bounds
        deadline = self.node.now() + (bounds.propagation * 2 if seconds is None else seconds)
        self.directory.founding()
        request = {"part": part, **body}
        last_error: QuillringError = NotLeader(part=part)
        attempts, may_have_run = 0, False
        while self.node.now() < deadline:
            unavailability = self.why_unavailable(part)
            if unavailability is not None:
                last_error = unavailability
                break
            targets = self._call_targets(part)
            if targets:
                target = targets[attempts % len(targets)]
                call_seconds = min(bounds.propagation, deadline - self.node.now())
                try:
                    answer = yield from self.node.call(target, service, request, call_seconds)
                    return answer
                except RETRYABLE_ERRORS as error:
                    last_error = error
                    if service == SUBMIT and isinstance(error, MAY_HAVE_RUN_ERRORS):
                        may_have_run = True
                except QuillringError as error:
                    if may_have_run and not error.is_final:
                        raise outcome_unknown(part) from error
                    raise
            attempts += 1
            yield from self._pause_before_retry(deadline)
        if may_have_run:
            raise outcome_unknown(part)
        raise Refused(reason=last_error.kind, part=part)

    def why_unavailable(self, part: str) -> QuillringError | None:
        """Return the error that describes why the part can have no leader, or None if it can.

        NoMajority: fewer than a majority of its stores are reachable; Unreachable: no core is
        reachable. Always None in the first `bounds.propagation` seconds after the start, when this
        node may not have received a heartbeat from the other nodes yet.
        """
        if self.node.now() - self.started_at < self.node.bounds.propagation:
            return None
        graph, group = self.node.find("nifty").graph, self.directory.group(part)
        reachable_names = [store.name for store in group if store.name in graph.reachable()]
        if len(reachable_names) < majority(group):
            return NoMajority(part=part, heard=sorted(reachable_names))
        return None if self.directory.candidates(part) else Unreachable(part=part)

    def known_leader(self, part: str) -> str | None:
        """Return the core that leads a part according to the newest gossip, or None."""
        fields: Any = self.node.find("gossip").get(f"owner/{part}")
        return LeaderRecord.from_wire(fields).leader if fields else None

    def _pause_before_retry(self, deadline: float) -> Coroutine:
        """Pause for a quarter of a heartbeat interval with jitter, at most until `deadline`."""
        remaining_seconds = deadline - self.node.now()
        seconds = min(self.node.bounds.heartbeat_interval / 4, remaining_seconds / MAX_PAUSE_FACTOR)
        if seconds > 0:
            yield from sleep_with_jitter(self.node, seconds)

    def _call_targets(self, part: str) -> list[str]:
        """Return the part's known leader, if it is a candidate, then the first two candidates."""
        candidates = self.directory.candidates(part)
        leader = self.known_leader(part)
        known_leaders = [leader] if leader is not None and leader in candidates else []
        return [*known_leaders, *(name for name in candidates[:2] if name not in known_leaders)]


def outcome_unknown(part: str) -> OutcomeUnknown:
    """Return the error for a command that may or may not have been committed."""
    return OutcomeUnknown(part=part, reason="repeat it under the same key or id")
