"""Membership repair: replaces failed and retired members of groups, one change at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import QuillringError
from quillring.nifty.graph import score
from quillring.quorum.disk_health import is_disk_failing
from quillring.quorum.leader.membership_change import new_group
from quillring.quorum.leader.retirement_check import may_join
from quillring.quorum.parts import majority
from quillring.quorum.retirement_orders import is_retirement_ordered
from quillring.quorum.values import GroupMember

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.quorum.leader.membership_change import GroupChange
    from quillring.quorum.leader.part_leader import PartLeader
    from quillring.quorum.values import Group

LOST_AFTER_RECOVERIES = 5
LOST_AFTER_RESYNC_SHARE = 0.5
PARTS_AT_ONCE = 3


class MembershipRepair:
    """Replaces lost, emptied and retired members of the parts that this core leads.

    `lost_since` is {store name: time since when it is unreachable or its disk fails}; `joining` is
    {part: store that is about to join}; `chosen` is {part: store that was picked to join, and is
    preferred in the next attempt}; `refused_until` is {store name: time until it is not asked to
    join again}. Times are seconds of the node's clock.
    """

    __slots__ = ("node", "lost_since", "busy_parts", "joining", "refused_until", "chosen")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.lost_since: dict[str, float] = {}
        self.busy_parts: set[str] = set()
        self.joining: dict[str, str] = {}
        self.refused_until: dict[str, float] = {}
        self.chosen: dict[str, str] = {}

    def run(self) -> Coroutine:
        """Check every part led here, and repair up to PARTS_AT_ONCE of them concurrently; endless.

        Parts that can bear the fewest further losses come first.
        """
        while True:
            yield Sleep(self.node.bounds.gossip_interval * 2)
            self._note_lost()
            leaders: list[PartLeader] = [
                leader
                for leader in self.node.find("ownership").leaders.values()
                if leader.part not in self.busy_parts and leader.has_lease()
            ]
            broken = [leader for leader in leaders if self._next_change(leader) is not None]
            room = PARTS_AT_ONCE - len(self.busy_parts)
            for leader in sorted(broken, key=self._losses_to_spare)[: max(0, room)]:
                self.busy_parts.add(leader.part)
                self.node.spawn(self._repair(leader))

    def _losses_to_spare(self, leader: PartLeader) -> tuple[int, str]:
        """Return how many more members the part can lose, and its name as a tie-break."""
        live = [m for m in leader.group if not (self.is_lost(m) or self.is_emptied(m))]
        return len(live) - majority(leader.group), leader.part

    def _repair(self, leader: PartLeader) -> Coroutine:
        """Change the group one member at a time until no change is needed or one fails."""
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
                self.chosen.pop(leader.part, None)
                yield from leader.repair_followers()
        finally:
            self.joining.pop(leader.part, None)
            self.busy_parts.discard(leader.part)

    def _note_lost(self) -> None:
        nifty, now = self.node.find("nifty"), self.node.now()
        store_names = [m.name for m in nifty.roster.members.values() if m.role == "store"]
        self.lost_since = {
            name: self.lost_since.get(name, now)
            for name in store_names
            if (not nifty.reaches(name) and not nifty.is_lost_by_refusal_only(name))
            or is_disk_failing(self.node, name)
        }

    def _prepare(self, leader: PartLeader, change: GroupChange) -> Coroutine:
        """Bring the joining store up to date; return whether the change loses nothing committed."""
        if change.joining is not None and not (yield from self._invite(leader, change.joining)):
            return False
        yield from leader.repair_followers()
        index = leader.index
        applied = yield from leader.applied_index_by_store()
        return change.is_durable(applied, index, self.node.find("nifty").reaches)

    def _invite(self, leader: PartLeader, store: GroupMember) -> Coroutine:
        """Bring a store that agrees to join up to date; return whether it is.

        After a refusal it is not asked again for `bounds.propagation` seconds.
        """
        self.joining[leader.part] = self.chosen[leader.part] = store.name
        if not (yield from may_join(self.node, store.name)):
            self.refused_until[store.name] = self.node.now() + self.node.bounds.propagation
            return False
        return (yield from leader.catch_up.bring_up_to_date(store))

    def _commit(self, leader: PartLeader, change: GroupChange) -> Coroutine:
        """Commit the change in one entry of the log; return whether that succeeded."""
        names = [member.name for member in change.group]
        self.node.log("warning", "membership change: group of %s becomes %s", leader.part, names)
        self.node.count("group_changes")
        try:
            yield from leader.submit_first(change.commands(leader.group))
        except QuillringError as error:
            self.node.log("warning", "membership change of %s: %s", leader.part, error)
            return False
        return True

    def is_emptied(self, member: GroupMember) -> bool:
        """Return whether the store came back with an empty disk, as a new member."""
        present = self.node.find("nifty").roster.members.get(member.name)
        return present is not None and present.identity != member.identity

    def is_lost(self, member: GroupMember) -> bool:
        """Return whether the store has been unreachable, or its disk has failed, for too long.

        That is LOST_AFTER_RESYNC_SHARE of `bounds.resync`, or where that is None,
        LOST_AFTER_RECOVERIES times `bounds.recovery`.
        """
        bounds, since = self.node.bounds, self.lost_since.get(member.name)
        if bounds.resync is None:
            lost_after_seconds = bounds.recovery * LOST_AFTER_RECOVERIES
        else:
            lost_after_seconds = bounds.resync * LOST_AFTER_RESYNC_SHARE
        return since is not None and self.node.now() - since > lost_after_seconds

    def is_retired(self, member: GroupMember) -> bool:
        """Return whether operators ordered the store to retire from every part."""
        return is_retirement_ordered(self.node, member.name)

    def is_forced(self, member: GroupMember) -> bool:
        """Return whether operators accept a group below full strength for this retirement."""
        stores = (self.node.find("layout").configuration or {}).get("stores", {})
        return bool(stores.get(member.name, {}).get("forced"))

    def _next_change(self, leader: PartLeader) -> GroupChange | None:
        """Return the next change that the part's group needs, or None."""
        group, size = leader.group, self.node.find("ownership").size()
        spare = self._pick_spare(leader.part, group)
        gone = [m for m in group if self.is_emptied(m) or self.is_lost(m)]
        leaving = [*gone, *(m for m in group if self.is_retired(m) and m not in gone)]
        if len(group) > size:
            surplus = (leaving or sharing_a_zone(group) or group[-1:])[0]
            return new_group(group, leaving=surplus, is_gone=surplus in gone)
        if len(group) < size:
            return new_group(group, joining=spare) if spare else None
        if leaving and spare:
            return new_group(group, spare, leaving[0], leaving[0] in gone)
        for member in leaving:
            if self.is_emptied(member) or self.is_forced(member):
                return new_group(group, leaving=member, is_gone=member in gone)
        return None

    def _pick_spare(self, part: str, group: Group) -> GroupMember | None:
        """Return the store that should join the group, or None.

        Zones with the fewest members come first, then the store chosen before, then the order of
        rendezvous hashing.
        """
        staying = [m for m in group if not (self.is_retired(m) or self.is_lost(m))]
        used_zones = [m.zone for m in staying if not self.is_emptied(m)]
        names = {m.name for m in group if not self.is_emptied(m)}
        # No zone may hold a majority of a full group: its loss would stop the part.
        most_in_zone = self.node.find("ownership").size() // 2
        candidates = [
            store
            for store in self._working_stores()
            if store.name not in names
            and used_zones.count(store.zone) < most_in_zone
            and not self.is_retired(store)
        ]
        chosen = self.chosen.get(part)

        def preference(store: GroupMember) -> tuple[int, bool, bytes]:
            is_chosen = store.name == chosen
            return -used_zones.count(store.zone), is_chosen, score(part, store.name)

        return max(candidates, default=None, key=preference)

    def _working_stores(self) -> list[GroupMember]:
        """Return the reachable stores whose disks work and that are not in `refused_until`."""
        nifty, now = self.node.find("nifty"), self.node.now()
        return [
            GroupMember(m.name, m.identity, m.zone)
            for m in nifty.roster.members.values()
            if m.role == "store"
            and nifty.reaches(m.name)
            and not is_disk_failing(self.node, m.name)
            and self.refused_until.get(m.name, now) <= now
        ]


def sharing_a_zone(group: Group) -> list[GroupMember]:
    """Return the members in the zones with the most members of a group, if these have several."""
    zones = [member.zone for member in group]
    most = max(map(zones.count, zones))
    return [m for m in group if most > 1 and zones.count(m.zone) == most]
