"""One round of an owner: the same call to each store of the group, under the ballot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import Fenced, NoMajority, QuillringError
from quillring.quorum.parts import majority

if TYPE_CHECKING:
    from quillring.kernel.types import Coroutine
    from quillring.quorum.leader.part_leader import PartLeader


def ask_majority(owner: PartLeader, service: str, body: dict) -> Coroutine:
    """Coroutine: ask the group; return {store: good answer} of a majority.

    Raises Fenced when a store knows of a higher ballot, NoMajority when too few answer in time.
    """
    replies = yield from owner.node.gather(
        owner.calls(service, **body), majority(owner.group), owner.node.bounds.call_timeout, True
    )
    fences = [r.detail["ballot"] for r in replies.values() if isinstance(r, Fenced)]
    if fences:
        owner.highest_seen_ballot_number = max(
            owner.highest_seen_ballot_number, *(int(ballot[0]) for ballot in fences)
        )
        raise Fenced(part=owner.part, ballot=max(fences))
    good_replies = {t: r for t, r in replies.items() if not isinstance(r, QuillringError)}
    if len(good_replies) < majority(owner.group):
        errors = [r for r in replies.values() if isinstance(r, QuillringError)]
        raise NoMajority(part=owner.part, heard=sorted(good_replies)) from ExceptionGroup(
            f"stores of {owner.part}", errors
        )
    return good_replies
