"""The control loop of a core that starts elections and leadership transfers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.effects import Signal, Wait
from quillring.kernel.errors import Fenced, NoMajority, QuillringError
from quillring.kernel.records import NamedTuple
from quillring.ownership.election_timing import ElectionTiming
from quillring.ownership.jitter import sleep_with_jitter

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.ownership.ownership import Ownership
    from quillring.quorum.leader.part_leader import PartLeader

MIN_INTERVAL_FACTOR = 0.8
INTERVAL_JITTER_FACTOR = 0.4


class Candidacy(NamedTuple):
    """Whether this core is the first candidate for a part, and whether the ranking is stable."""

    is_first: bool
    is_stable: bool


class Elections:
    """Reviews every part about once per heartbeat interval, and at once on relevant changes.

    `parts_in_election` has the parts for which this core runs an election at the moment.
    """

    __slots__ = ("node", "ownership", "timing", "parts_in_election", "wake_signal")

    def __init__(self, node: Node, ownership: Ownership) -> None:
        self.node = node
        self.ownership = ownership
        self.timing = ElectionTiming(node)
        self.parts_in_election: set[str] = set()
        self.wake_signal = Signal()

    def subscribe_to_changes(self) -> None:
        """Subscribe to changes of the graph and of gossip keys that require a review at once."""
        nifty, gossip = self.node.find("nifty"), self.node.find("gossip")
        nifty.listeners.append(self.timing.on_graph)
        nifty.listeners.append(self.wake)
        for prefix in ("founding", "group/", "resting/"):
            gossip.subscribe(prefix, self.wake)

    def wake(self, *change: Any) -> None:
        """Make the control loop review the parts at once."""
        self.wake_signal.set()

    def run(self) -> Coroutine:
        """Run elections for the parts this core should lead, transfer the others; never returns."""
        bounds, backoff = self.node.bounds, self.ownership.backoff
        self.node.spawn(backoff.loop_lag.run())
        while True:
            jitter = INTERVAL_JITTER_FACTOR * self.node.runtime.random.random()
            seconds = bounds.heartbeat_interval * (MIN_INTERVAL_FACTOR + jitter)
            due_at = self.node.now() + seconds
            if (yield Wait(self.wake_signal, seconds)):
                self.wake_signal = Signal()
            if self.node.now() - due_at > bounds.link_timeout:
                self.timing.forget_observations()
            backoff.refresh()
            if self.node.find("gossip").get("founding") is None:
                continue
            for part in self.ownership.parts():
                self._review(part)

    def _review(self, part: str) -> None:
        """Start an election for a part this core should lead, or transfer one it should not."""
        leader = self.ownership.leaders.get(part)
        candidacy = self._observe_candidacy(part)
        if leader is not None and leader.is_leader:
            if not candidacy.is_first and candidacy.is_stable and not leader.has_queued_commands():
                self._transfer(part, leader)
        elif candidacy.is_first and part not in self.parts_in_election:
            is_due = candidacy.is_stable or not self._is_led_elsewhere(part)
            if is_due and not self.timing.is_starting():
                self._begin_election(part, candidacy.is_stable)

    def _observe_candidacy(self, part: str) -> Candidacy:
        """Return whether this core is the first candidate, and whether the ranking is stable.

        While nodes detect a failure at different times, the graph appears partitioned and the
        ranking changes; a working leader is not replaced in the meantime. On a core that is
        leaving, every ranking counts as stable, so that it transfers its parts at once.
        """
        first_name = next(iter(self.ownership.candidates(part)), None)
        me, is_draining = self.node.me.name, self.node.is_draining
        is_leaving = is_draining or self.ownership.is_leaving(me)
        seconds = self.timing.observe_first_candidate(part, first_name)
        is_first = first_name == me and not is_draining
        return Candidacy(is_first, is_leaving or self.timing.is_stable(seconds))

    def _is_led_elsewhere(self, part: str) -> bool:
        """Return whether another reachable core leads the part and does not decline leadership."""
        name = self.ownership.known_leader(part)
        if name is None or name == self.node.me.name:
            return False
        is_reachable = self.node.find("nifty").reaches(name)
        return is_reachable and not self.ownership.declines_leadership(name)

    def _transfer(self, part: str, leader: PartLeader) -> None:
        """Begin to transfer a part to its first candidate, unless that is this core."""
        for name in self.ownership.candidates(part)[:1]:
            if name != self.node.me.name:
                self.ownership.leadership_transfer.begin(part, leader, name)

    def _begin_election(self, part: str, is_stable: bool) -> None:
        """Start an election for a part if a majority of its stores is reachable."""
        if self.timing.reaches_majority(self.ownership.group(part)):
            self.parts_in_election.add(part)
            self.node.spawn(self._run_election(part, is_stable))

    def _run_election(self, part: str, is_stable: bool) -> Coroutine:
        """Run an election for a part and, if it succeeds, lead the part until the term ends."""
        leader, backoff = self.ownership.new_leader(part), self.ownership.backoff

        def should_concede(ballot: list[Any]) -> bool:
            return not is_stable and self.timing.is_contended(ballot)

        try:
            yield from leader.run_election_with_retry(should_concede)
        except QuillringError as error:
            leader.election_progress.end(error)
            if isinstance(error, NoMajority):
                backoff.note_lost_term()
            yield from sleep_with_jitter(self.node, self._pause_after(error))
            return
        finally:
            self.parts_in_election.discard(part)
            self.wake()
        self.node.spawn(self._lead(leader))

    def _lead(self, leader: PartLeader) -> Coroutine:
        """Lead a part until the term ends; back off if it ended because this process stalled."""
        error = yield from leader.run()
        if isinstance(error, (Fenced, NoMajority)):
            self.ownership.backoff.note_lost_term()

    def _pause_after(self, error: QuillringError) -> float:
        """Return the mean pause after a failed election, in seconds.

        The pause is longest if another live core has the higher ballot, so that the announcement of
        that core arrives before the next attempt.
        """
        interval = self.node.bounds.heartbeat_interval
        if not isinstance(error, Fenced):
            return interval / 2
        is_contended = self.timing.is_contended(error.detail["ballot"])
        return interval * 2 if is_contended else interval / 4
