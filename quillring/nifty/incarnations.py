"""Incarnations of a name: clashes between two live processes, and clocks that were set back."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quillring.kernel.member import Member
    from quillring.nifty.peer_state import PeerState
    from quillring.nifty.peers import Peers


def is_name_clash(peers: Peers, member: Member, state: PeerState | None) -> bool:
    """Return whether a new process uses the name of a live member at another address."""
    known = peers.find_member(member.name)
    return (
        known is not None
        and state is not None
        and known.address != member.address
        and known.incarnation == state.incarnation != member.incarnation
        and peers.has_recent_heartbeat(state)
    )


def renew_incarnation(peers: Peers, incarnation: int) -> None:
    """Raise this node's incarnation above the one that a peer knows.

    Incarnations are taken from the clock: if a peer knows a higher one, the clock was set back.

    Parameters
    ----------
    incarnation : the incarnation under which a peer knows this node
    """
    me = peers.node.me
    if incarnation < me.incarnation:
        return
    peers.node.count("renewed_starts")
    peers.node.log(
        "warning",
        "a peer knows incarnation %d of this node: continuing under a higher one",
        incarnation,
    )
    peers.node.me = me.restarted(incarnation + 1)
    peers.replace_roster(peers.roster.with_members([peers.node.me]))
    peers.on_member(peers.node.me)
