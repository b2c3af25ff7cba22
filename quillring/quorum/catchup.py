"""Bringing owners and stores in step at the least cost: no state is sent that is there already."""

from collections import deque

import cbor2

from quillring.kernel.errors import NoMajority, QuillringError

KEPT_ENTRIES = 4096
KEPT_WEIGHT = 12 << 20


class Recent:
    """The entries an owner committed lately, in bounded weight."""

    __slots__ = ("entries", "weight")

    def __init__(self):
        self.entries = deque()
        self.weight = 0

    def add(self, index, batch):
        """Remember a committed entry; the oldest ones go when there are too many."""
        weight = len(cbor2.dumps(batch))
        self.entries.append((index, batch, weight))
        self.weight += weight
        while len(self.entries) > KEPT_ENTRIES or self.weight > KEPT_WEIGHT:
            self.weight -= self.entries.popleft()[2]

    def since(self, applied):
        """Return [[index, batch], ...] after an index, or None when some are gone."""
        if not self.entries or self.entries[0][0] > applied + 1:
            return None
        return [[index, batch] for index, batch, _ in self.entries if index > applied]


def adopt_state(owner, promises):
    """Script: give a new owner the newest applied state among the promises of a majority.

    What it held in a former term counts when it is as new: what was applied at an index is the
    same everywhere. Else one of the newest stores sends it, one of the own domain if there is any.
    """
    known = {store: record for store, record in promises.items() if record[2] is not None}
    best = max(record[1] for record in known.values())
    if owner.state is not None and owner.index == best:
        return
    holders = [store for store, record in known.items() if record[1] == best]
    whole = [known[store][2] for store in holders if known[store][2] is not True]
    if whole:
        owner.index, owner.state = best, whole[0]
        return
    members = owner.node.find("nifty").roster.members
    own_domain = owner.node.me.domain
    is_elsewhere = {s: s not in members or members[s].domain != own_domain for s in holders}
    for store in sorted(holders, key=lambda s: (is_elsewhere[s], s)):
        try:
            index, state = yield from owner.node.call(
                store, "quorum.image", {"part": owner.part}, owner.node.bounds.news / 2
            )
        except QuillringError:
            continue
        if index >= best:
            owner.index, owner.state = index, state
            return
    raise NoMajority(part=owner.part, reason="no store gave the state")


def mend_store(owner, applied, call):
    """Script: send one late store what it misses: entries where they are kept, else the state."""
    target, service, body = call
    entries = owner.recent.since(applied)
    if entries is not None:
        catch_up = {**body, "entries": entries, "committed": owner.index}
        replies = yield from owner.node.gather(
            [(target, "quorum.catch_up", catch_up)], 1, owner.node.bounds.news
        )
        reply = replies[target]
        if not isinstance(reply, QuillringError) and reply >= entries[-1][0]:
            owner.node.count("catch_ups")
            return
    owner.node.count("installs")
    install = {**body, "index": owner.index, "state": owner.state}
    yield from owner.node.gather([(target, service, install)], 1, owner.node.bounds.news)
