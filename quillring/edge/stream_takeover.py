"""Claiming a stream: the newest copy is found, its former round fenced, a second copy ensured."""

from quillring.edge.journaled_stream import Stream
from quillring.kernel.errors import NotFound, QuillringError, Refused


def claim_stream(journal, name, client_name, served_term, check):
    """Coroutine: find a stream wherever it is held, fence its former round, run it here.

    It is given back once a second node holds all of it: what a former runner could not hand
    on before its error was never seen, and may not be seen before it is held twice.

    `check(found)` may refuse before anything is fenced.

    A holder may be left with an older round that went its own way; the newest round counts,
    and one older than the sender was served in is as good as none.
    """
    nifty = journal.node.find("nifty")
    names = [name for name in journal.keepers() if nifty.reaches(name)]
    question = {"stream": name, "sender": client_name}
    found = yield from journal.node.gather(
        [(n, "journal.find", question) for n in names], len(names)
    )
    holders = {n: reply for n, reply in found.items() if not isinstance(reply, QuillringError)}
    if not holders:
        missed = any(not isinstance(reply, NotFound) for reply in found.values())
        if missed or len(names) < len(journal.keepers()):
            raise Refused(reason="the stream's holders are out of reach")
        raise NotFound(field="stream")
    check(next(iter(holders.values())))
    claim_term = (max(reply[0][0] for reply in holders.values()) + 1, journal.node.me.name)
    claims = yield from journal.node.gather(
        [(n, "journal.claim", {**question, "round": list(claim_term)}) for n in holders],
        len(holders),
    )
    good_claims = {
        holder: reply
        for holder, reply in claims.items()
        if not isinstance(reply, QuillringError) and tuple(reply[3]) >= served_term
    }
    if not good_claims:
        raise Refused(reason="the stream's newest holders are out of reach")
    best = max(good_claims.values(), key=lambda reply: (tuple(reply[3]), len(reply[1])))
    request, pieces, ended, _ = best
    stream = Stream(name, request, client_name, journal.node.now(), claim_term)
    stream.put(0, pieces)
    stream.ended = ended
    journal.enter(stream)
    stream.holder = next((n for n in journal.holders(name) if good_claims.get(n) == best), None)
    yield from ensure_held(journal, stream)
    return stream


def ensure_held(journal, stream):
    """Coroutine: return once a second node holds the whole stream."""
    if stream.holder is None:
        yield from journal.keep(stream, ())
