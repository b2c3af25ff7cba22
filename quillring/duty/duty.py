"""Who owns which part: cores take the parts they rank first for; anyone can ask an owner."""

from quillring.duty.rank import ranked_cores
from quillring.kernel.effects import Signal, Wait
from quillring.kernel.troubles import (
    Fenced,
    NoMajority,
    NotFounded,
    NotOwner,
    OutcomeUnknown,
    Refused,
    TimedOut,
    Trouble,
    Unreachable,
)
from quillring.quorum.commands import QUERIES
from quillring.quorum.owner import Owner, wait_for_owner
from quillring.quorum.parts import GROUP_SIZE, majority
from quillring.quorum.peek import peek

LOOK_ELSEWHERE = (Fenced, NotOwner, TimedOut, Unreachable)


class Duty:
    """The table of parts as one node sees it; on a core also the owners it runs."""

    __slots__ = ("node", "owners", "on_owner", "checks", "startedAt", "wakeSignal")

    def __init__(self, node):
        self.node = node
        self.owners = {}
        self.on_owner = []
        self.checks = []
        self.startedAt = node.now()
        self.wakeSignal = Signal()
        if node.me.role == "core":
            node.handle("part.submit", self.on_submit)
            node.handle("part.read", self.on_read)
            node.handle("part.whole", self.on_whole)
            node.handle("part.free", self.on_free)
            node.find("nifty").listeners.append(self._wake)
            node.find("gossip").listen("founding", self._wake)
            node.find("gossip").listen("group/", self._wake)

    def _wake(self, *news):
        self.wakeSignal.set()

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

    def rank(self, part):
        """Return the reachable cores in the order of their claim to the part."""
        cores = self.cores()
        leavingNames = {name for name in cores if self.is_leaving(name)}
        return ranked_cores(part, cores, self.node.find("nifty").graph, leavingNames)

    def is_leaving(self, name):
        """Tell whether a member drains or stands in an emptied domain: nothing new goes there."""
        member = self.node.find("nifty").roster.members.get(name)
        if member is None:
            return False
        drains = self.node.find("gossip").get(f"draining/{name}") == member.incarnation
        return drains or self.node.find("layout").is_left(member.domain)

    def announce_drain(self):
        """Tell all nodes that this one drains, until it starts again."""
        me = self.node.me
        self.node.find("gossip").put(f"draining/{me.name}", [me.incarnation], me.incarnation)

    def run(self):
        """Script, on a core: take the parts it ranks first for, hand over the others."""
        attempts = {}
        while True:
            seconds = self.node.bounds.beat * (0.8 + 0.4 * self.node.world.random.random())
            if (yield Wait(self.wakeSignal, seconds)):
                self.wakeSignal = Signal()
            if self.node.find("gossip").get("founding") is None:
                continue
            for part in self.parts():
                owner = self.owners.get(part)
                holdsPart = owner is not None and owner.is_owner
                isFirst = self.rank(part)[:1] == [self.node.me.name] and not self.node.is_draining
                if isFirst and not holdsPart and attempts.get(part) is None:
                    attempts[part] = True
                    self.node.spawn(self._take(part, attempts))
                elif holdsPart and not isFirst and not owner.queue:
                    self._hand_over(part, owner)

    def _hand_over(self, part, owner):
        for name in self.rank(part)[:1]:
            if name != self.node.me.name:
                owner.step_down(NotOwner(part=part))
                self.node.cast(name, "part.free", part)

    def _take(self, part, attempts):
        former = self.owners.get(part)
        owner = self.owners[part] = Owner(self.node, part, self.group(part), former)
        owner.listeners.extend([*self.on_owner, self._publish])
        try:
            yield from owner.take_again()
        except Trouble as trouble:
            self.node.log("warning", "take %s: %s", part, trouble)
            pause = self.node.bounds.beat / (4 if isinstance(trouble, Fenced) else 2)
            yield from wait_for_owner(self.node, pause)
            return
        finally:
            attempts[part] = None
            self._wake()
        self.node.spawn(owner.run())

    def _publish(self, owner, batch):
        gossip = self.node.find("gossip")
        if owner.is_owner:
            news = {"owner": owner.node.me.name, "ballot": list(owner.ballot)}
            gossip.put(f"owner/{owner.part}", owner.ballot, news)
            if gossip.get(f"group/{owner.part}") != owner.state["group"]:
                gossip.put(f"group/{owner.part}", [owner.index], owner.state["group"])

    def on_free(self, part, origin):
        """Script: take a part that its owner hands over, unless it is truly owned here."""
        owner = self.owners.get(part)
        if owner is not None and owner.is_owner:
            try:
                yield from owner.fenced_state()
            except Fenced as trouble:
                owner.step_down(trouble)
        self._wake()

    def on_submit(self, body, origin):
        """Commit a command in a part owned here."""
        owner = self._owner(body["part"])
        for check in self.checks:
            check(owner, body["command"])
        return owner.submit(body["command"])

    def on_read(self, body, origin):
        """Answer a query from a part owned here, under its fence."""
        readState = yield from self._owner(body["part"]).fenced_state()
        return QUERIES.find(body["query"]["ask"])(readState, body["query"])

    def on_whole(self, body, origin):
        """Tell whether a part owned here has three stores that hold everything."""
        owner = self._owner(body["part"])
        applied = yield from owner.applied_by_store()
        late = [s[0] for s in owner.group if applied.get(s[0]) != owner.index]
        return {"group": [s[0] for s in owner.group], "late": late}

    def _owner(self, part):
        owner = self.owners.get(part)
        if owner is None or not owner.is_owner:
            raise NotOwner(part=part)
        return owner

    def submit(self, part, command, seconds=None):
        """Script: commit a command that carries its own id, at whichever core owns the part."""
        answer = yield from self.ask(part, "part.submit", {"command": command}, seconds)
        return answer

    def read(self, part, query, seconds=None):
        """Script: read a part's state from its owner, or from a majority of its stores."""
        bounds, lastTrouble = self.node.bounds, NotOwner(part=part)
        endTime = self.node.now() + (bounds.news * 2 if seconds is None else seconds)
        while self.node.now() < endTime:
            hopelessness = self.why_hopeless(part)
            if hopelessness is not None:
                raise Refused(reason=hopelessness.kind, part=part)
            for ownerName in self._candidates(part)[:1]:
                try:
                    body = {"part": part, "query": query}
                    answer = yield from self.node.call(
                        ownerName, "part.read", body, bounds.reading / 2)
                    return answer
                except (*LOOK_ELSEWHERE, NoMajority) as trouble:
                    lastTrouble = trouble
            known = yield from peek(self.node, part, self.group(part), query)
            if known is not None:
                self.node.count("peeks")
                return known()
            yield from wait_for_owner(self.node, bounds.beat / 4)
        raise Refused(reason=lastTrouble.kind, part=part)

    def ask(self, part, service, body, seconds):
        """Script: call a service of the core that owns the part, wherever it is."""
        bounds = self.node.bounds
        endTime = self.node.now() + (bounds.news * 2 if seconds is None else seconds)
        self.founding()
        lastTrouble, rounds, mayHaveRun = NotOwner(part=part), 0, False
        while self.node.now() < endTime:
            hopelessness = self.why_hopeless(part)
            if hopelessness is not None:
                lastTrouble = hopelessness
                break
            candidates = self._candidates(part)
            if candidates:
                try:
                    answer = yield from self.node.call(
                        candidates[rounds % len(candidates)], service, {"part": part, **body},
                        min(bounds.news, endTime - self.node.now()),
                    )
                    return answer
                except (*LOOK_ELSEWHERE, NoMajority) as trouble:
                    lastTrouble = trouble
                    mayHaveRun = mayHaveRun or isinstance(trouble, (NoMajority, TimedOut))
            rounds += 1
            yield from wait_for_owner(self.node, bounds.beat / 4)
        if mayHaveRun and service == "part.submit":
            raise OutcomeUnknown(part=part, reason="repeat it under the same key or id")
        raise Refused(reason=lastTrouble.kind, part=part)

    def why_hopeless(self, part):
        """Return the trouble that no core this node reaches can overcome, or None.

        A node that has just started does not know yet whom it reaches.
        """
        if self.node.now() - self.startedAt < self.node.bounds.news:
            return None
        graph, group = self.node.find("nifty").graph, self.group(part)
        reached = [store[0] for store in group if store[0] in graph.reachable()]
        if len(reached) < majority(group):
            return NoMajority(part=part, heard=sorted(reached))
        return None if self.rank(part) else Unreachable(part=part)

    def _candidates(self, part):
        news = self.node.find("gossip").get(f"owner/{part}")
        rankedNames = self.rank(part)
        namedOwner = [news["owner"]] if news and news["owner"] in rankedNames else []
        return [*namedOwner, *(name for name in rankedNames[:2] if name not in namedOwner)]
