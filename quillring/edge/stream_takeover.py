"""Takeover of a stream: find its newest copy, fence earlier terms, ensure a second copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.edge.journal_messages import ClaimReply, FindReply, StreamQuery, Term
from quillring.edge.journaled_stream import JournaledStream
from quillring.kernel.errors import NotFound, QuillringError, Refused

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from quillring.edge.journal import Journal
    from quillring.kernel.types import Coroutine


def take_over_stream(
    journal: Journal,
    name: str,
    client_name: str,
    served_term: Term,
    check: Callable[[FindReply], None],
) -> Coroutine:
    """Find a stream on the reachable nodes, fence earlier terms, and return it to run here.

    It is returned once a backup has a complete copy. Pieces that the previous node failed to
    replicate were never sent to the client, and must be replicated before they are sent.

    A copy under an older term may be stale and may have diverged. The copy with the newest term is
    used; copies older than `served_term`, under which the client was served, are ignored.

    Parameters
    ----------
    check
        Called with the reply of one holder before any term is fenced; may raise.

    Raises
    ------
    NotFound
        No node has a stream of this name for this client.
    Refused
        A node that may have the stream, or one that has its newest copy, is unreachable.
    """
    found = yield from _find_holders(journal, StreamQuery(name, client_name))
    check(next(iter(found.values())))
    highest_number = max(reply.term.number for reply in found.values())
    term = Term(highest_number + 1, journal.node.me.name)
    copies = yield from _claim_copies(journal, found, StreamQuery(name, client_name, term))
    current = {holder: copy for holder, copy in copies.items() if copy.term >= served_term}
    if not current:
        raise Refused(reason="the stream's newest holders are out of reach")
    newest = max(current.values(), key=lambda copy: (copy.term, len(copy.pieces)))
    stream = JournaledStream(name, newest.request, client_name, journal.node.now(), term)
    stream.replace_from(0, newest.pieces)
    stream.has_ended = newest.has_ended
    journal.add(stream)
    candidates = journal.backup_candidates(name)
    stream.backup = next((n for n in candidates if current.get(n) == newest), None)
    yield from ensure_backup(journal, stream)
    return stream


def _find_holders(journal: Journal, query: StreamQuery) -> Coroutine:
    """Return {node: FindReply} of the nodes with a copy.

    Raises NotFound if no node has one, Refused if a node that may have one did not answer.
    """
    nifty = journal.node.find("nifty")
    possible_holders = journal.possible_holders()
    names = [name for name in possible_holders if nifty.reaches(name)]
    body = query.to_wire()
    replies = yield from journal.node.gather([(n, "journal.find", body) for n in names], len(names))
    found = {
        name: FindReply.from_wire(reply)
        for name, reply in replies.items()
        if not isinstance(reply, QuillringError)
    }
    if not found:
        has_other_error = any(not isinstance(reply, NotFound) for reply in replies.values())
        if has_other_error or len(names) < len(possible_holders):
            raise Refused(reason="the stream's holders are out of reach")
        raise NotFound(field="stream")
    return found


def _claim_copies(journal: Journal, holders: Collection[str], query: StreamQuery) -> Coroutine:
    """Fence earlier terms at the holders; return {node: ClaimReply} of those that agreed."""
    body = query.to_wire()
    replies = yield from journal.node.gather(
        [(name, "journal.claim", body) for name in holders], len(holders)
    )
    return {
        name: ClaimReply.from_wire(reply)
        for name, reply in replies.items()
        if not isinstance(reply, QuillringError)
    }


def ensure_backup(journal: Journal, stream: JournaledStream) -> Coroutine:
    """Replicate the complete stream to a second node if it has no backup."""
    if stream.backup is None:
        yield from journal.append(stream, ())
