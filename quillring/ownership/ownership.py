"""Who owns which part: cores take the parts they rank first for; anyone can ask an owner."""

from quillring.kernel.effects import Signal, Wait
from quillring.kernel.errors import Fenced, NotFounded, NotOwner, QuillringError
from quillring.ownership.asking import Asking
from quillring.ownership.rank import Firsts, ranked_cores
from quillring.quorum.commands import QUERIES
from quillring.quorum.owner import Owner, wait_for_owner
from quillring.quorum.parts import GROUP_SIZE
from quillring.quorum.retirement import tell_whole


class Ownership(Asking):
    """The table of parts as one node sees it; on a core also the owners it runs."""

    __slots__ = ("node", "owners", "on_owner", "checks", "started_at", "wake_signal", "firsts")

    def __init__(self, node):
        self.node = node
        self.owners = {}
        self.on_owner = []
        self.checks = []
        self.started_at = node.now()
        self.wake_signal = Signal()
        self.firsts = Firsts()
        if node.me.role == "core":
            node.handle("part.submit", self.on_submit)
            node.handle("part.read", self.on_read)
            node.handle("part.whole", self.on_whole)
            node.handle("part.free", self.on_free)
            node.find("nifty").listeners.append(self._wake)
            node.find("gossip").listen("founding", self._wake)
            node.find("gossip").listen("group/", self._wake)

    def _wake(self, *news):
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

    def rank(self, part):
        """Return the reachable cores in the order of their claim to the part."""
        cores = self.cores()
        leaving_names = {name for name in cores if self.is_leaving(name)}
        return ranked_cores(part, cores, self.node.find("nifty").graph, leaving_names)

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
            if (yield Wait(self.wake_signal, seconds)):
                self.wake_signal = Signal()
            if self.node.find("gossip").get("founding") is None:
                continue
            for part in self.parts():
                owner = self.owners.get(part)
                holds_part = owner is not None and owner.is_owner
                is_first, is_settled = self._standing(part)
                if (
                    is_first
                    and not holds_part
                    and attempts.get(part) is None
                    and (is_settled or not self._is_owned_elsewhere(part))
                ):
                    attempts[part] = True
                    self.node.spawn(self._take(part, attempts))
                elif holds_part and not is_first and is_settled and not owner.queue:
                    self._hand_over(part, owner)

    def _standing(self, part):
        """Tell whether this core ranks first, and whether that is settled.

        While the loss of a node is noticed at different times, the graph looks cut, and the ranks
        waver; a part that is owned well stays where it is meanwhile. Who leaves does so at once.
        """
        name, me = next(iter(self.rank(part)), None), self.node.me.name
        is_leaving = self.node.is_draining or self.is_leaving(me)
        seconds = self.firsts.note(part, name, self.node.now())
        is_first = name == me and not self.node.is_draining
        return is_first, is_leaving or seconds >= self.node.bounds.beat * 2

    def _is_owned_elsewhere(self, part):
        name = (self.node.find("gossip").get(f"owner/{part}") or {}).get("owner")
        return (
            name is not None
            and name != self.node.me.name
            and (self.node.find("nifty").reaches(name) and not self.is_leaving(name))
        )

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
        except QuillringError as error:
            self.node.log("warning", "take %s: %s", part, error)
            pause = self.node.bounds.beat / (4 if isinstance(error, Fenced) else 2)
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
            except Fenced as error:
                owner.step_down(error)
        self._wake()

    def on_submit(self, body, origin):
        """Commit a command in a part owned here."""
        owner = self._owner(body["part"])
        for check in self.checks:
            check(owner, body["command"])
        return owner.submit(body["command"])

    def on_read(self, body, origin):
        """Answer a query from a part owned here, under its fence."""
        read_state = yield from self._owner(body["part"]).fenced_state()
        return QUERIES.find(body["query"]["ask"])(read_state, body["query"])

    def on_whole(self, body, origin):
        """Tell whether the stores of a part owned here hold everything."""
        return tell_whole(self._owner(body["part"]))

    def _owner(self, part):
        owner = self.owners.get(part)
        if owner is None or not owner.is_owner:
            raise NotOwner(part=part)
        return owner
