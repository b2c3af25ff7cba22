"""Anti-entropy: finds followers that lag and brings them up to date one at a time, with backoff.

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
    """The delay before the next attempt after a follower's failed catch-up.

    `until` is its end in seconds of the node's clock, `seconds` its length.
    """

    until: float
    seconds: float


class AntiEntropy:
    """Finds the followers that lag during one term, and brings them up to date.

    Owns `backoffs`, the retry delay of each follower whose catch-up failed: it starts at half a
    heartbeat interval and doubles up to twice `bounds.propagation`. `target` is the name of the
    follower that is being brought up to date, or None.
    """

    __slots__ = ("caller", "machine", "catch_up", "is_leader", "target", "is_repairing", "backoffs")

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
        self.is_repairing = False
        self.backoffs: dict[str, Backoff] = {}

    def run(self) -> Coroutine:
        """Run a repair twice per heartbeat interval until the term ends."""
        while self.is_leader():
            yield Sleep(self.caller.node.bounds.heartbeat_interval / 2)
            yield from self.repair_followers()

    def repair_followers(self) -> Coroutine:
        """Bring reachable followers up to date; does nothing if a repair is already running.

        A follower in backoff is skipped; a failed catch-up is logged, not raised.
        """
        if self.is_repairing:
            return
        self.is_repairing = True
        try:
            yield from self._repair_lagging()
        finally:
            self.is_repairing, self.target = False, None

    def applied_index_by_store(self) -> Coroutine:
        """Send the committed index to reachable followers; return {store name: its applied index}.

        A follower that does not reply, or replies an error, is left out.
        """
        node = self.caller.node
        reaches = node.find("nifty").reaches
        commits = self.caller.calls(CommitRequest, committed=self.machine.last_applied)
        calls = [call for call in commits if reaches(call[0])]
        replies = yield from node.gather(calls, len(calls))
        return {n: r for n, r in replies.items() if not isinstance(r, QuillringError)}

    def _repair_lagging(self) -> Coroutine:
        """Send each lagging follower that is not in backoff the entries that it lacks."""
        index = self.machine.last_applied
        applied = yield from self.applied_index_by_store()
        for member in self.caller.group:
            is_lagging = applied.get(member.name, index) < index
            if not (is_lagging and self.is_leader()) or self._is_backing_off(member):
                continue
            self.target = member.name
            try:
                yield from self.catch_up.send_missing(member, applied[member.name])
                self.backoffs.pop(member.name, None)
            except QuillringError as error:
                self._back_off(member, error)

    def _is_backing_off(self, member: GroupMember) -> bool:
        """Return whether the retry delay of a follower has not passed yet."""
        backoff = self.backoffs.get(member.name)
        return backoff is not None and self.caller.node.now() < backoff.until

    def _back_off(self, member: GroupMember, error: QuillringError) -> None:
        """Start the retry delay of a follower after a failed catch-up, and log the error."""
        node, previous = self.caller.node, self.backoffs.get(member.name)
        seconds = node.bounds.heartbeat_interval / 2 if previous is None else previous.seconds * 2
        seconds = min(seconds, node.bounds.propagation * 2)
        self.backoffs[member.name] = Backoff(node.now() + seconds, seconds)
        node.log(
            "warning",
            "catch-up of store %s in part %s failed: %s",
            member.name,
            self.caller.part,
            error,
        )
