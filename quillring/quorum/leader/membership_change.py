"""Changes of a part's group: a joining store catches up, then one log entry makes it a member.

A member is replaced by one log entry with two commands, add and remove, so that no entry is ever
committed by an enlarged group that still includes the dead member. A majority of the old group and
a majority of the new one need not intersect: {a, dead} and {b, new} do not. The change is safe
because it is an entry of the log (Lamport, Malkhi, Zhou: "Reconfiguring a State Machine",
section 3, with a window of one):

- entry i + 1 is chosen by the group in the state after entry i;
- entry i, which changes the group, is chosen by a majority of the previous group;
- a leader proposes to a group only after a majority of that same group promised its ballot.

So any majority of the previous group includes a store that accepted the change.
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
    """A change of one part's group: a store joins, a store leaves, or one replaces another.

    `group` is the new group. `is_leaving_store_lost` is True if the leaving store is unreachable,
    or if its disk fails or was emptied; it then does not count as having any entry.
    """

    group: tuple[GroupMember, ...]
    joining: GroupMember | None = None
    leaving: GroupMember | None = None
    is_leaving_store_lost: bool = False

    def commands(self, former_group: Group) -> list[dict[str, Any]]:
        """Return the commands of the change, for one log entry; each adds or removes one member."""
        steps: list[Iterable[GroupMember]] = []
        if self.joining is not None and self.leaving is not None:
            steps.append([*former_group, self.joining])
        steps.append(self.group)
        return [{"do": "group.change", "group": group_to_wire(group)} for group in steps]

    def preserves_committed_entries(
        self, applied: dict[str, int], index: int, reaches: Callable[[str], bool]
    ) -> bool:
        """Return whether the new group has every entry committed up to an index on disk.

        `applied` is {store name: its applied index}. If the leaving store is lost, the entries
        chosen after the index were accepted by a majority of the previous group without it, hence
        by a store of every majority of the new group. So an up-to-date majority of the new group
        is enough, and a slow member does not delay the change. A leaving store that works may be
        one of the few that have an entry, so every reachable member has to be up to date first.
        """
        others = [member.name for member in self.group if member != self.joining]
        up_to_date = [name for name in others if applied.get(name, -1) >= index]
        if self.is_leaving_store_lost:
            return len(up_to_date) + (self.joining is not None) >= majority(self.group)
        return all(name in up_to_date for name in others if reaches(name))


def build_group_change(
    group: Group,
    joining: GroupMember | None = None,
    leaving: GroupMember | None = None,
    is_leaving_store_lost: bool = False,
) -> GroupChange:
    """Return the change of a group in which one store joins, one leaves, or both."""
    staying = [member for member in group if member != leaving]
    joined = [joining] if joining is not None else []
    return GroupChange((*staying, *joined), joining, leaving, is_leaving_store_lost)
