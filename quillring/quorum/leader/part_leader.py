"""The leader of one part: the distinguished proposer of its replicated log, one entry at a time.

This is Multi-Paxos with a window of one (Lamport, "Paxos made simple", section 3). Phase 1 runs
once per ballot at a majority of the acceptors; after that, each log entry takes one round of
phase 2.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quillring.kernel.errors import Fenced, NoMajority, NotFounded, NotLeader, QuillringError
from quillring.quorum.leader.anti_entropy import AntiEntropy
from quillring.quorum.leader.catch_up import FollowerCatchUp
from quillring.quorum.leader.command_queue import CommandQueue
from quillring.quorum.leader.election_progress import ENTRIES, PROMISES, ElectionProgress
from quillring.quorum.leader.hinted_handoff import send_hints
from quillring.quorum.leader.in_flight import InFlight
from quillring.quorum.leader.quorum_call import QuorumCaller
from quillring.quorum.leader.state_fetch import StateFetcher
from quillring.quorum.leader.state_machine import StateMachine
from quillring.quorum.leader.uncommitted import (
    candidate_entries,
    fetch_batch,
    highest_ballot_beyond,
)
from quillring.quorum.messages import (
    BRIEF_WITHOUT_BATCHES,
    AcceptRequest,
    CommitRequest,
    ConfirmRequest,
    PrepareRequest,
    Promise,
)
from quillring.quorum.parts import CONFIG_PART

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.quorum.leader.quorum_call import RequestType
    from quillring.quorum.messages import Batch
    from quillring.quorum.snapshot_chunks import PartState
    from quillring.quorum.values import Ballot, GroupMember, WireGroup

    Listener = Callable[["PartLeader", Batch], object]


class PartLeader:
    """One term of a part's leader, under one ballot; a term that has ended is never resumed.

    A core that leads the part again creates a new term, whose higher ballot fences this one. The
    new term continues from the ballot and the state machine of this core's `previous_term`.
    Owns the command queue, the entry in flight, and the leader's copy of the state machine.
    `confirmed_at` is the start of the latest call in which a majority confirmed the ballot, in
    seconds of the node's clock. Each listener is called with the leader and the commands of every
    applied entry, and with an empty list of commands when the term begins or ends.
    """

    __slots__ = (
        "node",
        "part",
        "caller",
        "machine",
        "queue",
        "in_flight",
        "election_progress",
        "state_fetcher",
        "catch_up",
        "anti_entropy",
        "is_leader",
        "confirmed_at",
        "listeners",
    )

    def __init__(
        self, node: Node, part: str, group: WireGroup, previous_term: PartLeader | None = None
    ) -> None:
        self.node = node
        self.part = part
        if previous_term is None:
            self.caller = QuorumCaller(node, part, group)
            self.machine = StateMachine()
        else:
            highest_number = previous_term.caller.highest_seen_ballot_number
            self.caller = QuorumCaller(node, part, group, previous_term.ballot, highest_number)
            self.machine = previous_term.machine.copy()
        self.queue = CommandQueue(part)
        self.in_flight = InFlight(node, part)
        self.election_progress = ElectionProgress(node, part)
        self.state_fetcher = StateFetcher(node, part, self.machine, self.election_progress)
        self.catch_up = FollowerCatchUp(self.caller, self.machine, self.is_term_active)
        self.anti_entropy = AntiEntropy(
            self.caller, self.machine, self.catch_up, self.is_term_active
        )
        self.is_leader = False
        self.confirmed_at = -math.inf
        self.listeners: list[Listener] = []

    @property
    def group(self) -> tuple[GroupMember, ...]:
        """The current members of the group, as of the last adopted membership change."""
        return self.caller.group

    @property
    def ballot(self) -> Ballot:
        """The ballot of the term."""
        return self.caller.ballot

    @property
    def index(self) -> int:
        """The index of the last entry applied to the leader's state."""
        return self.machine.last_applied

    @property
    def state(self) -> PartState | None:
        """The state after the entry `index`; None before the first election."""
        return self.machine.state

    def is_term_active(self) -> bool:
        """Return whether this term has not ended; another core may already have fenced it."""
        return self.is_leader

    def has_lease(self) -> bool:
        """Return whether a majority confirmed the ballot within the last two heartbeat intervals.

        A lease permits starting background work. It does not permit a read without confirmation.
        """
        lease_seconds = self.node.bounds.heartbeat_interval * 2
        return self.is_leader and self.node.now() - self.confirmed_at < lease_seconds

    def has_queued_commands(self) -> bool:
        """Return whether commands are pending in the queue."""
        return bool(self.queue.pending)

    # Election: phase 1, the newest state, and the uncommitted entries of earlier terms.

    def run_election_with_retry(
        self, declines_leadership: Callable[[list[Any]], bool]
    ) -> Coroutine:
        """Run an election; if a higher ballot fences it, retry once without delay.

        There is no retry if `declines_leadership(higher ballot)` is True. Raises the same errors as
        run_election().
        """
        try:
            yield from self.run_election()
        except Fenced as error:
            if declines_leadership(error.detail["ballot"]):
                raise
            yield from self.run_election()

    def run_election(self) -> Coroutine:
        """Get a majority's promises, commit the uncommitted entries of earlier terms, then lead.

        Raises Fenced, NoMajority, or NotFounded if no member of the majority has the part's state.
        """
        self.is_leader = False
        self.election_progress.begin()
        me = self.node.me
        self.caller.advance_ballot(f"{me.name}#{me.incarnation}")
        while True:
            names = [member.name for member in self.group]
            self.election_progress.enter(PROMISES, names, self.ballot)
            promises = yield from self._prepare()
            if all(promise.state is None for promise in promises.values()):
                raise NotFounded(part=self.part)
            yield from self.state_fetcher.adopt_newest(promises)
            if not self.caller.adopt_group(self.machine.group()):
                self.election_progress.enter(ENTRIES)
                if (yield from self._commit_uncommitted(promises)):
                    break
            self.caller.ballot = self.ballot._replace(number=self.ballot.number + 1)
        self.is_leader = True
        self.node.count("takeovers")
        self.election_progress.succeed(self.index)
        self._notify_listeners([])

    def _prepare(self) -> Coroutine:
        """Ask the group to promise the ballot (phase 1); return {member name: Promise}."""
        replies = yield from self._call_majority(PrepareRequest, brief=BRIEF_WITHOUT_BATCHES)
        return {name: Promise.from_wire(fields) for name, fields in replies.items()}

    def _commit_uncommitted(self, promises: dict[str, Promise]) -> Coroutine:
        """Propose again every entry that may have been chosen; return whether that completed.

        It stops, and returns False, after an entry that changes the group. At the end an empty
        entry is committed, so that the term has committed an entry under its own ballot.
        """
        candidates = candidate_entries(promises, self.index)
        while (index := self.index + 1) in candidates:
            batch = yield from fetch_batch(self.node, self.part, index, candidates[index])
            yield from self.replicate(batch)
            if self.caller.adopt_group(self.machine.group()):
                return False
        yield from self.replicate([])
        return True

    # Replication: phase 2, one entry at a time.

    def submit(self, command: dict[str, Any]) -> Coroutine:
        """Commit one command and return its answer.

        Raises NotLeader if the term is over, NoMajority if there is no answer within
        `bounds.propagation` seconds, or the error that the command itself results in.
        """
        if not self.is_leader:
            raise NotLeader(part=self.part)
        pending = [self.queue.append(command)]
        (answer,) = yield from self.queue.answers_of(pending, self.node.bounds.propagation)
        return answer

    def submit_first(self, commands: list[dict[str, Any]]) -> Coroutine:
        """Commit commands in one entry, ahead of all pending ones; return their answers.

        Raises NotLeader, NoMajority, or the error of the first command that failed.
        """
        pending = self.queue.prepend(commands)
        return (yield from self.queue.answers_of(pending, self.node.bounds.propagation))

    def run(self) -> Coroutine:
        """Replicate queued commands until the term ends; return the error that ended it, or None.

        While the queue is empty, the ballot is confirmed once per heartbeat interval.
        """
        self.node.spawn(self.anti_entropy.run())
        try:
            while self.is_leader:
                if not self.queue.pending:
                    yield self.queue.next_arrival(self.node.bounds.heartbeat_interval)
                if self.queue.pending:
                    yield from self._replicate_queued()
                else:
                    yield from self._confirm()
        except QuillringError as error:
            self.step_down(error)
            return error
        return None

    def replicate(self, batch: Batch) -> Coroutine:
        """Have a majority accept the next entry (phase 2), apply it, return its commands' answers.

        In the config part, it returns after a majority has marked the entry as committed, too.
        Raises Fenced or NoMajority.
        """
        started_at, index = self.node.now(), self.index + 1
        fields: dict[str, Any] = {"log_index": index, "batch": batch, "committed": index - 1}
        send_hints(self.caller, AcceptRequest, **fields)
        self.in_flight.begin(batch)
        try:
            yield from self._call_majority(AcceptRequest, **fields)
            answers = self.machine.apply(index, batch)
        finally:
            self.in_flight.end()
        self.confirmed_at = started_at
        if self.part == CONFIG_PART:
            yield from self._call_majority(CommitRequest, committed=index)
        else:
            self._send_commit()
        return answers

    def _replicate_queued(self) -> Coroutine:
        """Replicate the next entry of queued commands, and set the answer or error of each."""
        batch = self.queue.take_batch()
        commands = [pending.command for pending in batch]
        try:
            answers = yield from self.replicate(commands)
        except QuillringError as error:
            for pending in batch:
                pending.answer_signal.set(NoMajority(part=self.part, reason=error.kind))
            raise
        try:
            if self.caller.adopt_group(self.machine.group()):
                yield from self._prepare_changed_group()
        finally:
            self._notify_listeners(commands)
            for pending, answer in zip(batch, answers, strict=True):
                pending.answer_signal.set(answer)

    def _prepare_changed_group(self) -> Coroutine:
        """Run phase 1 of the term's ballot at the newly adopted group.

        Raises NoMajority, or Fenced if a member accepted an entry beyond the last applied one, as
        only a new term can commit that entry.
        """
        promises = yield from self._prepare()
        higher_ballot = highest_ballot_beyond(promises, self.index)
        if higher_ballot is not None:
            raise Fenced(part=self.part, ballot=higher_ballot.to_wire())

    def _send_commit(self) -> None:
        """Send the committed index to the group, without waiting for replies."""
        for target, service, body in self.caller.calls(CommitRequest, committed=self.index):
            self.node.send_oneway(target, service, body)

    def _call_majority(self, request_type: RequestType, **fields: Any) -> Coroutine:
        return self.caller.call_majority(request_type, **fields)

    def step_down(self, error: QuillringError) -> None:
        """End the term: stop replication, and fail all queued commands with NotLeader."""
        self.is_leader = False
        self.election_progress.end(error)
        self.queue.reject_all(error.kind)
        self._notify_listeners([])

    def _notify_listeners(self, batch: Batch) -> None:
        for listener in self.listeners:
            listener(self, batch)

    # Lease and linearizable reads.

    def linearizable_state(self) -> Coroutine:
        """Return the state, once a majority has confirmed that it promised no higher ballot.

        Raises NotLeader, Fenced, or NoMajority. NoMajority is also raised if the wait for the entry
        in flight and the confirmation together take longer than `bounds.read_timeout`.
        """
        started_at = self.node.now()
        yield from self.in_flight.wait()
        if not self.is_leader:
            raise NotLeader(part=self.part)
        read_state = self.state
        yield from self._confirm()
        if self.node.now() - started_at > self.node.bounds.read_timeout:
            raise NoMajority(part=self.part, reason="the confirmation is old")
        return read_state

    def _confirm(self) -> Coroutine:
        """Have a majority confirm the ballot; the lease is renewed from the start of the call.

        Raises Fenced or NoMajority.
        """
        started_at = self.node.now()
        yield from self._call_majority(ConfirmRequest)
        self.confirmed_at = max(started_at, self.confirmed_at)

    # Followers.

    def repair_followers(self) -> Coroutine:
        """Bring reachable followers up to date; see `AntiEntropy`."""
        return self.anti_entropy.repair_followers()

    def applied_index_by_store(self) -> Coroutine:
        """Send the committed index to reachable followers; return {store name: applied index}."""
        return self.anti_entropy.applied_index_by_store()
