"""The incarnations of a name: clashes between live processes, and clocks that were set back."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quillring.kernel.member import Member
    from quillring.nifty.peer_state import PeerState
    from quillring.nifty.peers import Peers


def is_name_clash(peers: Peers, member: Member, state: PeerState | None) -> bool:
    """Return whether a new process has the name of a live member at another address."""
    known = peers.find_member(member.name)
    return (
        known is not None
        and state is not None
        and known.address != member.address
        and known.incarnation == state.incarnation != member.incarnation
        and peers.is_heard(state)
    )


def renew_incarnation(peers: Peers, incarnation: int) -> None:
    """Continue under a higher incarnation than the one that a peer knows.

    Incarnations are taken from the clock: one below what a peer knows means it was set back.

    Parameters
    ----------
    incarnation : the one under which a peer knows this node's name
    """
    me = peers.node.me
    if incarnation < me.incarnation:
        return
    peers.node.count("renewed_starts")
    peers.node.log("warning", "peers know incarnation %d of this node: renewed", incarnation)
    peers.node.me = me.restarted(incarnation + 1)
    peers.replace_roster(peers.roster.with_members([peers.node.me]))
    peers.on_member(peers.node.me)
