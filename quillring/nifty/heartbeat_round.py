"""One round of heartbeats, one to each member: their common content is encoded once."""

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
    """The heartbeats of one round.

    A member that echoed a heartbeat with the present record, roster and bitmap knows them; as long
    as it echoes, it gets terse heartbeats, which leave them out.

    Parameters
    ----------
    sequence : number of this round
    content_sequence : first round with the present record, roster and bitmap
    digest, bitmap : the roster's digest and the members of it that are reached
    stamp : freshness stamp of the node's own store, or None
    versions : versions of the format that this node speaks, the oldest first
    heard_edge : a heartbeat received after this time, in seconds, gets an echo
    """

    __slots__ = ("content_sequence", "full_content", "terse_content", "versions", "heard_edge")

    def __init__(
        self,
        me: Member,
        sequence: int,
        content_sequence: int,
        digest: bytes,
        bitmap: bytes,
        stamp: Stamp | None,
        versions: tuple[int, ...],
        heard_edge: float,
    ) -> None:
        self.full_content = encode_full_content(me, sequence, digest, bitmap, stamp)
        self.terse_content = encode_terse_content(me, sequence, stamp)
        self.content_sequence = content_sequence
        self.versions = versions
        self.heard_edge = heard_edge

    def encode_for(self, state: PeerState | None) -> bytes:
        """Return the datagram for a member, by its state; None if nothing was received from it."""
        if state is None or state.heard_at <= self.heard_edge:
            return encode_first_heartbeat(self.versions[0], self.full_content)
        knows_content = state.reads_terse and state.acked_sequence >= self.content_sequence
        content = self.terse_content if knows_content else self.full_content
        return encode_heartbeat(
            state.version, content, state.incarnation, state.sequence, self.versions[-1]
        )
