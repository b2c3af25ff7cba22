"""The stream journal: each piece is held on a second node before a sender sees it."""

from more_itertools import chunked

from quillring.kernel.effects import Sleep
from quillring.kernel.troubles import Fenced, NotFound, Refused, Trouble
from quillring.nifty.graph import score

KEPT_STREAMS = 20_000
HANDED_AGE, HANDED_AT_ONCE = 5, 50


class Stream:
    """One stream: the inquiry, its pieces so far, and the round that may add to it."""

    __slots__ = ("name", "inquiry", "sender", "pieces", "ended", "round", "touchedAt", "holder")

    def __init__(self, name, inquiry, sender, now, round_=(1, "")):
        self.name = name
        self.inquiry = inquiry
        self.sender = sender
        self.pieces = ()
        self.ended = False
        self.round = tuple(round_)
        self.touchedAt = now
        self.holder = None


def append_body(stream, start):
    """Return the message that makes another node hold the stream from a piece on."""
    return {
        "stream": stream.name, "inquiry": stream.inquiry, "sender": stream.sender,
        "from": start, "pieces": list(stream.pieces[start:]), "ended": stream.ended,
        "round": list(stream.round),
    }


class Journal:
    """The streams this node runs or holds for another."""

    __slots__ = ("node", "streams")

    def __init__(self, node):
        self.node = node
        self.streams = {}
        node.handle("journal.append", self.on_append)
        node.handle("journal.find", self.on_find)
        node.handle("journal.claim", self.on_claim)

    def run(self, keptSeconds):
        """Script: drop streams that nobody touched for long, the oldest first when too many."""
        while True:
            yield Sleep(self.node.bounds.news)
            edgeTime = self.node.now() - keptSeconds
            keptStreams = {n: s for n, s in self.streams.items() if s.touchedAt > edgeTime}
            if len(keptStreams) > KEPT_STREAMS:
                newest = sorted(keptStreams.values(), key=lambda s: -s.touchedAt)[:KEPT_STREAMS]
                keptStreams = {s.name: s for s in newest}
            self.streams = keptStreams

    def open(self, name, inquiry, sender):
        """Begin the journal of a stream here."""
        stream = Stream(name, inquiry, sender, self.node.now(), (1, self.node.me.name))
        self.streams[name] = stream
        return stream

    def holders(self, name, avoided=()):
        """Return the reachable nodes in other domains that may hold it, edges first.

        Nodes that drain or stand in an emptied domain come last: better there than nowhere.
        """
        isLeaving = self.node.find("duty").is_leaving
        me, nifty = self.node.me, self.node.find("nifty")
        members = [
            m for m in nifty.roster.members.values()
            if m.role in ("edge", "core") and m.domain != me.domain and nifty.reaches(m.name)
            and m.name not in avoided
        ]
        return [
            m.name for m in sorted(
                members, reverse=True,
                key=lambda m: (not isLeaving(m.name), m.role == "edge", score(name, m.name)),
            )
        ]

    def _leave_leaving(self, stream):
        """Let go of a holder that is to be left alone, if another node can take its place."""
        isLeaving = self.node.find("duty").is_leaving
        if stream.holder is not None and isLeaving(stream.holder):
            candidates = self.holders(stream.name)
            if candidates and not isLeaving(candidates[0]):
                stream.holder = None

    def hand_over(self):
        """Script: before a planned stop, give every stream touched lately to another node."""
        edgeTime = self.node.now() - self.node.bounds.return_ * HANDED_AGE
        lateStreams = [s for s in self.streams.values() if s.touchedAt > edgeTime]
        for someStreams in chunked(lateStreams, HANDED_AT_ONCE):
            for stream in someStreams:
                self.node.spawn(self._hand_one(stream))
            yield Sleep(self.node.bounds.chatter)
        self.node.count("streams_handed", len(lateStreams))

    def _hand_one(self, stream):
        for holder in self.holders(stream.name, {stream.holder})[:2]:
            try:
                yield from self.node.call(holder, "journal.append", append_body(stream, 0))
                return
            except Trouble as trouble:
                self.node.log("warning", "hand over %s: %s", stream.name, trouble)

    def keepers(self):
        """Return the names of all nodes that may hold streams."""
        members = self.node.find("nifty").roster.members.values()
        return [m.name for m in members if m.role in ("edge", "core")]

    def keep(self, stream, newPieces, ended=False):
        """Script: add pieces here and at a second holder; return once both have them."""
        self._check_round(stream)
        oldCount = len(stream.pieces)
        stream.pieces = (*stream.pieces, *newPieces)
        stream.ended = ended or stream.ended
        stream.touchedAt = self.node.now()
        self._leave_leaving(stream)
        avoidedNames = set()
        while True:
            if stream.holder is None:
                candidates = self.holders(stream.name, avoidedNames)
                if not candidates:
                    raise Refused(reason="no second holder in another domain")
                stream.holder, oldCount = candidates[0], 0
            try:
                body = append_body(stream, oldCount)
                yield from self.node.call(stream.holder, "journal.append", body)
                return
            except Fenced:
                self.streams.pop(stream.name, None)
                raise
            except Trouble as trouble:
                self.node.count("holder_changes")
                self.node.log("warning", "holder %s: %s", stream.holder, trouble)
                avoidedNames.add(stream.holder)
                stream.holder = None

    def _check_round(self, stream):
        if self.streams.get(stream.name) is not stream:
            raise Fenced(stream=stream.name)

    def on_append(self, body, origin):
        """Hold pieces for another node."""
        return self.hold(body)

    def hold(self, body):
        """Hold pieces; a lower round is fenced off, a gap refused."""
        known = self.streams.get(body["stream"])
        streamRound = tuple(body["round"])
        if known is not None and known.round > streamRound:
            raise Fenced(stream=body["stream"])
        stream = known
        if known is None or known.round < streamRound:
            stream = Stream(
                body["stream"], body["inquiry"], body["sender"], self.node.now(), streamRound
            )
            stream.pieces = known.pieces if known is not None else ()
        start = body["from"]
        if start > len(stream.pieces):
            raise NotFound(stream=body["stream"], held=len(stream.pieces))
        if start + len(body["pieces"]) >= len(stream.pieces):
            stream.pieces = (*stream.pieces[:start], *body["pieces"])
        stream.ended, stream.touchedAt = body["ended"] or stream.ended, self.node.now()
        self.streams[stream.name] = stream
        return len(stream.pieces)

    def on_find(self, body, origin):
        """Tell the round, length and entry of a stream held here for this sender."""
        stream = self.streams.get(body["stream"])
        if stream is None or stream.sender != body["sender"]:
            raise NotFound(field="stream")
        return [list(stream.round), len(stream.pieces), stream.inquiry["entry"]]

    def on_claim(self, body, origin):
        """Hand a stream over to a higher round; the former round can add no more."""
        stream = self.streams.get(body["stream"])
        if stream is None or stream.sender != body["sender"]:
            raise NotFound(field="stream")
        claimRound = tuple(body["round"])
        if stream.round >= claimRound:
            raise Fenced(stream=stream.name)
        claimed = Stream(stream.name, stream.inquiry, stream.sender, self.node.now(), claimRound)
        claimed.pieces, claimed.ended = stream.pieces, stream.ended
        self.streams[stream.name] = claimed
        return [stream.inquiry, list(stream.pieces), stream.ended, list(stream.round)]

    def claim(self, name, sender, servedRound, check):
        """Script: find a stream wherever it is held, fence its former round, run it here.

        `check(found)` may refuse before anything is fenced.

        A holder may be left with an older round that went its own way; the newest round counts,
        and one older than the sender was served in is as good as none.
        """
        nifty = self.node.find("nifty")
        names = [name for name in self.keepers() if nifty.reaches(name)]
        question = {"stream": name, "sender": sender}
        found = yield from self.node.gather(
            [(n, "journal.find", question) for n in names], len(names)
        )
        holders = {n: reply for n, reply in found.items() if not isinstance(reply, Trouble)}
        if not holders:
            missed = any(not isinstance(reply, NotFound) for reply in found.values())
            if missed or len(names) < len(self.keepers()):
                raise Refused(reason="the stream's holders are out of reach")
            raise NotFound(field="stream")
        check(next(iter(holders.values())))
        claimRound = (max(reply[0][0] for reply in holders.values()) + 1, self.node.me.name)
        claims = yield from self.node.gather(
            [(n, "journal.claim", {**question, "round": list(claimRound)}) for n in holders],
            len(holders),
        )
        goodClaims = [
            reply for reply in claims.values()
            if not isinstance(reply, Trouble) and tuple(reply[3]) >= servedRound
        ]
        if not goodClaims:
            raise Refused(reason="the stream's newest holders are out of reach")
        inquiry, pieces, ended, _ = max(
            goodClaims, key=lambda reply: (tuple(reply[3]), len(reply[1])))
        stream = Stream(name, inquiry, sender, self.node.now(), claimRound)
        stream.pieces, stream.ended = tuple(pieces), ended
        self.streams[name] = stream
        return stream
