"""Repair: a part's group gets back to full strength by itself, one change at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.effects import Sleep
from quillring.kernel.errors import QuillringError
from quillring.nifty.graph import score
from quillring.quorum.disk_health import is_disk_failing
from quillring.quorum.leader.membership_change import (
    catch_up,
    is_durable_without,
    new_group,
    submit_first,
)
from quillring.quorum.leader.retirement_check import may_join
from quillring.quorum.parts import majority
from quillring.quorum.retirement_orders import is_retirement_ordered

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.quorum.leader.membership_change import GroupChange
    from quillring.quorum.leader.part_leader import PartLeader
    from quillring.quorum.values import Group, GroupMember

PATIENCE = 5
SYNC_SHARE = 0.5
PARTS_AT_ONCE = 3


class MembershipRepair:
    """Runs beside the owners of a core and mends the groups of their parts."""

    __slots__ = ("node", "lost_since", "busy_parts", "joining", "refused_until", "chosen")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.lost_since = {}
        self.busy_parts = set()
        self.joining = {}
        self.refused_until = {}
        self.chosen = {}

    def run(self) -> Coroutine:
        """Coroutine: look at every owned part; a few that lack something are mended side by side.

        Those with the fewest live members come first: they are the nearest to losing a majority.
        """
        while True:
            yield Sleep(self.node.bounds.gossip_interval * 2)
            self._note_lost()
            owners = [
                owner
                for owner in self.node.find("ownership").leaders.values()
                if owner.part not in self.busy_parts and owner.has_lease()
            ]
            broken = [owner for owner in owners if self._next_change(owner) is not None]
            room = PARTS_AT_ONCE - len(self.busy_parts)
            for owner in sorted(broken, key=self._spare_losses)[: max(0, room)]:
                self.busy_parts.add(owner.part)
                self.node.spawn(self._mend(owner))

    def _spare_losses(self, owner: PartLeader):
        """Return how many more losses the part bears, and its name to break a tie."""
        live = [s for s in owner.group if not (self.is_lost(s) or self.is_emptied(s))]
        return len(live) - majority(owner.group), owner.part

    def _mend(self, owner: PartLeader) -> Coroutine:
        """Coroutine: change the group by one member after another until it is as it should be."""
        try:
            while owner.has_lease():
                change = self._next_change(owner)
                if change is None or not (yield from self._prepare(owner, change)):
                    break
                if change != self._next_change(owner) or not (
                    yield from self._change(owner, change)
                ):
                    break
                self.joining.pop(owner.part, None)
                self.chosen.pop(owner.part, None)
                yield from owner.repair_followers()
        finally:
            self.joining.pop(owner.part, None)
            self.busy_parts.discard(owner.part)

    def _note_lost(self):
        nifty, now = self.node.find("nifty"), self.node.now()
        store_names = [m.name for m in nifty.roster.members.values() if m.role == "store"]
        self.lost_since = {
            name: self.lost_since.get(name, now)
            for name in store_names
            if (not nifty.reaches(name) and not nifty.is_just_refused(name))
            or is_disk_failing(self.node, name)
        }

    def _prepare(self, owner: PartLeader, change: GroupChange) -> Coroutine:
        """Coroutine: bring the joining store up to date; tell whether the change loses nothing."""
        if change.joining is not None and not (yield from self._invite(owner, change.joining)):
            return False
        yield from owner.repair_followers()
        index = owner.index
        applied = yield from owner.applied_index_by_store()
        return is_durable_without(owner, change, applied, index)

    def _invite(self, owner: PartLeader, store: GroupMember) -> Coroutine:
        """Coroutine: bring a store that agrees to join up to date; ask others after a refusal."""
        self.joining[owner.part] = self.chosen[owner.part] = store[0]
        if not (yield from may_join(self.node, store[0])):
            self.refused_until[store[0]] = self.node.now() + self.node.bounds.propagation
            return False
        return (yield from catch_up(owner, store))

    def _change(self, owner: PartLeader, change: GroupChange) -> Coroutine:
        self.node.log("warning", "group of %s becomes %s", owner.part, change.group)
        self.node.count("group_changes")
        try:
            yield from submit_first(owner, change.commands(owner.group))
        except QuillringError as error:
            self.node.log("warning", "group of %s: %s", owner.part, error)
            return False
        return True

    def is_emptied(self, store: GroupMember) -> bool:
        """Tell whether the store came back as a new member with an empty disk."""
        member = self.node.find("nifty").roster.members.get(store[0])
        return member is not None and member.identity != store[1]

    def is_lost(self, store: GroupMember) -> bool:
        """Tell whether the store has been out of reach, or its disk has failed, for long."""
        sync = self.node.bounds.resync
        patience = self.node.bounds.recovery * PATIENCE if sync is None else sync * SYNC_SHARE
        since = self.lost_since.get(store[0])
        return since is not None and self.node.now() - since > patience

    def is_retired(self, store: GroupMember) -> bool:
        """Tell whether operators want the store machine out of every part."""
        return is_retirement_ordered(self.node, store[0])

    def _next_change(self, owner: PartLeader):
        """Return the next change that the part's group needs, or None."""
        group, size = [list(store) for store in owner.group], self.node.find("ownership").size()
        spare = self._spare(owner.part, group)
        gone = [s for s in group if self.is_emptied(s) or self.is_lost(s)]
        leaving = [*gone, *(s for s in group if self.is_retired(s) and s not in gone)]
        if len(group) > size:
            surplus = leaving or self._doubled(group) or group[-1:]
            return new_group(group, leaving=surplus[0], is_gone=surplus[0] in gone)
        if len(group) < size:
            return new_group(group, joining=spare) if spare else None
        if leaving and spare:
            return new_group(group, spare, leaving[0], leaving[0] in gone)
        for store in leaving:
            if self.is_emptied(store) or self.is_forced(store):
                return new_group(group, leaving=store, is_gone=store in gone)
        return None

    def is_forced(self, store: GroupMember) -> bool:
        """Tell whether operators accepted a part under three members for this retiring."""
        stores = (self.node.find("layout").configuration or {}).get("stores", {})
        return bool(stores.get(store[0], {}).get("forced"))

    def _doubled(self, group: Group):
        """Return the members in the domain that holds most of a group, if it holds several."""
        zones = [store[2] for store in group]
        most = max(map(zones.count, zones))
        return [s for s in group if most > 1 and zones.count(s[2]) == most]

    def _spare(self, part: str, group: Group):
        """Return the store that should join; one that was chosen keeps its place while it may."""
        nifty = self.node.find("nifty")
        staying = [s for s in group if not (self.is_retired(s) or self.is_lost(s))]
        used_zones = [s[2] for s in staying if not self.is_emptied(s)]
        room = majority([None] * self.node.find("ownership").size()) - 1
        names = {s[0] for s in group if not self.is_emptied(s)}
        candidates = [
            [m.name, m.identity, m.zone]
            for m in nifty.roster.members.values()
            if m.role == "store"
            and m.name not in names
            and nifty.reaches(m.name)
            and not is_disk_failing(self.node, m.name)
            and used_zones.count(m.zone) < room
        ]
        now = self.node.now()
        candidates = [
            c
            for c in candidates
            if not self.is_retired(c) and self.refused_until.get(c[0], now) <= now
        ]
        chosen = self.chosen.get(part)
        return max(
            candidates,
            default=None,
            key=lambda c: (-used_zones.count(c[2]), c[0] == chosen, score(part, c[0])),
        )
