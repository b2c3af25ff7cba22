"""Retirement of a store: when no part needs it any more, and why that stays so.

A store is free when these are seen in this order:

1. The store itself, if it is in reach, knows that it is retired and keeps no hints for a member in
   reach. From then on it refuses to join a part (`quorum.join`), whoever asks.
2. The owner of each part finds every member of a full group without the store up to date under its
   ballot, and no change under way that lets the store join. An owner that asked the store before
   step 1 either answers here, and tells of it, or is fenced by the members that answered.

So no later owner can bring the store back, and each part bears as many losses as it was made for.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quillring.kernel.effects import Signal, Wait
from quillring.kernel.errors import QuillringError, UnknownService

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.quorum.leader.part_leader import PartLeader


class PartAnswer(NamedTuple):
    """What a part's owner tells of its group: store names, and those not up to date or joining."""

    group: tuple
    late: tuple
    joining: tuple

    def is_whole_without(self, store: str, size: int) -> bool:
        """Tell whether the part is at full strength and neither has nor awaits the store."""
        is_apart = store not in self.group and store not in self.joining
        return is_apart and not self.late and len(self.group) >= size


def may_join(node: Node, store: str) -> Coroutine:
    """Ask a store whether it may become a member; one of a former version is not asked."""
    try:
        yield from node.call(store, "quorum.join", None)
    except UnknownService:
        return True
    except QuillringError:
        return False
    return True


def tell_whole(owner: PartLeader) -> Coroutine:
    """Coroutine, at the owner: answer `part.whole`; what was committed when it was asked counts."""
    index = owner.index
    applied = yield from owner.applied_index_by_store()
    repair = owner.node.find("repair")
    joining = repair.joining.get(owner.part) if repair is not None else None
    return {
        "group": [store[0] for store in owner.group],
        "late": [store[0] for store in owner.group if applied.get(store[0], -1) < index],
        "joining": [joining] if joining is not None else [],
    }


def is_free(node: Node, store: str, seconds: float) -> Coroutine:
    """Coroutine: tell whether a store that is marked as retired is needed no more.

    Raises an owner's error when a part can't be asked in time.
    """
    if not (yield from _is_ready(node, store)):
        return False
    answers = yield from ask_all_parts(node, seconds)
    size = node.find("ownership").size()
    return all(answer.is_whole_without(store, size) for answer in answers)


def _is_ready(node: Node, store: str) -> Coroutine:
    """Tell whether the store knows that it leaves; one out of reach can't join anything."""
    if not node.find("nifty").reaches(store):
        return True
    try:
        answer = yield from node.call(store, "quorum.leaving", None)
    except UnknownService:
        return True
    except QuillringError:
        return False
    return answer["retired"] and not answer["hints"]


def ask_all_parts(node: Node, seconds: float) -> Coroutine:
    """Ask the owners of all parts at once; return their PartAnswers or raise an error."""
    ownership, outcomes, done_signal = node.find("ownership"), {}, Signal()
    parts = ownership.parts()

    def ask_part(part: str) -> Coroutine:
        try:
            outcomes[part] = yield from ownership.call_leader(part, "part.whole", {}, seconds)
        except QuillringError as error:
            outcomes[part] = error
        if len(outcomes) == len(parts):
            done_signal.set()

    for part in parts:
        node.spawn(ask_part(part))
    yield Wait(done_signal, seconds * 2)
    for outcome in outcomes.values():
        if isinstance(outcome, QuillringError):
            raise outcome
    return [
        PartAnswer(tuple(o["group"]), tuple(o["late"]), tuple(o.get("joining", ())))
        for o in outcomes.values()
    ]
