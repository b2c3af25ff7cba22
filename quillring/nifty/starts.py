"""Under which start a member lives: clashes of names, and clocks that were set back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.nifty.wire import pack

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.member import Member
    from quillring.nifty.heard import Heard
    from quillring.nifty.nifty import Nifty


def is_clash(nifty: Nifty, member: Member, heard: Heard | None) -> bool:
    """Tell whether a newcomer bears the name of a member that lives at another address."""
    known = nifty.find_member(member.name)
    return (
        known is not None
        and heard is not None
        and known.address != member.address
        and known.incarnation == heard.incarnation != member.incarnation
        and nifty.is_heard(heard)
    )


def tell_stranger(nifty: Nifty, member: Member, version: int, service: str, body: Any) -> None:
    """Send a message straight to the address of one who is no member under this start."""
    nifty.sequence += 1
    me = nifty.node.me
    envelope = [me.name, me.incarnation, nifty.sequence, member.name, 1]
    nifty.node.runtime.frame(member.address, pack([*envelope, {"s": service, "b": body}], version))


def renew_start(nifty: Nifty, incarnation: int) -> None:
    """Start under a higher number: the clock that gave this one was set back."""
    me = nifty.node.me
    if incarnation < me.incarnation:
        return
    nifty.node.count("renewed_starts")
    nifty.node.me = me.restarted(incarnation + 1)
    nifty.swap_roster(nifty.roster.with_members([nifty.node.me]))
    nifty.on_member(nifty.node.me)
