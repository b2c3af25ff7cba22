"""The heartbeat interval and the link timeout for a number of members.

With up to 128 members the interval is `bounds.heartbeat_interval`, and three missed heartbeats
break a link. In a larger fleet the interval grows, which limits a node to
MAX_HEARTBEATS_PER_SECOND. It stops growing where detecting a broken link would take longer than
three quarters of the recovery bound: by three missed heartbeats, or by two where three would exceed
it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quillring.kernel.bounds import Bounds

MAX_HEARTBEATS_PER_SECOND = 256
MISSED_HEARTBEATS, MIN_MISSED_HEARTBEATS = 3, 2
LINK_TIMEOUT_SHARE_OF_RECOVERY = 0.75


class HeartbeatTiming:
    """The heartbeat interval and the link timeout for one number of members.

    Attributes
    ----------
    interval : seconds between two heartbeats to the same member
    missed_heartbeats : number of consecutive missed heartbeats after which a link counts as broken
    """

    __slots__ = ("interval", "missed_heartbeats")

    def __init__(self, bounds: Bounds, member_count: int) -> None:
        longest_timeout = max(
            bounds.recovery * LINK_TIMEOUT_SHARE_OF_RECOVERY,
            bounds.heartbeat_interval * MISSED_HEARTBEATS,
        )
        target_interval = max(bounds.heartbeat_interval, member_count / MAX_HEARTBEATS_PER_SECOND)
        longest_interval = max(bounds.heartbeat_interval, longest_timeout / MIN_MISSED_HEARTBEATS)
        self.interval = min(target_interval, longest_interval)
        if self.interval * MISSED_HEARTBEATS <= longest_timeout:
            self.missed_heartbeats = MISSED_HEARTBEATS
        else:
            self.missed_heartbeats = MIN_MISSED_HEARTBEATS

    @property
    def link_timeout(self) -> float:
        """Seconds without a heartbeat after which a link counts as broken."""
        return self.interval * self.missed_heartbeats
