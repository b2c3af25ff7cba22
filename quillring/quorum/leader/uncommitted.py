"""The entries that a new owner must propose again: accepted, and applied at no store it heard.

Promises name them by index and ballot only; the few that matter are fetched one by one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quillring.kernel.errors import NoMajority, QuillringError

if TYPE_CHECKING:
    from quillring.kernel.types import Coroutine
    from quillring.quorum.leader.part_leader import PartLeader
    from quillring.quorum.messages import Promise


class TailEntry(NamedTuple):
    """An accepted entry as promises name it; `batch` is None where only its holders have it."""

    ballot: tuple
    batch: list | None
    holders: list


def best_entries(promises: dict[str, Promise], after: int) -> dict[int, TailEntry]:
    """Return {index: the entry of the highest ballot} of the accepted ones after an index."""
    best = {}
    for store, promise in promises.items():
        for index, ballot, batch in promise.tail:
            entry, known = TailEntry(ballot, batch, [store]), best.get(index)
            if index <= after or (known is not None and known.ballot > entry.ballot):
                continue
            if known is not None and known.ballot == entry.ballot:
                entry = TailEntry(entry.ballot, batch or known.batch, [*known.holders, store])
            best[index] = entry
    return best


def fetch_batch(owner: PartLeader, index: int, entry: TailEntry) -> Coroutine:
    """Coroutine: return the batch of an accepted entry; NoMajority when no holder gives it now."""
    if entry.batch is not None:
        return entry.batch
    body = {"part": owner.part, "index": index}
    for store in entry.holders:
        try:
            ballot, batch = yield from owner.node.call(
                store, "quorum.accepted", body, owner.node.bounds.read_timeout
            )
        except QuillringError as error:
            owner.node.log("warning", "entry %s of %s from %s: %s", index, owner.part, store, error)
            continue
        if tuple(ballot) == entry.ballot:
            return batch
    raise NoMajority(part=owner.part, reason="no store gave an accepted entry", index=index)


def finish_tail(owner: PartLeader, promises: dict[str, Promise]) -> Coroutine:
    """Propose again every entry that may have been chosen; False after a group change."""
    best = best_entries(promises, owner.index)
    while owner.index + 1 in best:
        batch = yield from fetch_batch(owner, owner.index + 1, best[owner.index + 1])
        yield from owner.replicate(batch)
        if owner.adopt_group(owner.state["group"]):
            return False
    yield from owner.replicate([])
    return True
