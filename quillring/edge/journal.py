"""The stream journal: each piece is held on a second node before a sender sees it."""

from quillring.edge.journaled_stream import Stream, append_body
from quillring.edge.stream_takeover import claim_stream
from quillring.kernel.effects import Sleep
from quillring.kernel.errors import Fenced, NotFound, QuillringError, Refused
from quillring.nifty.graph import score

KEPT_STREAMS = 20_000
KEPT_WEIGHT = 256 << 20
HANDED_AGE, HANDED_AT_ONCE = 5, 50


class Journal:
    """The streams this node runs or holds for another."""

    __slots__ = ("node", "streams", "weight")

    def __init__(self, node):
        self.node = node
        self.streams = {}
        self.weight = 0
        node.handle("journal.append", self.on_append)
        node.handle("journal.find", self.on_find)
        node.handle("journal.claim", self.on_claim)

    def run(self, kept_seconds):
        """Coroutine: drop streams that nobody touched for long; those running here are kept."""
        while True:
            yield Sleep(self.node.bounds.propagation)
            edge_time = self.node.now() - kept_seconds
            self.streams = {
                n: s for n, s in self.streams.items() if s.is_running or s.touched_at > edge_time
            }
            self.weight = sum(stream.weight for stream in self.streams.values())

    def _make_room(self):
        """Drop ended streams, the oldest first, until one more fits; refuse it otherwise.

        A stream that has not ended is never dropped for want of room.
        """
        if not self._is_full():
            return
        ended_streams = sorted(
            (s for s in self.streams.values() if s.ended and not s.is_running),
            key=lambda s: s.touched_at,
        )
        for stream in ended_streams[: max(1, len(ended_streams) // 4)]:
            self.forget(stream)
            self.node.count("streams_dropped")
        if self._is_full():
            self.node.count("journal_refusals")
            raise Refused(reason="the journal is full")

    def _is_full(self):
        return len(self.streams) >= KEPT_STREAMS or self.weight >= KEPT_WEIGHT

    def enter(self, stream):
        """Take a stream in, in the place of any former copy."""
        former = self.streams.get(stream.name)
        self.weight += stream.weight - (former.weight if former is not None else 0)
        self.streams[stream.name] = stream

    def _put(self, stream, start, pieces):
        former_weight = stream.weight
        stream.put(start, pieces)
        self.weight += stream.weight - former_weight

    def open(self, name, request, client_name):
        """Begin the journal of a stream here."""
        self._make_room()
        stream = Stream(name, request, client_name, self.node.now(), (1, self.node.me.name))
        self.enter(stream)
        return stream

    def forget(self, stream):
        """Drop a stream of which no sender holds a token."""
        if self.streams.get(stream.name) is stream:
            del self.streams[stream.name]
            self.weight -= stream.weight

    def holders(self, name, avoided=()):
        """Return the reachable nodes in other domains that may hold it, edges first.

        Nodes that drain or stand in an emptied domain come last: better there than nowhere.
        """
        is_leaving = self.node.find("ownership").is_leaving
        me, nifty = self.node.me, self.node.find("nifty")
        members = [
            m
            for m in nifty.roster.members.values()
            if m.role in ("edge", "core")
            and m.zone != me.zone
            and nifty.reaches(m.name)
            and m.name not in avoided
        ]
        return [
            m.name
            for m in sorted(
                members,
                reverse=True,
                key=lambda m: (not is_leaving(m.name), m.role == "edge", score(name, m.name)),
            )
        ]

    def _leave_leaving(self, stream):
        """Let go of a holder that is to be left alone, if another node can take its place."""
        is_leaving = self.node.find("ownership").is_leaving
        if stream.holder is not None and is_leaving(stream.holder):
            candidates = self.holders(stream.name)
            if candidates and not is_leaving(candidates[0]):
                stream.holder = None

    def hand_over(self):
        """Coroutine: before a planned stop, give every stream touched lately to another node."""
        edge_time = self.node.now() - self.node.bounds.recovery * HANDED_AGE
        late_streams = [s for s in self.streams.values() if s.touched_at > edge_time]
        for start in range(0, len(late_streams), HANDED_AT_ONCE):
            for stream in late_streams[start : start + HANDED_AT_ONCE]:
                self.node.spawn(self._hand_one(stream))
            yield Sleep(self.node.bounds.gossip_interval)
        self.node.count("streams_handed", len(late_streams))

    def _hand_one(self, stream):
        for holder in self.holders(stream.name, {stream.holder})[:2]:
            try:
                yield from self.node.call(holder, "journal.append", append_body(stream, 0))
                return
            except QuillringError as error:
                self.node.log("warning", "hand over %s: %s", stream.name, error)

    def keepers(self):
        """Return the names of all nodes that may hold streams."""
        members = self.node.find("nifty").roster.members.values()
        return [m.name for m in members if m.role in ("edge", "core")]

    def keep(self, stream, new_pieces, ended=False):
        """Coroutine: add pieces here and at a second holder; return once both have them."""
        self._check_term(stream)
        old_count = len(stream.pieces)
        self._put(stream, old_count, new_pieces)
        stream.ended = ended or stream.ended
        stream.touched_at = self.node.now()
        self._leave_leaving(stream)
        avoided_names = set()
        while True:
            if stream.holder is None:
                candidates = self.holders(stream.name, avoided_names)
                if not candidates:
                    raise Refused(reason="no second holder in another domain")
                stream.holder, old_count = candidates[0], 0
            try:
                body = append_body(stream, old_count)
                yield from self.node.call(stream.holder, "journal.append", body)
                return
            except Fenced:
                self.streams.pop(stream.name, None)
                raise
            except QuillringError as error:
                self.node.count("holder_changes")
                self.node.log("warning", "holder %s: %s", stream.holder, error)
                avoided_names.add(stream.holder)
                stream.holder = None

    def _check_term(self, stream):
        if self.streams.get(stream.name) is not stream:
            raise Fenced(stream=stream.name)

    def on_append(self, body, origin):
        """Hold pieces for another node."""
        return self.hold(body)

    def hold(self, body):
        """Hold pieces; a lower round is fenced off, a gap refused."""
        known = self.streams.get(body["stream"])
        stream_term = tuple(body["round"])
        if known is not None and known.term > stream_term:
            raise Fenced(stream=body["stream"])
        stream = known
        if known is None:
            self._make_room()
            stream = Stream(
                body["stream"], body["inquiry"], body["sender"], self.node.now(), stream_term
            )
        elif known.term < stream_term:
            stream = known.claimed(self.node.now(), stream_term)
            stream.ended = False
        start = body["from"]
        if start > len(stream.pieces):
            raise NotFound(stream=body["stream"], held=len(stream.pieces))
        if stream is not known:
            self.enter(stream)
        if start + len(body["pieces"]) >= len(stream.pieces):
            self._put(stream, start, body["pieces"])
        stream.ended, stream.touched_at = body["ended"] or stream.ended, self.node.now()
        return len(stream.pieces)

    def on_find(self, body, origin):
        """Tell the round, length and entry of a stream held here for this sender."""
        stream = self.streams.get(body["stream"])
        if stream is None or stream.client_name != body["sender"]:
            raise NotFound(field="stream")
        return [list(stream.term), len(stream.pieces), stream.request["entry"]]

    def on_claim(self, body, origin):
        """Hand a stream over to a higher round; the former round can add no more."""
        stream = self.streams.get(body["stream"])
        if stream is None or stream.client_name != body["sender"]:
            raise NotFound(field="stream")
        claim_term = tuple(body["round"])
        if stream.term >= claim_term:
            raise Fenced(stream=stream.name)
        self.enter(stream.claimed(self.node.now(), claim_term))
        return [stream.request, list(stream.pieces), stream.ended, list(stream.term)]

    def claim(self, name, client_name, served_term, check):
        """Coroutine: find a stream wherever it is held, and run it here from now on."""
        return claim_stream(self, name, client_name, served_term, check)
