"""Bringing owners and stores in step at the least cost: no state is sent that is there already.

Entries are sent where they are kept, the whole state only where they are not or weigh more than it,
and either in pieces of bounded size, one at a time, so that no message grows with a part's state.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import cbor2

from quillring.kernel.errors import Conflict, NoMajority, QuillringError, UnknownService
from quillring.quorum.commands import apply_batch
from quillring.quorum.leader.election_progress import STATE
from quillring.quorum.snapshot_chunks import (
    CHUNK_BYTES,
    SNAPSHOT_START,
    ChunkOffset,
    StateBuilder,
    cut_chunk,
    state_rows,
)

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.quorum.leader.part_leader import PartLeader
    from quillring.quorum.messages import Promise
    from quillring.quorum.parts import Call

MOST_RESUMPTIONS = 8


def adopt_state(owner: PartLeader, promises: dict[str, Promise]) -> Coroutine:
    """Coroutine: give a new owner the newest applied state among the promises of a majority.

    What it held in a former term counts: what was applied at an index is the same everywhere, so
    it only lacks the entries since. Else one of the newest stores sends the state, one of the own
    domain if there is any.
    """
    known = {store: p for store, p in promises.items() if p.state is not None}
    best = max(promise.applied for promise in known.values())
    if owner.state is not None and owner.index >= best:
        return
    holders = [store for store, promise in known.items() if promise.applied == best]
    whole = [known[store].state for store in holders if known[store].state is not True]
    if whole:
        owner.index, owner.state = best, whole[0]
        return
    for store in _nearest_first(owner.node, holders):
        owner.election_progress.enter(STATE, [store])
        try:
            if owner.state is not None and (yield from _adopt_entries(owner, store, best)):
                return
            owner.state = yield from _fetch_state(owner, store, best)
            owner.index = best
            owner.log_cache.clear()
            return
        except QuillringError as error:
            owner.node.log("warning", "state of %s from %s: %s", owner.part, store, error)
    raise NoMajority(part=owner.part, reason="no store gave the state")


def _nearest_first(node: Node, stores: list[str]):
    members, own_zone = node.find("nifty").roster.members, node.me.zone
    is_elsewhere = {s: s not in members or members[s].zone != own_zone for s in stores}
    return sorted(stores, key=lambda store: (is_elsewhere[store], store))


def _adopt_entries(owner: PartLeader, store: str, best: int) -> Coroutine:
    """Apply the entries up to an index that a store still has; False if some are gone."""
    entries = yield from _fetch_entries(owner, store, owner.index, best)
    for index, batch in entries or ():
        owner.state, _ = apply_batch(owner.state, batch)
        owner.index = index
        owner.log_cache.add(index, batch)
    return owner.index >= best


def _fetch_entries(owner: PartLeader, store: str, after: int, last: int) -> Coroutine:
    """Coroutine: return [[index, batch], ...] after one index up to another, or None if gone."""
    entries = []
    while after < last:
        body = {"part": owner.part, "after": after}
        try:
            rows = yield from owner.node.call(
                store, "quorum.entries", body, owner.node.bounds.read_timeout
            )
        except UnknownService:
            return None
        if not rows:
            return None
        entries.extend(row for row in rows if row[0] <= last)
        after = rows[-1][0]
    return entries


def _fetch_state(owner: PartLeader, store: str, index: int) -> Coroutine:
    """Coroutine: return the state that a store applied at an index, fetched piece by piece."""
    builder, place, seconds = StateBuilder(), SNAPSHOT_START, owner.node.bounds.propagation / 2
    while place is not None:
        body = {"part": owner.part, "index": index, "place": list(place)}
        try:
            data, following = yield from owner.node.call(store, "quorum.piece", body, seconds)
        except UnknownService:
            reply = yield from owner.node.call(store, "quorum.image", {"part": owner.part}, seconds)
            if reply[0] != index:
                raise Conflict(part=owner.part, applied=reply[0]) from None
            return reply[1]
        owner.node.count("pieces_fetched")
        owner.election_progress.fetched += len(data)
        builder.add(data, following)
        place = None if following is None else ChunkOffset(*following)
    return builder.whole()


def mend_store(owner: PartLeader, applied: int, call: Call) -> Coroutine:
    """Coroutine: send one late store what it misses; raises when it can't be brought on now."""
    target, _, body = call
    if (yield from _send_entries(owner, applied, target, body)):
        owner.node.count("catch_ups")
        return
    owner.node.count("installs")
    yield from _install(owner, target, body)


def _send_entries(owner: PartLeader, applied: int, target: str, body: dict) -> Coroutine:
    """Coroutine: send the entries a store misses; False when they are gone, or don't help."""
    if owner.log_cache.since(applied) is None:
        yield from _learn_entries(owner, applied, target)
    if is_state_smaller(owner.state, owner.log_cache.weight_since(applied)):
        return False
    while applied < owner.index:
        entries = owner.log_cache.since(applied, CHUNK_BYTES)
        if not entries:
            return False
        catch_up = {**body, "entries": entries, "committed": entries[-1][0]}
        reply = yield from owner.node.call(
            target, "quorum.catch_up", catch_up, owner.node.bounds.propagation
        )
        if reply <= applied:
            return False
        applied = reply
    return True


def is_state_smaller(state: dict, weight: int) -> bool:
    """Tell whether a state takes fewer bytes than entries of a weight; it is read no further."""
    if weight <= CHUNK_BYTES // 4:
        return False
    for fields in state_rows(state):
        weight -= len(cbor2.dumps(fields))
        if weight < 0:
            return False
    return True


def _learn_entries(owner: PartLeader, applied: int, target: str) -> Coroutine:
    """Coroutine: ask one other store for the entries that were applied before this term."""
    first = owner.log_cache.first or owner.index + 1
    nifty = owner.node.find("nifty")
    names = [s[0] for s in owner.group if s[0] != target and nifty.reaches(s[0])]
    for store in _nearest_first(owner.node, names):
        try:
            entries = yield from _fetch_entries(owner, store, applied, first - 1)
        except QuillringError:
            continue
        if entries:
            owner.log_cache.put_before(entries)
            return


def _install(owner: PartLeader, target: str, body: dict) -> Coroutine:
    """Coroutine: send the state to a store piece by piece; it tells where to go on after a loss."""
    index, state, place, resumptions = owner.index, owner.state, SNAPSHOT_START, 0
    seconds = owner.node.bounds.propagation
    while place is not None and owner.is_leader:
        data, following = cut_chunk(state, place)
        fields = {"index": index, "place": list(place), "data": data, "following": following}
        try:
            yield from owner.node.call(target, "quorum.install_piece", {**body, **fields}, seconds)
        except Conflict as error:
            resumptions += 1
            if resumptions > MOST_RESUMPTIONS:
                raise
            place = ChunkOffset(*error.detail["place"])
            continue
        except UnknownService:
            whole = {**body, "index": index, "state": state}
            yield from owner.node.call(target, "quorum.install", whole, seconds)
            return
        owner.node.count("pieces_sent")
        place = following
