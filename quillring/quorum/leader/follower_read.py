"""Reading a part while it has no owner: from a majority of its stores."""

from __future__ import annotations

from collections import Counter
from itertools import takewhile
from typing import TYPE_CHECKING

from quillring.kernel.errors import QuillringError, rebuild
from quillring.quorum.parts import majority

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.quorum.values import Group


def peek(
    node: Node, part: str, group: Group, query: dict[str, Any], seconds: float | None = None
) -> Coroutine:
    """Coroutine: return a function that gives the answer or raises it, or None when it is not sure.

    It takes `seconds` at most, by default half the bound on reading.
    """
    seconds = node.bounds.read_timeout / 2 if seconds is None else seconds
    body = {"part": part, "query": query, "beyond": True}
    calls = [(store, "quorum.peek", {**body, "identity": identity}) for store, identity, _ in group]
    for need in dict.fromkeys((majority(group), len(group))):
        replies = yield from node.gather(calls, need, seconds / 2)
        known = [reply for reply in replies.values() if not isinstance(reply, QuillringError)]
        found = find_answer(known, group, query)
        if found is not None:
            return lambda: give(*found)
        if len(known) < majority(group):
            return None
    return None


def find_answer(replies: list[list[Any]], group: Group, query: dict[str, Any]) -> list[Any] | None:
    """Return [error's kind or None, answer] that a majority's words make sure, or None.

    Whatever was chosen lies at one of the majority: applied there, or accepted beyond. An entry
    that a majority holds under one ballot is chosen: each of them has it on its disk, and a higher
    ballot can only propose the same again. The answer after it counts from a store whose state
    before it was chosen as well. Any other entry may be chosen or not; where it concerns the lot
    that is asked for, or no lot, only an owner can tell. So it is when the stores tell of another
    group than the one asked, or of a change of it, which gives what follows to other stores.
    """
    if len(replies) < majority(group):
        return None
    applied, known_group, _, *answer = max(replies, key=lambda reply: reply[0])[:5]
    if sorted(map(list, known_group)) != sorted(map(list, group)):
        return None
    beyond = [reply[5] if len(reply) > 5 else [] for reply in replies]
    votes = Counter((index, tuple(ballot)) for rows in beyond for index, ballot, *_ in rows)
    chosen = max(
        (
            list(takewhile(lambda row: votes[row[0], tuple(row[1])] >= majority(group), rows))
            for reply, rows in zip(replies, beyond, strict=True)
            if reply[0] == applied
        ),
        key=len,
    )
    if chosen:
        applied, _, *answer = chosen[-1]
    unsure = {lot for reply in replies for index, lot in reply[2] if index > applied}
    if None in unsure or query.get("lot") in unsure or (unsure and "lot" not in query):
        return None
    return answer


def give(kind: str | None, answer: Any) -> Any:
    """Return the answer, or raise the error of this kind."""
    if kind is not None:
        raise rebuild(kind, answer)
    return answer
