"""A leader that checks whether phase one covered a group before it proposes an entry there."""

from proving.model.events import ProposedWithoutPrepare
from quillring.quorum.leader.part_leader import PartLeader
from quillring.quorum.messages import PrepareRequest


class WatchedLeader(PartLeader):
    """The production leader; `skipped_prepares` collects events of entries without phase one."""

    __slots__ = ("prepared_ballot", "prepared_groups", "skipped_prepares")

    def __init__(self, node, part, group, former):
        super().__init__(node, part, group, former)
        self.prepared_ballot, self.prepared_groups = None, frozenset()
        self.skipped_prepares = []

    def _call_majority(self, request_type, **fields):
        ballot, group = tuple(self.ballot), identities_of(self.group)
        replies = yield from super()._call_majority(request_type, **fields)
        if request_type is PrepareRequest:
            known = self.prepared_groups if ballot == self.prepared_ballot else frozenset()
            self.prepared_ballot, self.prepared_groups = ballot, known | {group}
        return replies

    def replicate(self, batch):
        """Replicate the next entry; report an event if its group didn't promise the ballot."""
        ballot, group = tuple(self.ballot), identities_of(self.group)
        if ballot != self.prepared_ballot or group not in self.prepared_groups:
            self.skipped_prepares.append(ProposedWithoutPrepare(ballot, self.index + 1))
        return (yield from super().replicate(batch))


def identities_of(group):
    """Return the identities of a group's stores."""
    return tuple(sorted(member.identity for member in group))
