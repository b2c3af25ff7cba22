"""A leader that notes whether phase one asked a group before an entry is proposed there."""

from proving.model.events import ProposedUnasked
from quillring.quorum.leader.part_leader import PartLeader
from quillring.quorum.messages import PrepareRequest


class WatchedLeader(PartLeader):
    """The production leader; `unasked` holds the events of entries that skip phase one."""

    __slots__ = ("asked_ballot", "asked_groups", "unasked")

    def __init__(self, node, part, group, former):
        super().__init__(node, part, group, former)
        self.asked_ballot, self.asked_groups = None, frozenset()
        self.unasked = []

    def _call_majority(self, request_type, **fields):
        ballot, group = tuple(self.ballot), members_of(self.group)
        replies = yield from super()._call_majority(request_type, **fields)
        if request_type is PrepareRequest:
            known = self.asked_groups if ballot == self.asked_ballot else frozenset()
            self.asked_ballot, self.asked_groups = ballot, known | {group}
        return replies

    def replicate(self, batch):
        """Have a majority accept the next entry, once it is noted who was asked before."""
        ballot, group = tuple(self.ballot), members_of(self.group)
        if ballot != self.asked_ballot or group not in self.asked_groups:
            self.unasked.append(ProposedUnasked(ballot, self.index + 1))
        return (yield from super().replicate(batch))


def members_of(group):
    """Return the identities of a group's stores."""
    return tuple(sorted(member.identity for member in group))
