"""Seeded bugs: a leader skips phase one in a group that a log entry introduced."""

from unittest import mock

from proving.model.patches import apply_patches
from quillring.quorum.leader.part_leader import PartLeader
from quillring.quorum.leader.uncommitted import candidate_entries, fetch_batch


def stay_in_phase_two():
    """A new leader that recovers a group change proposes to the new group without phase one."""

    def commit_uncommitted(self, promises):
        best = candidate_entries(promises, self.index)
        while (index := self.index + 1) in best:
            batch = yield from fetch_batch(self.node, self.part, index, best[index])
            yield from self.replicate(batch)
            self.caller.adopt_group(self.machine.group())
        yield from self.replicate([])
        return True

    return apply_patches([mock.patch.object(PartLeader, "_commit_uncommitted", commit_uncommitted)])


def skip_promise_again():
    """A leader whose own entry changed the group doesn't run phase one in the new group."""

    def prepare_changed_group(self):
        return
        yield

    return apply_patches(
        [mock.patch.object(PartLeader, "_prepare_changed_group", prepare_changed_group)]
    )
