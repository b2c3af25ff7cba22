"""Membership repair: replaces failed and retired members of groups, one change at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import QuillringError
from quillring.nifty.graph import rendezvous_score
from quillring.quorum.disk_health import is_disk_failing
from quillring.quorum.leader.membership_change import build_group_change
from quillring.quorum.leader.retirement_check import agrees_to_join
from quillring.quorum.parts import majority
from quillring.quorum.retirement_orders import is_retirement_ordered
from quillring.quorum.values import GroupMember

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.quorum.leader.membership_change import GroupChange
    from quillring.quorum.leader.part_leader import PartLeader
    from quillring.quorum.values import Group

LOST_AFTER_RECOVERY_MULTIPLE = 5
LOST_AFTER_RESYNC_FRACTION = 0.5
MAX_CONCURRENT_REPAIRS = 3


class MembershipRepair:
    """Replaces lost, emptied and retired members of the parts that this core leads.

    Times are in seconds of the node's clock:

    - `lost_since`: {store name: time since which it is unreachable or its disk fails};
    - `parts_under_repair`: the names of the parts whose group is being changed;
    - `joining`: {part: name of the store that is about to join};
    - `join_retry_at`: {store name: time from which it may be asked again to join};
    - `preferred_spares`: {part: name of the store picked to join by the last attempt, which the
      next attempt prefers}.
    """

    __slots__ = (
        "node",
        "lost_since",
        "parts_under_repair",
        "joining",
        "join_retry_at",
        "preferred_spares",
    )

    def __init__(self, node: Node) -> None:
        self.node = node
        self.lost_since: dict[str, float] = {}
        self.parts_under_repair: set[str] = set()
        self.joining: dict[str, str] = {}
        self.join_retry_at: dict[str, float] = {}
        self.preferred_spares: dict[str, str] = {}

    def run(self) -> Coroutine:
        """Check every part led here, and repair up to MAX_CONCURRENT_REPAIRS concurrently; endless.

        Parts that tolerate the fewest further losses are repaired first.
        """
        while True:
            yield Sleep(self.node.bounds.gossip_interval * 2)
            self._update_lost_since()
            leaders: list[PartLeader] = [
                leader
                for leader in self.node.find("ownership").leaders.values()
                if leader.part not in self.parts_under_repair and leader.has_lease()
            ]
            needing_change = [leader for leader in leaders if self._next_change(leader) is not None]
            free_slots = MAX_CONCURRENT_REPAIRS - len(self.parts_under_repair)
            for leader in sorted(needing_change, key=self._tolerable_losses)[: max(0, free_slots)]:
                self.parts_under_repair.add(leader.part)
                self.node.spawn(self._repair(leader))

    def _tolerable_losses(self, leader: PartLeader) -> tuple[int, str]:
        """Return (how many more members the part can lose, its name as a tie-break)."""
        live = [m for m in leader.group if not (self.is_lost(m) or self.has_lost_data(m))]
        return len(live) - majority(leader.group), leader.part

    def _repair(self, leader: PartLeader) -> Coroutine:
        """Commit one change of the group after another, until none is needed or one fails."""
        try:
            while leader.has_lease():
                change = self._next_change(leader)
                if change is None or not (yield from self._prepare(leader, change)):
                    break
                if change != self._next_change(leader):
                    break
                if not (yield from self._commit(leader, change)):
                    break
                self.joining.pop(leader.part, None)
                self.preferred_spares.pop(leader.part, None)
                yield from leader.repair_followers()
        finally:
            self.joining.pop(leader.part, None)
            self.parts_under_repair.discard(leader.part)

    def _update_lost_since(self) -> None:
        """Record since when each store is unreachable or its disk fails.

        A store lost only by a refused connection counts once the link timeout has passed too.
        """
        nifty, now = self.node.find("nifty"), self.node.now()
        store_names = [m.name for m in nifty.roster.members.values() if m.role == "store"]
        self.lost_since = {
            name: self.lost_since.get(name, now)
            for name in store_names
            if (not nifty.reaches(name) and not nifty.is_lost_by_refusal_only(name))
            or is_disk_failing(self.node, name)
        }

    def _prepare(self, leader: PartLeader, change: GroupChange) -> Coroutine:
        """Bring the joining store, if any, and the followers up to date.

        Return whether the new group has every committed entry.
        """
        if change.joining is not None and not (yield from self._invite(leader, change.joining)):
            return False
        yield from leader.repair_followers()
        index = leader.index
        applied = yield from leader.applied_index_by_store()
        return change.preserves_committed_entries(applied, index, self.node.find("nifty").reaches)

    def _invite(self, leader: PartLeader, store: GroupMember) -> Coroutine:
        """Ask a store to join, and bring it up to date; return whether both succeeded.

        After a refusal it is not asked again for `bounds.propagation` seconds.
        """
        self.joining[leader.part] = self.preferred_spares[leader.part] = store.name
        if not (yield from agrees_to_join(self.node, store.name)):
            self.join_retry_at[store.name] = self.node.now() + self.node.bounds.propagation
            return False
        return (yield from leader.catch_up.bring_up_to_date(store))

    def _commit(self, leader: PartLeader, change: GroupChange) -> Coroutine:
        """Commit the change in one log entry; return whether that succeeded."""
        names = [member.name for member in change.group]
        self.node.log("warning", "changing membership of part %s to stores %s", leader.part, names)
        self.node.count("group_changes")
        try:
            yield from leader.submit_first(change.commands(leader.group))
        except QuillringError as error:
            self.node.log("warning", "membership change of part %s failed: %s", leader.part, error)
            return False
        return True

    def has_lost_data(self, member: GroupMember) -> bool:
        """Return whether the store restarted with an empty disk, under a new identity."""
        present = self.node.find("nifty").roster.members.get(member.name)
        return present is not None and present.identity != member.identity

    def is_lost(self, member: GroupMember) -> bool:
        """Return whether the store has been unreachable, or its disk failing, for too long.

        The limit is LOST_AFTER_RESYNC_FRACTION of `bounds.resync`, or if that is None,
        LOST_AFTER_RECOVERY_MULTIPLE times `bounds.recovery`.
        """
        bounds, since = self.node.bounds, self.lost_since.get(member.name)
        if bounds.resync is None:
            lost_after_seconds = bounds.recovery * LOST_AFTER_RECOVERY_MULTIPLE
        else:
            lost_after_seconds = bounds.resync * LOST_AFTER_RESYNC_FRACTION
        return since is not None and self.node.now() - since > lost_after_seconds

    def is_retired(self, member: GroupMember) -> bool:
        """Return whether operators ordered the store to retire from every part."""
        return is_retirement_ordered(self.node, member.name)

    def is_forced(self, member: GroupMember) -> bool:
        """Return whether operators accept a group below full size for this store's retirement."""
        stores = (self.node.find("layout").configuration or {}).get("stores", {})
        return bool(stores.get(member.name, {}).get("forced"))

    def _next_change(self, leader: PartLeader) -> GroupChange | None:
        """Return the next change that the part's group needs, or None."""
        group, size = leader.group, self.node.find("ownership").stores_per_part()
        spare = self._pick_spare(leader.part, group)
        lost = [m for m in group if self.has_lost_data(m) or self.is_lost(m)]
        leaving = [*lost, *(m for m in group if self.is_retired(m) and m not in lost)]
        if len(group) > size:
            surplus = (leaving or members_in_fullest_zones(group) or group[-1:])[0]
            return build_group_change(group, leaving=surplus, is_leaving_store_lost=surplus in lost)
        if len(group) < size:
            return build_group_change(group, joining=spare) if spare else None
        if leaving and spare:
            return build_group_change(group, spare, leaving[0], leaving[0] in lost)
        for member in leaving:
            if self.has_lost_data(member) or self.is_forced(member):
                return build_group_change(
                    group, leaving=member, is_leaving_store_lost=member in lost
                )
        return None

    def _pick_spare(self, part: str, group: Group) -> GroupMember | None:
        """Return the store that should join the group, or None.

        Stores are ordered by the number of members in their zone, fewest first. Ties are broken in
        favor of the store picked in the last attempt, then by rendezvous hashing.
        """
        staying = [m for m in group if not (self.is_retired(m) or self.is_lost(m))]
        used_zones = [m.zone for m in staying if not self.has_lost_data(m)]
        names = {m.name for m in group if not self.has_lost_data(m)}
        # No zone may have a majority of a full group, or its loss would stop the part.
        max_members_per_zone = self.node.find("ownership").stores_per_part() // 2
        candidates = [
            store
            for store in self._working_stores()
            if store.name not in names
            and used_zones.count(store.zone) < max_members_per_zone
            and not self.is_retired(store)
        ]
        preferred_name = self.preferred_spares.get(part)

        def preference(store: GroupMember) -> tuple[int, bool, bytes]:
            is_preferred = store.name == preferred_name
            return -used_zones.count(store.zone), is_preferred, rendezvous_score(part, store.name)

        return max(candidates, default=None, key=preference)

    def _working_stores(self) -> list[GroupMember]:
        """Return the reachable stores whose disks work and that have not refused to join lately."""
        nifty, now = self.node.find("nifty"), self.node.now()
        return [
            GroupMember(m.name, m.identity, m.zone)
            for m in nifty.roster.members.values()
            if m.role == "store"
            and nifty.reaches(m.name)
            and not is_disk_failing(self.node, m.name)
            and self.join_retry_at.get(m.name, now) <= now
        ]


def members_in_fullest_zones(group: Group) -> list[GroupMember]:
    """Return the members in the zones with the most members; none if each zone has only one."""
    zones = [member.zone for member in group]
    max_count = max(map(zones.count, zones))
    return [m for m in group if max_count > 1 and zones.count(m.zone) == max_count]
