"""A core node's ownership of one part: won by ballot, fenced by ballot, one entry at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.effects import Signal, Wait
from quillring.kernel.errors import Fenced, NoMajority, NotFounded, NotOwner, QuillringError
from quillring.quorum.commands import apply_batch
from quillring.quorum.leader.anti_entropy import AntiEntropy
from quillring.quorum.leader.batching import split_batch
from quillring.quorum.leader.catch_up import adopt_state
from quillring.quorum.leader.election_progress import ENTRIES, PROMISES, ElectionProgress
from quillring.quorum.leader.hinted_handoff import send_hints
from quillring.quorum.leader.in_flight import InFlight
from quillring.quorum.leader.membership_change import promise_again
from quillring.quorum.leader.quorum_call import ask_majority
from quillring.quorum.leader.uncommitted import finish_tail
from quillring.quorum.log_cache import LogCache
from quillring.quorum.messages import BRIEF_WITHOUT_BATCHES, Promise
from quillring.quorum.parts import CONFIG
from quillring.quorum.waits import answer_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.quorum.parts import Call
    from quillring.quorum.values import Group


class PartLeader:
    """One term of a part's ownership: its ballot is won once and, when lost, never again.

    A core that takes the part again makes a new term, under which the former one can't write.
    """

    __slots__ = (
        "node",
        "part",
        "group",
        "ballot",
        "index",
        "state",
        "queue",
        "queue_signal",
        "is_leader",
        "listeners",
        "confirmed_at",
        "highest_seen_ballot_number",
        "log_cache",
        "anti_entropy",
        "election_progress",
        "in_flight",
    )

    def __init__(
        self, node: Node, part: str, group: Group, former: PartLeader | None = None
    ) -> None:
        self.node = node
        self.part = part
        self.group = group
        self.ballot = (0, "") if former is None else former.ballot
        self.index = 0 if former is None else former.index
        self.state = None if former is None else former.state
        self.log_cache = LogCache() if former is None else former.log_cache.copy()
        self.anti_entropy = AntiEntropy(self)
        self.election_progress = ElectionProgress(node, part)
        self.in_flight = InFlight(node, part)
        self.queue = []
        self.queue_signal = Signal()
        self.is_leader = False
        self.listeners = []
        self.confirmed_at = None
        self.highest_seen_ballot_number = 0 if former is None else former.highest_seen_ballot_number

    def calls(self, service: str, **body: Any) -> list[Call]:
        """Return the calls of a service to each store of the group, under the ballot."""
        return [
            (
                store[0],
                f"quorum.{service}",
                {"part": self.part, "ballot": list(self.ballot), "identity": store[1], **body},
            )
            for store in self.group
        ]

    def _round(self, service: str, **body: Any):
        return ask_majority(self, service, body)

    def _prepare(self) -> Coroutine:
        """Coroutine: ask the group to promise the ballot; return {store: Promise} of a majority."""
        replies = yield from self._round("prepare", brief=BRIEF_WITHOUT_BATCHES)
        return {store: Promise.from_list(fields) for store, fields in replies.items()}

    def run_election_with_retry(self, declines_leadership: Callable[[list], bool]) -> Coroutine:
        """Coroutine: take the part; a ballot that only was too low is tried once more at once.

        Not so where `declines_leadership(ballot)` says that the higher ballot is to be left to win.
        """
        try:
            yield from self.run_election()
        except Fenced as error:
            if declines_leadership(error.detail["ballot"]):
                raise
            yield from self.run_election()

    def run_election(self) -> Coroutine:
        """Coroutine: win a ballot at a majority, finish what others began; then own the part."""
        self.is_leader = False
        self.election_progress.begin()
        me = self.node.me
        self.ballot = (
            max(self.highest_seen_ballot_number, self.ballot[0]) + 1,
            f"{me.name}#{me.incarnation}",
        )
        while True:
            self.election_progress.enter(PROMISES, [store[0] for store in self.group], self.ballot)
            promises = yield from self._prepare()
            if all(promise.state is None for promise in promises.values()):
                raise NotFounded(part=self.part)
            yield from adopt_state(self, promises)
            if not self.adopt_group(self.state["group"]):
                self.election_progress.enter(ENTRIES)
                if (yield from finish_tail(self, promises)):
                    break
            self.ballot = (self.ballot[0] + 1, self.ballot[1])
        self.is_leader = True
        self.node.count("takeovers")
        self.election_progress.succeed(self.index)
        self._tell([])

    def adopt_group(self, known_group: Group) -> bool:
        """Ask these stores from now on; tell whether that is a change."""
        if [list(s) for s in known_group] == [list(s) for s in self.group]:
            return False
        self.group = [list(store) for store in known_group]
        return True

    def replicate(self, batch: list[dict]) -> Coroutine:
        """Coroutine: have a majority accept the next entry; apply it; return the answers."""
        asked_at = self.node.now()
        entry = {"index": self.index + 1, "batch": batch, "committed": self.index}
        send_hints(self, self.calls("accept", **entry))
        self.in_flight.begin(batch)
        try:
            yield from self._round("accept", **entry)
            self.index += 1
            self.log_cache.add(self.index, batch)
            self.state, answers = apply_batch(self.state, batch)
        finally:
            self.in_flight.end()
        self.confirmed_at = asked_at
        if self.part == CONFIG:
            yield from self._round("commit", committed=self.index)
        else:
            self._cast_commit()
        return answers

    def _cast_commit(self):
        for target, service, body in self.calls("commit", committed=self.index):
            self.node.send_oneway(target, service, body)

    def run(self) -> Coroutine:
        """Write what is queued while the ballot holds; return the error that ended it."""
        self.node.spawn(self.anti_entropy.run())
        try:
            while self.is_leader:
                if not self.queue:
                    self.queue_signal = Signal()
                    yield Wait(self.queue_signal, self.node.bounds.heartbeat_interval)
                if self.queue:
                    yield from self._write_queue()
                else:
                    yield from self._confirm()
        except QuillringError as error:
            self.step_down(error)
            return error
        return None

    def _write_queue(self) -> Coroutine:
        batch, self.queue = split_batch(self.queue)
        try:
            answers = yield from self.replicate([command for command, _ in batch])
        except QuillringError as error:
            for _, answer_signal in batch:
                answer_signal.set(NoMajority(part=self.part, reason=error.kind))
            raise
        try:
            if self.adopt_group(self.state["group"]):
                yield from promise_again(self, self._prepare())
        finally:
            self._tell([command for command, _ in batch])
            for (_, answer_signal), answer in zip(batch, answers, strict=True):
                answer_signal.set(answer)

    def repair_followers(self) -> Coroutine:
        """Coroutine: give the members of the group in reach what they miss."""
        yield from self.anti_entropy.repair_followers()

    def applied_index_by_store(self) -> Coroutine:
        """Coroutine: tell members in reach what is committed; return {store: index it applied}."""
        reaches = self.node.find("nifty").reaches
        calls = [c for c in self.calls("commit", committed=self.index) if reaches(c[0])]
        replies = yield from self.node.gather(calls, len(calls))
        return {t: r for t, r in replies.items() if not isinstance(r, QuillringError)}

    def step_down(self, error: QuillringError) -> None:
        """Write nothing more; everything queued ends with its error."""
        self.is_leader = False
        self.election_progress.end(error)
        queued, self.queue = self.queue, []
        for _, answer_signal in queued:
            answer_signal.set(NotOwner(part=self.part, reason=error.kind))
        self.queue_signal.set()
        self._tell([])

    def submit(self, command: dict) -> Coroutine:
        """Coroutine: commit one command and return its answer."""
        if not self.is_leader:
            raise NotOwner(part=self.part)
        answer_signal = Signal()
        self.queue.append((command, answer_signal))
        self.queue_signal.set()
        yield Wait(answer_signal, self.node.bounds.propagation)
        return answer_of(answer_signal, self.part)

    def _confirm(self) -> Coroutine:
        """Coroutine: have a majority confirm the ballot; it holds as of the moment of asking."""
        asked_at = self.node.now()
        yield from self._round("confirm")
        self.confirmed_at = max(asked_at, self.confirmed_at)

    def linearizable_state(self) -> Coroutine:
        """Coroutine: return the state after a majority confirmed that the ballot still holds.

        Raises NotOwner, Fenced, or NoMajority, also for a confirmation that is no longer recent.
        """
        asked_at = self.node.now()
        yield from self.in_flight.wait()
        if not self.is_leader:
            raise NotOwner(part=self.part)
        read_state = self.state
        yield from self._confirm()
        if self.node.now() - asked_at > self.node.bounds.read_timeout:
            raise NoMajority(part=self.part, reason="the confirmation is old")
        return read_state

    def has_lease(self) -> bool:
        """Tell whether the ballot was confirmed lately enough to start work on its behalf."""
        return (
            self.is_leader
            and self.node.now() - self.confirmed_at < self.node.bounds.heartbeat_interval * 2
        )

    def _tell(self, batch: list[dict]):
        for listener in self.listeners:
            listener(self, batch)
