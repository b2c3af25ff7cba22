"""One round of heartbeats: what they share is packed once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import cbor2

from quillring.nifty.heard import FULL, TERSE
from quillring.nifty.wire import HEADS

if TYPE_CHECKING:
    from quillring.kernel.member import Member
    from quillring.nifty.heard import Heard

ARRAY = 0x80
NO_ECHO = cbor2.dumps(None)


class Telling:
    """The heartbeats of one round.

    A member that echoed a heartbeat with the present record, roster and bitmap knows them; it gets
    a terse one, which stands for the same, as long as it echoes.
    """

    __slots__ = ("told_sequence", "full_part", "terse_part", "versions", "heard_edge")

    def __init__(
        self,
        me: Member,
        sequence: int,
        told_sequence: int,
        digest: bytes,
        bitmap: bytes,
        stamp: list | None,
        versions: tuple[int, ...],
        heard_edge: float,
    ) -> None:
        parts = [cbor2.dumps(value) for value in (me.to_list(), sequence, digest, bitmap, stamp)]
        self.full_part = bytes([ARRAY | FULL]) + b"".join(parts)
        self.terse_part = (
            bytes([ARRAY | TERSE])
            + cbor2.dumps(me.name)
            + cbor2.dumps(me.incarnation)
            + parts[1]
            + parts[4]
        )
        self.told_sequence = told_sequence
        self.versions = versions
        self.heard_edge = heard_edge

    def to(self, heard: Heard | None) -> bytes:
        """Return the datagram for a member, None for one never heard."""
        if heard is None or heard.at <= self.heard_edge:
            return HEADS[self.versions[0]] + self.full_part + NO_ECHO
        knows_all = heard.reads_terse and heard.acked >= self.told_sequence
        echo = cbor2.dumps([heard.incarnation, heard.sequence, self.versions[-1], TERSE])
        return HEADS[heard.version] + (self.terse_part if knows_all else self.full_part) + echo
