"""Check of a store's retirement: when no part needs the store any more, and why that stays so.

A store is free when these are observed in this order:

1. The store itself, if it is reachable, knows that it is retired and has no hints for a reachable
   member. From then on it refuses to join a part (`quorum.join`), whoever asks.
2. The leader of each part finds that its group is at full strength without the store, that every
   member is up to date under its ballot, and that no change under way adds the store. A leader that
   asked the store to join before step 1 either reports that here, or is fenced by the members that
   replied.

So no later leader can add the store again, and each part tolerates as many losses as its size
allows.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.effects import Signal, Wait
from quillring.kernel.errors import QuillringError, TimedOut, UnknownService
from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.quorum.leader.part_leader import PartLeader


class GroupStatus(NamedTuple):
    """A part's group as its leader reports it: all members, those that lag, those about to join."""

    group: tuple[str, ...]
    late: tuple[str, ...]
    joining: tuple[str, ...]

    @classmethod
    def from_wire(cls, fields: dict[str, list[str]]) -> GroupStatus:
        """Read the reply to `part.whole`; earlier versions omit `joining`."""
        return cls(tuple(fields["group"]), tuple(fields["late"]), tuple(fields.get("joining", ())))

    def to_wire(self) -> dict[str, list[str]]:
        """Return the reply to `part.whole` in its wire form."""
        return {"group": list(self.group), "late": list(self.late), "joining": list(self.joining)}

    def is_whole_without(self, store: str, size: int) -> bool:
        """Return whether the group is at full strength and up to date without the store.

        False also when the store is about to join.
        """
        is_apart = store not in self.group and store not in self.joining
        return is_apart and not self.late and len(self.group) >= size


def group_status(leader: PartLeader) -> Coroutine:
    """Return the GroupStatus of a part led here, by the entries committed when the call begins."""
    index = leader.index
    applied = yield from leader.applied_index_by_store()
    repair = leader.node.find("repair")
    joining = repair.joining.get(leader.part) if repair is not None else None
    names = tuple(member.name for member in leader.group)
    late = tuple(name for name in names if applied.get(name, -1) < index)
    return GroupStatus(names, late, () if joining is None else (joining,))


def may_join(node: Node, store: str) -> Coroutine:
    """Ask a store whether it may become a member; True if its version lacks that service."""
    try:
        yield from node.call(store, "quorum.join", None)
    except UnknownService:
        return True
    except QuillringError:
        return False
    return True


def is_free(node: Node, store: str, seconds: float) -> Coroutine:
    """Return whether no part needs a store that is ordered to retire.

    Raises the error of a part whose leader can't be asked within `seconds`.
    """
    if not (yield from _is_ready(node, store)):
        return False
    statuses = yield from ask_all_parts(node, seconds)
    size = node.find("ownership").size()
    return all(status.is_whole_without(store, size) for status in statuses)


def _is_ready(node: Node, store: str) -> Coroutine:
    """Return whether the store knows that it is retired and has no pending hints.

    True for an unreachable store, as it can't agree to join.
    """
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
    """Ask the leaders of all parts concurrently; return the GroupStatus of each.

    Raises
    ------
    QuillringError
        The error of a part whose leader could not be asked; TimedOut where one did not answer.
    """
    ownership, done_signal = node.find("ownership"), Signal()
    parts = ownership.parts()
    outcomes: dict[str, Any] = {}

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
    unheard = [part for part in parts if part not in outcomes]
    if unheard:
        raise TimedOut(service="part.whole", parts=unheard)
    for outcome in outcomes.values():
        if isinstance(outcome, QuillringError):
            raise outcome
    return [GroupStatus.from_wire(fields) for fields in outcomes.values()]
