"""Retirement check: whether a retired store may be removed, and why the result remains valid.

A store is safe to remove once these two conditions are observed, in this order:

1. The store, if it is reachable, knows that it is retired and has no hints for a reachable member.
   From then on it refuses every request to join a part (`quorum.join`).
2. The leader of each part finds that its group is at full strength without the store, that every
   member is up to date under the leader's ballot, and that no change in progress adds the store. A
   leader that asked the store to join before step 1 either reports the pending join here, or is
   fenced by the members that replied.

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
    """A part's group as reported by its leader: names of members, lagging and joining stores."""

    group: tuple[str, ...]
    lagging: tuple[str, ...]
    joining: tuple[str, ...]

    @classmethod
    def from_wire(cls, fields: dict[str, list[str]]) -> GroupStatus:
        """Parse the reply to `part.whole`; earlier versions omit `joining`."""
        return cls(tuple(fields["group"]), tuple(fields["late"]), tuple(fields.get("joining", ())))

    def to_wire(self) -> dict[str, list[str]]:
        """Return the reply to `part.whole` in its wire form."""
        return {
            "group": list(self.group),
            "late": list(self.lagging),
            "joining": list(self.joining),
        }

    def is_whole_without(self, store: str, size: int) -> bool:
        """Return whether the group is at full strength and up to date without the store.

        The result is False if the group has fewer than `size` members, if a member lags, or if the
        store is a member or about to join.
        """
        is_unrelated = store not in self.group and store not in self.joining
        return is_unrelated and not self.lagging and len(self.group) >= size


def group_status(leader: PartLeader) -> Coroutine:
    """Return the GroupStatus of a part led here; a member that lacks an entry is lagging.

    Only entries committed before the call began are considered.
    """
    index = leader.index
    applied = yield from leader.applied_index_by_store()
    repair = leader.node.find("repair")
    joining = repair.joining.get(leader.part) if repair is not None else None
    names = tuple(member.name for member in leader.group)
    lagging = tuple(name for name in names if applied.get(name, -1) < index)
    return GroupStatus(names, lagging, () if joining is None else (joining,))


def agrees_to_join(node: Node, store: str) -> Coroutine:
    """Ask a store whether it agrees to become a member; True if its version lacks the service."""
    try:
        yield from node.call(store, "quorum.join", None)
    except UnknownService:
        return True
    except QuillringError:
        return False
    return True


def is_safe_to_remove(node: Node, store: str, seconds: float) -> Coroutine:
    """Return whether a store that is ordered to retire is no longer needed by any part.

    Raises the error of a part whose leader can't be reached within `seconds`.
    """
    if not (yield from _is_ready_to_leave(node, store)):
        return False
    statuses = yield from fetch_group_statuses(node, seconds)
    size = node.find("ownership").stores_per_part()
    return all(status.is_whole_without(store, size) for status in statuses)


def _is_ready_to_leave(node: Node, store: str) -> Coroutine:
    """Return whether the store knows that it is retired and has no pending hints.

    True for an unreachable store, since it can't agree to join, and for one whose version lacks the
    service.
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


def fetch_group_statuses(node: Node, seconds: float) -> Coroutine:
    """Ask the leaders of all parts concurrently; return the GroupStatus of each.

    Raises
    ------
    QuillringError
        The error of a part whose leader could not be reached, or TimedOut if a leader did not
        answer.
    """
    ownership, done_signal = node.find("ownership"), Signal()
    parts = ownership.parts()
    outcomes: dict[str, Any] = {}

    def fetch_status(part: str) -> Coroutine:
        try:
            outcomes[part] = yield from ownership.call_leader(part, "part.whole", {}, seconds)
        except QuillringError as error:
            outcomes[part] = error
        if len(outcomes) == len(parts):
            done_signal.set()

    for part in parts:
        node.spawn(fetch_status(part))
    yield Wait(done_signal, seconds * 2)
    unanswered = [part for part in parts if part not in outcomes]
    if unanswered:
        raise TimedOut(service="part.whole", parts=unanswered)
    for outcome in outcomes.values():
        if isinstance(outcome, QuillringError):
            raise outcome
    return [GroupStatus.from_wire(fields) for fields in outcomes.values()]
