"""Check of a store's retirement: when no part needs it any more, and why that stays so.

A store is free when these are seen in this order:

1. The store itself, if it is in reach, knows that it is retired and keeps no hints for a member in
   reach. From then on it refuses to join a part (`quorum.join`), whoever asks.
2. The leader of each part finds every member of a full group without the store up to date under its
   ballot, and no change under way that lets the store join. A leader that asked the store before
   step 1 either answers here, and tells of it, or is fenced by the members that answered.

So no later leader can bring the store back, and each part bears as many losses as it was made for.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.effects import Signal, Wait
from quillring.kernel.errors import QuillringError, UnknownService
from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.quorum.leader.part_leader import PartLeader


class GroupStatus(NamedTuple):
    """What a part's leader tells of its group: store names, and those not up to date or joining."""

    group: tuple[str, ...]
    late: tuple[str, ...]
    joining: tuple[str, ...]

    @classmethod
    def from_wire(cls, fields: dict[str, list[str]]) -> GroupStatus:
        """Read the answer to `part.whole`; a former version tells nothing of who joins."""
        return cls(tuple(fields["group"]), tuple(fields["late"]), tuple(fields.get("joining", ())))

    def to_wire(self) -> dict[str, list[str]]:
        """Return the answer to `part.whole`."""
        return {"group": list(self.group), "late": list(self.late), "joining": list(self.joining)}

    def is_whole_without(self, store: str, size: int) -> bool:
        """Tell whether the part is at full strength and neither has nor awaits the store."""
        is_apart = store not in self.group and store not in self.joining
        return is_apart and not self.late and len(self.group) >= size


def group_status(leader: PartLeader) -> Coroutine:
    """Return the GroupStatus of a part led here; what is committed as it begins counts."""
    index = leader.index
    applied = yield from leader.applied_index_by_store()
    repair = leader.node.find("repair")
    joining = repair.joining.get(leader.part) if repair is not None else None
    names = tuple(member.name for member in leader.group)
    late = tuple(name for name in names if applied.get(name, -1) < index)
    return GroupStatus(names, late, () if joining is None else (joining,))


def may_join(node: Node, store: str) -> Coroutine:
    """Ask a store whether it may become a member; one of a former version is not asked."""
    try:
        yield from node.call(store, "quorum.join", None)
    except UnknownService:
        return True
    except QuillringError:
        return False
    return True


def is_free(node: Node, store: str, seconds: float) -> Coroutine:
    """Tell whether a store that is marked as retired is needed no more.

    Raises a leader's error when a part can't be asked within `seconds`.
    """
    if not (yield from _is_ready(node, store)):
        return False
    statuses = yield from ask_all_parts(node, seconds)
    size = node.find("ownership").size()
    return all(status.is_whole_without(store, size) for status in statuses)


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
    """Ask the leaders of all parts at once; return each GroupStatus, or raise an error."""
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
    for outcome in outcomes.values():
        if isinstance(outcome, QuillringError):
            raise outcome
    return [GroupStatus.from_wire(fields) for fields in outcomes.values()]
