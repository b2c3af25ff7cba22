"""One round of heartbeats: what they share is packed once."""

import cbor2

from quillring.nifty.heard import FULL, TERSE
from quillring.nifty.wire import HEADS

ARRAY = 0x80
NO_ECHO = cbor2.dumps(None)


class Telling:
    """The heartbeats of one round.

    A member that echoed a heartbeat with the present record, roster and bitmap knows them; it gets
    a terse one, which stands for the same, as long as it echoes.
    """

    __slots__ = ("toldSequence", "fullPart", "tersePart", "versions", "heardEdge")

    def __init__(self, me, sequence, toldSequence, digest, bitmap, stamp, versions, heardEdge):
        parts = [cbor2.dumps(value) for value in (me.to_list(), sequence, digest, bitmap, stamp)]
        self.fullPart = bytes([ARRAY | FULL]) + b"".join(parts)
        self.tersePart = bytes([ARRAY | TERSE]) + cbor2.dumps(me.name) + cbor2.dumps(
            me.incarnation) + parts[1] + parts[4]
        self.toldSequence = toldSequence
        self.versions = versions
        self.heardEdge = heardEdge

    def to(self, heard):
        """Return the datagram for a member, None for one never heard."""
        if heard is None or heard.at <= self.heardEdge:
            return HEADS[self.versions[0]] + self.fullPart + NO_ECHO
        knowsAll = heard.readsTerse and heard.acked >= self.toldSequence
        echo = cbor2.dumps([heard.incarnation, heard.sequence, self.versions[-1], TERSE])
        return HEADS[heard.version] + (self.tersePart if knowsAll else self.fullPart) + echo
