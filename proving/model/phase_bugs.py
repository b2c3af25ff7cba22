"""Seeded bugs: phase one in a group that an entry of the log brought about is left out."""

from unittest import mock

from proving.model.patches import all_of
from quillring.quorum.leader.part_leader import PartLeader
from quillring.quorum.leader.uncommitted import candidate_entries, fetch_batch


def stay_in_phase_two():
    """A new leader that finds a change of the group proposes there without asking it first."""

    def commit_uncommitted(self, promises):
        best = candidate_entries(promises, self.index)
        while (index := self.index + 1) in best:
            batch = yield from fetch_batch(self.node, self.part, index, best[index])
            yield from self.replicate(batch)
            self.caller.adopt_group(self.machine.group())
        yield from self.replicate([])
        return True

    return all_of([mock.patch.object(PartLeader, "_commit_uncommitted", commit_uncommitted)])


def skip_promise_again():
    """A leader whose own entry changed the group doesn't have the new one promise its ballot."""

    def prepare_changed_group(self):
        return
        yield

    return all_of([mock.patch.object(PartLeader, "_prepare_changed_group", prepare_changed_group)])
