"""One stream as a journal holds it: the inquiry, its pieces so far, the round that may add."""

OVERHEAD = 512


class Stream:
    """The pieces of one answer; what it weighs is kept beside them."""

    __slots__ = (
        "name",
        "request",
        "client_name",
        "pieces",
        "ended",
        "term",
        "touched_at",
        "holder",
        "weight",
        "is_running",
    )

    def __init__(self, name, request, client_name, now, term=(1, "")):
        self.name = name
        self.request = request
        self.client_name = client_name
        self.pieces = []
        self.ended = False
        self.term = tuple(term)
        self.touched_at = now
        self.holder = None
        self.weight = OVERHEAD + len(request.get("prompt", ""))
        self.is_running = False

    def put(self, start, pieces):
        """Put pieces from a place on; what stood there before goes."""
        self.weight -= sum(map(len, self.pieces[start:]))
        self.pieces[start:] = pieces
        self.weight += sum(map(len, pieces))

    def claimed(self, now, claim_term):
        """Return the stream under a higher round; this one can add no more to it."""
        stream = Stream(self.name, self.request, self.client_name, now, claim_term)
        stream.put(0, self.pieces)
        stream.ended = self.ended
        return stream


def append_body(stream, start):
    """Return the message that makes another node hold the stream from a piece on."""
    return {
        "stream": stream.name,
        "inquiry": stream.request,
        "sender": stream.client_name,
        "from": start,
        "pieces": stream.pieces[start:],
        "ended": stream.ended,
        "round": list(stream.term),
    }
