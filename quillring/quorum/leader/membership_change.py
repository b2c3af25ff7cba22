"""Changes of a part's group: the joining store catches up first, then one entry swaps it in.

A member is replaced by one log entry with two commands, add and remove, so that no entry is ever
committed by an enlarged group that still has the dead member. Majorities of the two groups need not
all intersect ({a, dead} and {b, new} do not). What makes the change safe is its place in the log:
entry i + 1 is chosen by the group in the state after entry i, entry i is chosen by a majority of
the previous group, and no leader proposes to a group before a majority of that very group promised
its ballot (Lamport, Malkhi, Zhou: "Reconfiguring a State Machine", section 3, with a window of
one). So any majority of the previous group includes a store that accepted the change.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from quillring.kernel.records import NamedTuple
from quillring.quorum.parts import majority
from quillring.quorum.values import GroupMember, group_to_wire

if TYPE_CHECKING:
    from typing import Any

    from quillring.quorum.values import Group


class GroupChange(NamedTuple):
    """A change of one part's group: a store joins, a store leaves, or one takes another's place.

    `is_gone` says that the leaving store is unreachable, or that its disk fails or was emptied, so
    that it does not count as a holder of entries.
    """

    group: tuple[GroupMember, ...]
    joining: GroupMember | None = None
    leaving: GroupMember | None = None
    is_gone: bool = False

    def commands(self, former_group: Group) -> list[dict[str, Any]]:
        """Return the commands of the one log entry, each of which changes one member."""
        steps: list[Iterable[GroupMember]] = []
        if self.joining is not None and self.leaving is not None:
            steps.append([*former_group, self.joining])
        steps.append(self.group)
        return [{"do": "group.change", "group": group_to_wire(group)} for group in steps]

    def is_durable(
        self, applied: dict[str, int], index: int, reaches: Callable[[str], bool]
    ) -> bool:
        """Return whether the new group has durably all entries committed up to an index.

        `applied` is {store name: index it applied}. Entries after the index that are chosen while
        the leaving store is gone were accepted by a majority of the previous group without it,
        hence by a store of every majority of the new one; so a majority that is up to date is
        enough, and a slow member does not delay the change. A working store that leaves may be one
        of the few that have an entry, so then every reachable member has to be up to date.
        """
        others = [member.name for member in self.group if member != self.joining]
        current = [name for name in others if applied.get(name, -1) >= index]
        if self.is_gone:
            return len(current) + (self.joining is not None) >= majority(self.group)
        return all(name in current for name in others if reaches(name))


def new_group(
    group: Group,
    joining: GroupMember | None = None,
    leaving: GroupMember | None = None,
    is_gone: bool = False,
) -> GroupChange:
    """Return the change by which one store joins a group, one leaves, or both at once."""
    staying = [member for member in group if member != leaving]
    joined = [joining] if joining is not None else []
    return GroupChange((*staying, *joined), joining, leaving, is_gone)
