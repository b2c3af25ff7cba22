"""Anti-entropy: followers that lag are brought up to date one at a time, with backoff.

The term is from Demers et al., "Epidemic algorithms for replicated database maintenance", 1987.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import QuillringError
from quillring.kernel.records import NamedTuple
from quillring.quorum.messages import CommitRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from quillring.kernel.types import Coroutine
    from quillring.quorum.leader.catch_up import FollowerCatchUp
    from quillring.quorum.leader.quorum_call import QuorumCaller
    from quillring.quorum.leader.state_machine import StateMachine
    from quillring.quorum.values import GroupMember


class Backoff(NamedTuple):
    """The pause after a follower's failed catch-up: its end, by the node's clock, and length."""

    until: float
    seconds: float


class AntiEntropy:
    """Finds the followers that lag and has them catch up, during one term.

    Owns the backoff of each follower: it begins at half a heartbeat interval and doubles up to
    twice `bounds.propagation`. `target` is the follower that is being brought up to date.
    """

    __slots__ = ("caller", "machine", "catch_up", "is_leader", "target", "is_busy", "backoffs")

    def __init__(
        self,
        caller: QuorumCaller,
        machine: StateMachine,
        catch_up: FollowerCatchUp,
        is_leader: Callable[[], bool],
    ) -> None:
        self.caller = caller
        self.machine = machine
        self.catch_up = catch_up
        self.is_leader = is_leader
        self.target: str | None = None
        self.is_busy = False
        self.backoffs: dict[str, Backoff] = {}

    def run(self) -> Coroutine:
        """Repair the followers twice per heartbeat interval while the term lasts."""
        while self.is_leader():
            yield Sleep(self.caller.node.bounds.heartbeat_interval / 2)
            yield from self.repair_followers()

    def repair_followers(self) -> Coroutine:
        """Bring reachable followers up to date; return at once if that is under way."""
        if self.is_busy:
            return
        self.is_busy = True
        try:
            yield from self._repair_late()
        finally:
            self.is_busy, self.target = False, None

    def applied_index_by_store(self) -> Coroutine:
        """Send reachable followers the committed index; return {store: the index it applied}.

        A follower that does not reply is left out.
        """
        node = self.caller.node
        reaches = node.find("nifty").reaches
        commits = self.caller.calls(CommitRequest, committed=self.machine.last_applied)
        calls = [call for call in commits if reaches(call[0])]
        replies = yield from node.gather(calls, len(calls))
        return {t: r for t, r in replies.items() if not isinstance(r, QuillringError)}

    def _repair_late(self) -> Coroutine:
        index = self.machine.last_applied
        applied = yield from self.applied_index_by_store()
        for member in self.caller.group:
            is_late = applied.get(member.name, index) < index
            if not (is_late and self.is_leader()) or self._is_backing_off(member):
                continue
            self.target = member.name
            try:
                yield from self.catch_up.send_missing(member, applied[member.name])
                self.backoffs.pop(member.name, None)
            except QuillringError as error:
                self._back_off(member, error)

    def _is_backing_off(self, member: GroupMember) -> bool:
        backoff = self.backoffs.get(member.name)
        return backoff is not None and self.caller.node.now() < backoff.until

    def _back_off(self, member: GroupMember, error: QuillringError) -> None:
        node, former = self.caller.node, self.backoffs.get(member.name)
        seconds = node.bounds.heartbeat_interval / 2 if former is None else former.seconds * 2
        seconds = min(seconds, node.bounds.propagation * 2)
        self.backoffs[member.name] = Backoff(node.now() + seconds, seconds)
        node.log("warning", "catch-up of %s in %s: %s", member.name, self.caller.part, error)
