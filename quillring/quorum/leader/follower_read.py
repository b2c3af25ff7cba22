"""Follower reads: linearizable reads from a majority of a part's stores, without its leader."""

from __future__ import annotations

from collections import Counter
from itertools import takewhile
from typing import TYPE_CHECKING

from quillring.kernel.errors import QuillringError, error_from_wire
from quillring.quorum.messages import FollowerReadReply, FollowerReadRequest
from quillring.quorum.parts import majority
from quillring.quorum.values import group_from_wire

if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import Any

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine, WireMap
    from quillring.quorum.messages import QueryAnswer, UncommittedAnswer
    from quillring.quorum.values import Ballot, Group


def read_from_majority(
    node: Node, part: str, group: Group, query: WireMap, seconds: float | None = None
) -> Coroutine:
    """Return the QueryAnswer that the replies of a majority of stores determine, or None.

    Takes at most `seconds`, by default half of `bounds.read_timeout`. If the replies of the first
    majority do not determine the answer, a second attempt waits for the replies of all stores.
    """
    seconds = node.bounds.read_timeout / 2 if seconds is None else seconds
    calls = []
    for member in group:
        request = FollowerReadRequest(part, query, True, member.identity)
        calls.append((member.name, "quorum.peek", request.to_wire()))
    for needed in dict.fromkeys((majority(group), len(group))):
        fields = yield from node.gather(calls, needed, seconds / 2)
        replies = [
            FollowerReadReply.from_wire(reply)
            for reply in fields.values()
            if not isinstance(reply, QuillringError)
        ]
        answer = find_answer(replies, group, query)
        if answer is not None:
            return answer
        if len(replies) < majority(group):
            return None
    return None


def find_answer(
    replies: Sequence[FollowerReadReply], group: Group, query: WireMap
) -> QueryAnswer | None:
    """Return the answer that the replies of a majority determine, or None.

    For each chosen entry, any majority includes a store that has applied or accepted it. An entry
    that a majority accepted under one ballot is chosen, because each of them has it on disk and a
    higher ballot can only propose the same entry again. The answer after such an entry is taken
    from a store whose entries before it are chosen as well. Any other accepted entry may or may not
    be chosen. If such an entry concerns the lot in the query, or no particular lot, only a leader
    can decide, and the result is None. The result is also None if the newest state names a group
    other than the one queried, since the new group chooses the entries that follow.
    """
    if len(replies) < majority(group):
        return None
    newest = max(replies, key=lambda reply: reply.applied)
    if sorted(group_from_wire(newest.group)) != sorted(group):
        return None
    applied, answer = newest.applied, newest.answer
    chosen = _chosen_entries_after(replies, applied, majority(group))
    if chosen:
        applied, answer = chosen[-1].log_index, chosen[-1].answer
    undecided_lots = {
        lot for reply in replies for index, lot in reply.uncommitted_lots if index > applied
    }
    affects_every_query = None in undecided_lots or (undecided_lots and "lot" not in query)
    if affects_every_query or query.get("lot") in undecided_lots:
        return None
    return answer


def _chosen_entries_after(
    replies: Sequence[FollowerReadReply], applied: int, needed: int
) -> list[UncommittedAnswer]:
    """Return the longest run of entries beyond `applied` that `needed` stores accepted.

    Only replies of stores whose applied index is `applied` are searched for a run, so that every
    run begins at the next index.
    """
    votes: Counter[tuple[int, Ballot]] = Counter(
        (entry.log_index, entry.ballot) for reply in replies for entry in reply.uncommitted or ()
    )

    def is_chosen(entry: UncommittedAnswer) -> bool:
        return votes[entry.log_index, entry.ballot] >= needed

    runs = [
        list(takewhile(is_chosen, reply.uncommitted or ()))
        for reply in replies
        if reply.applied == applied
    ]
    return max(runs, key=len)


def unwrap_answer(answer: QueryAnswer) -> Any:
    """Return the value of a query's answer, or raise the error that the answer contains."""
    if answer.error_kind is not None:
        raise error_from_wire(answer.error_kind, answer.answer)
    return answer.answer
