"""Seeded bugs in the vote of the seeds on the founding record."""

from unittest import mock

from proving.model.patches import apply_patches
from quillring.quorum.founding.founding_vote import FoundingVoter
from quillring.quorum.values import NO_BALLOT


def vote_in_memory():
    """A seed stores its vote only in memory and may therefore vote again after a restart."""

    def recall(self):
        return self.vote
        yield

    def keep(self, former, vote):
        self.vote = vote._replace(number=former.number + 1)
        return
        yield

    names = {"_recall": recall, "_keep": keep}
    return apply_patches(
        [mock.patch.object(FoundingVoter, name, coroutine) for name, coroutine in names.items()]
    )


def accept_below_vote():
    """A seed accepts a record under a ballot below the one it promised."""
    real = FoundingVoter.on_accept

    def on_accept(self, body, origin):
        vote = yield from self._recall()
        promised = max(vote.promised, tuple(body["ballot"]))
        return (yield from real(self, {**body, "ballot": list(promised)}, origin))

    return apply_patches([mock.patch.object(FoundingVoter, "on_accept", on_accept)])


def tell_no_record():
    """A seed leaves the record that it accepted out of its promise."""
    real = FoundingVoter.on_prepare

    def on_prepare(self, body, origin):
        yield from real(self, body, origin)
        return [list(NO_BALLOT), None]

    return apply_patches([mock.patch.object(FoundingVoter, "on_prepare", on_prepare)])
