"""One round of heartbeats, one to each member; the content they share is encoded once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.nifty.wire import (
    encode_first_heartbeat,
    encode_full_content,
    encode_heartbeat,
    encode_terse_content,
)

if TYPE_CHECKING:
    from quillring.kernel.member import Member
    from quillring.nifty.peer_state import PeerState
    from quillring.nifty.wire import Stamp


class HeartbeatRound:
    """Encodes the heartbeats of one round.

    A member that has echoed a heartbeat with the current member record, roster and bitmap knows
    them. While it keeps echoing, it is sent terse heartbeats, which omit them.

    Parameters
    ----------
    sequence : number of this round
    content_sequence : number of the first round with the current record, roster and bitmap
    digest, bitmap : the roster's digest, and the bitmap of its members that are reached
    stamp : freshness stamp of this node's store, or None
    versions : wire versions that this node supports, oldest first
    heard_cutoff : only heartbeats received after this time, in seconds, are echoed
    """

    __slots__ = ("content_sequence", "full_content", "terse_content", "versions", "heard_cutoff")

    def __init__(
        self,
        me: Member,
        sequence: int,
        content_sequence: int,
        digest: bytes,
        bitmap: bytes,
        stamp: Stamp | None,
        versions: tuple[int, ...],
        heard_cutoff: float,
    ) -> None:
        self.full_content = encode_full_content(me, sequence, digest, bitmap, stamp)
        self.terse_content = encode_terse_content(me, sequence, stamp)
        self.content_sequence = content_sequence
        self.versions = versions
        self.heard_cutoff = heard_cutoff

    def encode_for(self, state: PeerState | None) -> bytes:
        """Return the datagram for a member; its state is None if nothing was received from it."""
        if state is None or state.heard_at <= self.heard_cutoff:
            return encode_first_heartbeat(self.versions[0], self.full_content)
        knows_content = state.reads_terse and state.acknowledged_sequence >= self.content_sequence
        content = self.terse_content if knows_content else self.full_content
        return encode_heartbeat(
            state.version, content, state.incarnation, state.sequence, self.versions[-1]
        )
