"""Who owns which part: cores take the parts they rank first for; anyone can ask an owner."""

from quillring.kernel.effects import Signal, Wait
from quillring.kernel.errors import Fenced, NoMajority, NotFounded, NotOwner, QuillringError
from quillring.ownership.candidates import order_candidates
from quillring.ownership.election_timing import ElectionTiming
from quillring.ownership.leadership_backoff import LeadershipBackoff
from quillring.ownership.leadership_transfer import LeadershipTransfer
from quillring.ownership.part_client import PartClient
from quillring.ownership.status import status_of
from quillring.quorum.commands import QUERIES
from quillring.quorum.leader.part_leader import PartLeader
from quillring.quorum.leader.retirement_check import tell_whole
from quillring.quorum.parts import GROUP_SIZE
from quillring.quorum.waits import wait_for_owner


class Ownership(PartClient):
    """The table of parts as one node sees it; on a core also the owners it runs."""

    __slots__ = (
        "node",
        "leaders",
        "leader_listeners",
        "submit_checks",
        "started_at",
        "wake_signal",
        "election_timing",
        "backoff",
        "leadership_transfer",
        "elections",
    )

    def __init__(self, node):
        self.node = node
        self.leaders = {}
        self.leader_listeners = []
        self.submit_checks = []
        self.started_at = node.now()
        self.wake_signal = Signal()
        self.election_timing = ElectionTiming(node)
        self.backoff = LeadershipBackoff(node)
        self.leadership_transfer = None
        self.elections = set()
        if node.me.role == "core":
            node.handle("part.submit", self.on_submit)
            node.handle("part.read", self.on_read)
            node.handle("part.whole", self.on_whole)
            node.handle("part.free", self.on_free)
            node.handle("part.takeovers", self.on_takeovers)
            self.leadership_transfer = LeadershipTransfer(self)
            node.find("nifty").listeners.append(self.election_timing.on_graph)
            node.find("nifty").listeners.append(self._wake_control_loop)
            node.find("gossip").listen("founding", self._wake_control_loop)
            node.find("gossip").listen("group/", self._wake_control_loop)
            node.find("gossip").listen("resting/", self._wake_control_loop)

    def _wake_control_loop(self, *news):
        self.wake_signal.set()

    def founding(self):
        """Return the founding record, or raise NotFounded."""
        record = self.node.find("gossip").get("founding")
        if record is None:
            raise NotFounded()
        return record

    def parts(self):
        """Return the names of all parts."""
        return sorted(self.founding()["groups"])

    def group(self, part):
        """Return the stores of a part as last heard."""
        news = self.node.find("gossip").get(f"group/{part}")
        return news or self.founding()["groups"][part]

    def size(self):
        """Return how many stores a full group has."""
        return self.founding().get("size", GROUP_SIZE)

    def cores(self):
        """Return the names of all core nodes of the roster."""
        members = self.node.find("nifty").roster.members.values()
        return sorted(m.name for m in members if m.role == "core")

    def candidates(self, part):
        """Return the reachable cores in the order of their claim to the part."""
        cores = self.cores()
        leaving_names = {name for name in cores if self.is_leaving(name)}
        resting_names = {name for name in cores if self.backoff.is_backing_off(name)}
        graph = self.node.find("nifty").graph
        return order_candidates(part, cores, graph, leaving_names, resting_names)

    def is_leaving(self, name):
        """Tell whether a member drains or stands in an emptied domain: nothing new goes there."""
        member = self.node.find("nifty").roster.members.get(name)
        if member is None:
            return False
        drains = self.node.find("gossip").get(f"draining/{name}") == member.incarnation
        return drains or self.node.find("layout").is_zone_draining(member.zone)

    def declines_leadership(self, name):
        """Tell whether others take the parts of a core at once: it leaves, or rests."""
        return self.is_leaving(name) or self.backoff.is_backing_off(name)

    def announce_drain(self):
        """Tell all nodes that this one drains, until it starts again."""
        me = self.node.me
        self.node.find("gossip").put(f"draining/{me.name}", [me.incarnation], me.incarnation)

    def run(self):
        """Coroutine, on a core: take the parts it ranks first for, hand over the others."""
        self.node.spawn(self.backoff.lag.run())
        while True:
            seconds = self.node.bounds.heartbeat_interval * (
                0.8 + 0.4 * self.node.runtime.random.random()
            )
            due_at = self.node.now() + seconds
            if (yield Wait(self.wake_signal, seconds)):
                self.wake_signal = Signal()
            if self.node.now() - due_at > self.node.bounds.link_timeout:
                self.election_timing.forget_observations()
            self.backoff.refresh()
            if self.node.find("gossip").get("founding") is None:
                continue
            for part in self.parts():
                self._review_part(part)

    def _review_part(self, part):
        """Take a part that this core should own; hand over one that another should."""
        owner = self.leaders.get(part)
        holds_part = owner is not None and owner.is_leader
        is_first, is_settled = self._observe_candidacy(part)
        if holds_part and not is_first and is_settled and not owner.queue:
            self._transfer_leadership(part, owner)
        elif is_first and not holds_part and part not in self.elections:
            is_due = is_settled or not self._is_owned_elsewhere(part)
            if is_due and not self.election_timing.is_starting():
                self._begin_election(part, is_settled)

    def _begin_election(self, part, is_settled):
        if self.election_timing.has_majority(self.group(part)):
            self.elections.add(part)
            self.node.spawn(self._run_election(part, is_settled))

    def _observe_candidacy(self, part):
        """Tell whether this core ranks first, and whether that is settled.

        While the loss of a node is noticed at different times, the graph looks cut, and the ranks
        waver; a part that is owned well stays where it is meanwhile. Who leaves does so at once.
        """
        name, me = next(iter(self.candidates(part)), None), self.node.me.name
        is_leaving = self.node.is_draining or self.is_leaving(me)
        seconds = self.election_timing.observe_first_candidate(part, name)
        is_first = name == me and not self.node.is_draining
        return is_first, is_leaving or self.election_timing.is_settled(seconds)

    def _is_owned_elsewhere(self, part):
        name = (self.node.find("gossip").get(f"owner/{part}") or {}).get("owner")
        return (
            name is not None
            and name != self.node.me.name
            and (self.node.find("nifty").reaches(name) and not self.declines_leadership(name))
        )

    def _transfer_leadership(self, part, owner):
        for name in self.candidates(part)[:1]:
            if name != self.node.me.name:
                self.leadership_transfer.begin(part, owner, name)

    def _run_election(self, part, is_settled):
        former = self.leaders.get(part)
        owner = self.leaders[part] = PartLeader(self.node, part, self.group(part), former)
        owner.listeners.extend([*self.leader_listeners, self._publish_leader])
        try:
            yield from owner.run_election_with_retry(
                lambda ballot: self._may_leave_to_winner(ballot, is_settled)
            )
        except QuillringError as error:
            owner.election_progress.end(error)
            if isinstance(error, NoMajority):
                self.backoff.note_lost_term()
            yield from wait_for_owner(self.node, self._pause_after_failed_election(error))
            return
        finally:
            self.elections.discard(part)
            self._wake_control_loop()
        self.node.spawn(self._lead(owner))

    def _lead(self, owner):
        """Coroutine: own a part until the term ends; a core that lost it by its own fault rests."""
        error = yield from owner.run()
        if isinstance(error, (Fenced, NoMajority)):
            self.backoff.note_lost_term()

    def _may_leave_to_winner(self, ballot, is_settled):
        """Tell whether the core whose ballot is higher is to be left to win the part."""
        return not is_settled and self.election_timing.is_contended(ballot)

    def _pause_after_failed_election(self, error):
        """Return seconds: where another core is winning, its news comes first."""
        beat = self.node.bounds.heartbeat_interval
        if not isinstance(error, Fenced):
            return beat / 2
        return beat * 2 if self.election_timing.is_contended(error.detail["ballot"]) else beat / 4

    def _publish_leader(self, owner, batch):
        gossip = self.node.find("gossip")
        if owner.is_leader:
            news = {"owner": owner.node.me.name, "ballot": list(owner.ballot)}
            gossip.put(f"owner/{owner.part}", owner.ballot, news)
            if gossip.get(f"group/{owner.part}") != owner.state["group"]:
                gossip.put(f"group/{owner.part}", [owner.index], owner.state["group"])

    def on_free(self, part, origin):
        """Coroutine: take a part that its owner hands over, unless it is truly owned here."""
        owner = self.leaders.get(part)
        if owner is not None and owner.is_leader:
            try:
                yield from owner.linearizable_state()
            except Fenced as error:
                owner.step_down(error)
        self._wake_control_loop()

    def on_submit(self, body, origin):
        """Commit a command in a part owned here."""
        owner = self._leader(body["part"])
        for check in self.submit_checks:
            check(owner, body["command"])
        return owner.submit(body["command"])

    def on_read(self, body, origin):
        """Answer a query from a part owned here, under its fence."""
        read_state = yield from self._leader(body["part"]).linearizable_state()
        return QUERIES.find(body["query"]["ask"])(read_state, body["query"])

    def on_takeovers(self, body, origin):
        """Tell how far this core is with each part that it took or tried to take."""
        return {part: status_of(owner) for part, owner in self.leaders.items()}

    def on_whole(self, body, origin):
        """Tell whether the stores of a part owned here hold everything."""
        return tell_whole(self._leader(body["part"]))

    def _leader(self, part):
        owner = self.leaders.get(part)
        if owner is None or not owner.is_leader:
            raise NotOwner(part=part)
        return owner
