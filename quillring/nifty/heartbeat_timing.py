"""The heartbeat interval and the link timeout, by the number of members.

Up to 128 members a heartbeat goes to each in every interval of the bounds, and three missed ones
break a link. In a bigger fleet the interval grows so that a node's heartbeats a second stay the
same, as long as a broken link is found within three quarters of the recovery bound: with three
missed heartbeats, or with two where three would take longer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quillring.kernel.bounds import Bounds

HEARTBEATS_PER_SECOND = 256
MISSED_HEARTBEATS, FEWEST_MISSED_HEARTBEATS = 3, 2
LINK_TIMEOUT_SHARE_OF_RECOVERY = 0.75


class HeartbeatTiming:
    """When heartbeats are due and when a link counts as broken, for one count of members.

    Attributes
    ----------
    interval : seconds between two heartbeats to a member
    missed_heartbeats : missed heartbeats after which a link counts as broken
    """

    __slots__ = ("interval", "missed_heartbeats")

    def __init__(self, bounds: Bounds, member_count: int) -> None:
        longest_timeout = max(
            bounds.recovery * LINK_TIMEOUT_SHARE_OF_RECOVERY,
            bounds.heartbeat_interval * MISSED_HEARTBEATS,
        )
        wanted_interval = max(bounds.heartbeat_interval, member_count / HEARTBEATS_PER_SECOND)
        longest_interval = max(
            bounds.heartbeat_interval, longest_timeout / FEWEST_MISSED_HEARTBEATS
        )
        self.interval = min(wanted_interval, longest_interval)
        if self.interval * MISSED_HEARTBEATS <= longest_timeout:
            self.missed_heartbeats = MISSED_HEARTBEATS
        else:
            self.missed_heartbeats = FEWEST_MISSED_HEARTBEATS

    @property
    def link_timeout(self) -> float:
        """Seconds without a heartbeat after which a link counts as broken."""
        return self.interval * self.missed_heartbeats
