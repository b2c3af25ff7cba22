"""How often heartbeats go out, and when a link counts as broken, in a fleet of some size.

Up to 128 members a heartbeat goes to each in every period of the bounds and three missed ones break
a link. In a bigger fleet the period grows so that a node's heartbeats a second stay the same, as
long as a broken link is found within three quarters of the bound on returning: with three missed
heartbeats, or with two where three would take longer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quillring.kernel.bounds import Bounds

MEMBERS_A_SECOND = 256
MISSED, FEWEST_MISSED = 3, 2


class Pace:
    """The heartbeat period and the silence that breaks a link, for one count of members."""

    __slots__ = ("period", "missed")

    def __init__(self, bounds: Bounds, member_count: int) -> None:
        longest_silence = max(bounds.recovery * 0.75, bounds.heartbeat_interval * MISSED)
        wanted_period = max(bounds.heartbeat_interval, member_count / MEMBERS_A_SECOND)
        self.period = min(
            wanted_period, max(bounds.heartbeat_interval, longest_silence / FEWEST_MISSED)
        )
        self.missed = MISSED if self.period * MISSED <= longest_silence else FEWEST_MISSED

    @property
    def broken(self) -> float:
        """Silence after which a link counts as broken."""
        return self.period * self.missed
