"""Seeded bugs: phase one in a group that an entry of the log brought about is left out."""

from unittest import mock

from proving.model.patches import all_of
from quillring.quorum.leader import part_leader
from quillring.quorum.leader.uncommitted import best_entries, fetch_batch


def stay_in_phase_two():
    """A new owner that finds a change of the group proposes there without asking it first."""

    def finish_tail(owner, promises):
        best = best_entries(promises, owner.index)
        while owner.index + 1 in best:
            batch = yield from fetch_batch(owner, owner.index + 1, best[owner.index + 1])
            yield from owner.replicate(batch)
            owner.adopt_group(owner.state["group"])
        yield from owner.replicate([])
        return True

    return all_of([mock.patch.object(part_leader, "finish_tail", finish_tail)])


def skip_promise_again():
    """An owner whose own entry changed the group doesn't have the new one promise its ballot."""

    def promise_again(owner, prepare):
        prepare.close()
        return
        yield

    return all_of([mock.patch.object(part_leader, "promise_again", promise_again)])
