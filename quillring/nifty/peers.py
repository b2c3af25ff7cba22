"""Who the peers are: the roster, and what was last heard of each member."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.nifty.pace import Pace
from quillring.nifty.roster import Roster

if TYPE_CHECKING:
    from quillring.kernel.member import Member
    from quillring.kernel.node import Node
    from quillring.kernel.types import Address
    from quillring.nifty.heard import Heard

KEPT_ROSTERS = 8


class Peers:
    """The members as one node knows them."""

    __slots__ = (
        "node",
        "known_roster",
        "newcomers",
        "old_rosters",
        "pace",
        "heard",
        "is_stale",
        "on_member",
    )

    def __init__(self, node: Node) -> None:
        self.node = node
        self.known_roster = Roster([node.me])
        self.newcomers = {}
        self.old_rosters = {self.known_roster.digest: self.known_roster}
        self.pace = Pace(node.bounds, 1)
        self.heard = {}
        self.is_stale = True
        self.on_member = lambda member: None

    @property
    def roster(self) -> Roster:
        """The present roster; members learned since it was last read come in by one swap."""
        if self.newcomers:
            self.swap_roster(self._next_roster())
        return self.known_roster

    def _next_roster(self):
        new_members, self.newcomers = self.newcomers, {}
        return self.known_roster.with_members(new_members.values())

    def find_member(self, name: str) -> Member | None:
        """Return the member of this name, or None."""
        return self.newcomers.get(name) or self.known_roster.members.get(name)

    def member_count(self) -> int:
        """Return how many members are known, at most."""
        return len(self.known_roster.names) + len(self.newcomers)

    def learn(self, member: Member) -> None:
        """Take a member record; a newer incarnation renews the address."""
        known = self.find_member(member.name)
        if known is not None and known.incarnation >= member.incarnation:
            return
        if member.name == self.node.me.name:
            return
        self.newcomers[member.name] = member
        self.on_member(member)

    def forget(self, name: str) -> None:
        """Drop a retired member for good."""
        if name in self.roster.members and name != self.node.me.name:
            self.swap_roster(self.roster.without(name))
            self.heard.pop(name, None)

    def swap_roster(self, new_roster: Roster) -> None:
        """Put another roster in the place of the present one."""
        kept_rosters = [*self.old_rosters.values(), new_roster][-KEPT_ROSTERS:]
        self.is_stale = self.is_stale or new_roster.digest != self.known_roster.digest
        self.known_roster = new_roster
        self.old_rosters = {roster.digest: roster for roster in kept_rosters}
        self.pace = Pace(self.node.bounds, len(new_roster.names))
        for heard in self.heard.values():
            if heard.unread is not None and new_roster.digest == heard.digest:
                heard.take_row(heard.digest, heard.unread, new_roster)

    def take_row(self, heard: Heard, digest: bytes, bitmap: bytes) -> bool:
        """Take the bitmap that a member sent; tell whether its row changed."""
        if self.newcomers and digest not in self.old_rosters:
            self.swap_roster(self._next_roster())
        return heard.take_row(digest, bitmap, self.old_rosters.get(digest))

    def is_heard(self, heard: Heard) -> bool:
        """Tell whether too few beats were missed to break a link."""
        return heard.at > self.node.now() - self.pace.broken

    def on_refused(self, address: Address) -> None:
        """Take that no process listens at an address: who lived there is lost at once.

        It counts as lost as after missed beats, and until its next one. In a fleet whose beats are
        not slowed for its size, the others hear of it at once too.
        """
        if not self.refuse(address):
            return
        self.node.count("refused_links")
        self.refresh()
        if self.pace.period <= self.node.bounds.heartbeat_interval:
            self.send_beats()

    def refuse(self, address: Address) -> bool:
        """Take that the members at an address listen no more; tell whether that is news."""
        heard = [self.heard[n] for n in self.roster.addresses.get(address, ()) if n in self.heard]
        news = [known for known in heard if not known.is_refused and self.is_heard(known)]
        for known in news:
            known.is_refused = True
        return bool(news)

    def is_just_refused(self, name: str) -> bool:
        """Tell whether a member is lost only because it listens no more, not yet by its silence."""
        heard = self.heard.get(name)
        return heard is not None and heard.is_refused and self.is_heard(heard)

    def is_silent(self, name: str, seconds: float) -> bool:
        """Tell whether nothing was heard of a member for so long."""
        heard = self.heard.get(name)
        return heard is None or heard.at < self.node.now() - seconds

    def reached_names(self) -> frozenset[str]:
        """Return the names heard lately that lately heard this node too, by their echo."""
        heard_edge = self.node.now() - self.pace.broken
        echo_edge = heard_edge - self.pace.period
        return frozenset(
            [
                name
                for name, heard in self.heard.items()
                if heard.at > heard_edge
                and heard.echo_at is not None
                and heard.echo_at > echo_edge
                and not heard.is_refused
            ]
        )
