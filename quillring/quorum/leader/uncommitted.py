"""The uncommitted suffix of the log: entries accepted, but not applied, by stores that promised.

A new leader has to propose them again, as each may have been chosen (Lamport, "Paxos made simple",
section 2.2). Promises list them by index and ballot only; the batches that are needed are fetched
one at a time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import NoMajority, QuillringError
from quillring.kernel.records import NamedTuple
from quillring.quorum.messages import AcceptedEntryReply, AcceptedEntryRequest

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine
    from quillring.quorum.messages import Batch, Promise
    from quillring.quorum.values import Ballot


class UncommittedEntry(NamedTuple):
    """An accepted entry and the stores that have it; `batch` is None until it is fetched."""

    ballot: Ballot
    batch: Batch | None
    holders: list[str]


def candidate_entries(promises: dict[str, Promise], after: int) -> dict[int, UncommittedEntry]:
    """Return {index: the entry accepted under the highest ballot} for indexes after `after`."""
    candidates: dict[int, UncommittedEntry] = {}
    for store, promise in promises.items():
        for index, ballot, batch in promise.accepted:
            entry, known = UncommittedEntry(ballot, batch, [store]), candidates.get(index)
            if index <= after or (known is not None and known.ballot > entry.ballot):
                continue
            if known is not None and known.ballot == entry.ballot:
                entry = UncommittedEntry(ballot, batch or known.batch, [*known.holders, store])
            candidates[index] = entry
    return candidates


def highest_ballot_beyond(promises: dict[str, Promise], index: int) -> Ballot | None:
    """Return the highest ballot of the entries accepted after an index, or None."""
    rows = [row for promise in promises.values() for row in promise.accepted]
    return max((row.ballot for row in rows if row.log_index > index), default=None)


def fetch_batch(node: Node, part: str, index: int, entry: UncommittedEntry) -> Coroutine:
    """Return an accepted entry's batch; raises NoMajority if no store that has it returns it."""
    if entry.batch is not None:
        return entry.batch
    body = AcceptedEntryRequest(part, index).to_wire()
    for store in entry.holders:
        try:
            fields = yield from node.call(store, "quorum.accepted", body, node.bounds.read_timeout)
        except QuillringError as error:
            node.log(
                "warning",
                "fetching entry %s of part %s from store %s failed: %s",
                index,
                part,
                store,
                error,
            )
            continue
        reply = AcceptedEntryReply.from_wire(fields)
        if reply.ballot == entry.ballot:
            return reply.batch
    raise NoMajority(part=part, reason="no store gave an accepted entry", index=index)
