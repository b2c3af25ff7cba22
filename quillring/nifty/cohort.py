"""Who the cohort is: the roster, and what was last heard of each member."""

from quillring.nifty.member import Roster
from quillring.nifty.pace import Pace

KEPT_ROSTERS = 8


class Cohort:
    """The members as one node knows them."""

    __slots__ = (
        "node", "knownRoster", "newcomers", "oldRosters", "pace", "heard", "isStale", "on_member",
    )

    def __init__(self, node):
        self.node = node
        self.knownRoster = Roster([node.me])
        self.newcomers = {}
        self.oldRosters = {self.knownRoster.digest: self.knownRoster}
        self.pace = Pace(node.bounds, 1)
        self.heard = {}
        self.isStale = True
        self.on_member = lambda member: None

    @property
    def roster(self):
        """The present roster; members learned since it was last read come in by one swap."""
        if self.newcomers:
            self.swap_roster(self._next_roster())
        return self.knownRoster

    def _next_roster(self):
        newMembers, self.newcomers = self.newcomers, {}
        return self.knownRoster.with_members(newMembers.values())

    def find_member(self, name):
        """Return the member of this name, or None."""
        return self.newcomers.get(name) or self.knownRoster.members.get(name)

    def member_count(self):
        """Return how many members are known, at most."""
        return len(self.knownRoster.names) + len(self.newcomers)

    def learn(self, member):
        """Take a member record; a newer incarnation renews the address."""
        known = self.find_member(member.name)
        if known is not None and known.incarnation >= member.incarnation:
            return
        if member.name == self.node.me.name:
            return
        self.newcomers[member.name] = member
        self.on_member(member)

    def forget(self, name):
        """Drop a retired member for good."""
        if name in self.roster.members and name != self.node.me.name:
            self.swap_roster(self.roster.without(name))
            self.heard.pop(name, None)

    def swap_roster(self, newRoster):
        """Put another roster in the place of the present one."""
        keptRosters = [*self.oldRosters.values(), newRoster][-KEPT_ROSTERS:]
        self.isStale = self.isStale or newRoster.digest != self.knownRoster.digest
        self.knownRoster = newRoster
        self.oldRosters = {roster.digest: roster for roster in keptRosters}
        self.pace = Pace(self.node.bounds, len(newRoster.names))
        for heard in self.heard.values():
            if heard.unread is not None and newRoster.digest == heard.digest:
                heard.take_row(heard.digest, heard.unread, newRoster)

    def take_row(self, heard, digest, bitmap):
        """Take the bitmap that a member sent; tell whether its row changed."""
        if self.newcomers and digest not in self.oldRosters:
            self.swap_roster(self._next_roster())
        return heard.take_row(digest, bitmap, self.oldRosters.get(digest))

    def is_heard(self, heard):
        """Tell whether too few beats were missed to break a link."""
        return heard.at > self.node.now() - self.pace.broken

    def is_silent(self, name, seconds):
        """Tell whether nothing was heard of a member for so long."""
        heard = self.heard.get(name)
        return heard is None or heard.at < self.node.now() - seconds

    def reached_names(self):
        """Return the names heard lately that lately heard this node too, by their echo."""
        heardEdge = self.node.now() - self.pace.broken
        echoEdge = heardEdge - self.pace.period
        return frozenset([
            name for name, heard in self.heard.items()
            if heard.at > heardEdge and heard.echoAt is not None and heard.echoAt > echoEdge
        ])
