"""Changes of a part's group: the joining store catches up first, then one entry swaps it in.

A member is replaced by one log entry that holds two commands, add and remove, so that no group
with a spare place and a dead member ever decides anything. Both groups need not overlap in every
pair of majorities ({a, dead} and {b, new} do not). What makes the change safe is its place in the
log: entry i + 1 is decided by the group that stands after entry i, entry i is chosen by a majority
of the former group, and no owner proposes to a group before a majority of that very group promised
its ballot (Lamport, Malkhi, Zhou: "Reconfiguring a State Machine", section 3, with a window of
one). A majority of the former group therefore always tells of the change.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quillring.kernel.effects import Signal, Wait
from quillring.kernel.errors import Fenced, QuillringError
from quillring.quorum.leader.catch_up import mend_store
from quillring.quorum.parts import majority
from quillring.quorum.waits import answer_of

if TYPE_CHECKING:
    from quillring.kernel.types import Coroutine
    from quillring.quorum.leader.part_leader import PartLeader
    from quillring.quorum.values import Group, GroupMember

CATCH_UP_TRIES = 3


class GroupChange(NamedTuple):
    """A change of one part's group: a store joins, a store leaves, or one takes another's place.

    `joining` and `leaving` are [store, identity, domain] or None; `is_gone` tells that the leaving
    store is out of reach or lost its disk, so that it can hold nothing that counts.
    """

    group: list
    joining: list | None = None
    leaving: list | None = None
    is_gone: bool = False

    def commands(self, former_group: Group) -> list[dict]:
        """Return the commands of the one entry, each changing one member."""
        steps = []
        if self.joining is not None and self.leaving is not None:
            steps.append([*former_group, self.joining])
        steps.append(self.group)
        return [{"do": "group.change", "group": group} for group in steps]


def new_group(
    group: Group,
    joining: GroupMember | None = None,
    leaving: GroupMember | None = None,
    is_gone: bool = False,
) -> GroupChange:
    """Return the change of a group by which one store joins, one leaves, or both at once."""
    staying = [store for store in group if store != leaving]
    joined = [joining] if joining is not None else []
    return GroupChange([*staying, *joined], joining, leaving, is_gone)


def catch_up(owner: PartLeader, store: GroupMember) -> Coroutine:
    """Bring a store that does not vote yet to the owner's state; tell whether it is there.

    The store keeps the state durably under the owner's ballot, so it also promises that ballot.
    """
    body = {"part": owner.part, "ballot": list(owner.ballot), "identity": store[1]}
    for _ in range(CATCH_UP_TRIES):
        index = owner.index
        commit = (store[0], "quorum.commit", {**body, "committed": index})
        replies = yield from owner.node.gather([commit], 1, owner.node.bounds.propagation)
        applied = replies[store[0]]
        if isinstance(applied, QuillringError) or not owner.is_leader:
            return False
        if applied >= index and index:
            return True
        try:
            yield from mend_store(owner, applied, (store[0], "quorum.install", body))
        except QuillringError as error:
            owner.node.log("warning", "%s can't join %s: %s", store[0], owner.part, error)
            return False
    return False


def is_durable_without(
    owner: PartLeader, change: GroupChange, applied: dict[str, int], index: int
) -> bool:
    """Tell whether the new group holds all that was committed up to an index.

    `applied` is {store: index it applied}. Entries after the index that are chosen while the
    leaving store is gone lie at a majority of the former group without it, hence in every majority
    of the new one; so a majority up to date is enough, and a slow member delays nothing. A store
    that leaves while it works may be one of the few that hold an entry, so then every member in
    reach has to be up to date.
    """
    nifty = owner.node.find("nifty")
    others = [store[0] for store in change.group if store != change.joining]
    current = [name for name in others if applied.get(name, -1) >= index]
    if change.is_gone:
        return len(current) + (change.joining is not None) >= majority(change.group)
    return all(name in current for name in others if nifty.reaches(name))


def submit_first(owner: PartLeader, commands: list[dict]) -> Coroutine:
    """Coroutine: commit some commands in one entry, before all that waits in the owner's queue."""
    signals = [Signal() for _ in commands]
    owner.queue[:0] = list(zip(commands, signals, strict=True))
    owner.queue_signal.set()
    yield Wait(signals[-1], owner.node.bounds.propagation)
    for signal in signals:
        answer_of(signal, owner.part)


def promise_again(owner: PartLeader, prepare: Coroutine) -> Coroutine:
    """Coroutine: have a majority of the group just adopted promise the ballot that won the former.

    `prepare` is the coroutine that asks the group and returns its promises. An entry that another
    ballot left beyond the owner's ends the term: only a new one can finish it.
    """
    promises = yield from prepare
    tails = [promise.tail for promise in promises.values()]
    beyond = [row.ballot for tail in tails for row in tail if row.index > owner.index]
    if beyond:
        raise Fenced(part=owner.part, ballot=list(max(beyond)))
