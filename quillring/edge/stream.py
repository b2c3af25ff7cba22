"""One stream as a journal holds it: the inquiry, its pieces so far, the round that may add."""

OVERHEAD = 512


class Stream:
    """The pieces of one answer; what it weighs is kept beside them."""

    __slots__ = (
        "name",
        "inquiry",
        "sender",
        "pieces",
        "ended",
        "round",
        "touched_at",
        "holder",
        "weight",
        "is_running",
    )

    def __init__(self, name, inquiry, sender, now, round_=(1, "")):
        self.name = name
        self.inquiry = inquiry
        self.sender = sender
        self.pieces = []
        self.ended = False
        self.round = tuple(round_)
        self.touched_at = now
        self.holder = None
        self.weight = OVERHEAD + len(inquiry.get("prompt", ""))
        self.is_running = False

    def put(self, start, pieces):
        """Put pieces from a place on; what stood there before goes."""
        self.weight -= sum(map(len, self.pieces[start:]))
        self.pieces[start:] = pieces
        self.weight += sum(map(len, pieces))

    def claimed(self, now, claim_round):
        """Return the stream under a higher round; this one can add no more to it."""
        stream = Stream(self.name, self.inquiry, self.sender, now, claim_round)
        stream.put(0, self.pieces)
        stream.ended = self.ended
        return stream


def append_body(stream, start):
    """Return the message that makes another node hold the stream from a piece on."""
    return {
        "stream": stream.name,
        "inquiry": stream.inquiry,
        "sender": stream.sender,
        "from": start,
        "pieces": stream.pieces[start:],
        "ended": stream.ended,
        "round": list(stream.round),
    }
