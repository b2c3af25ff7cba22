"""Protocol of a replica as used by forwarding; imported for type checking only."""

from __future__ import annotations

from typing import Protocol

from quillring.kernel.types import Address


class Replica(Protocol):
    """A replica to which requests may be forwarded."""

    name: str
    service: str
    zone: str
    address: Address
    slots: int
    last_heartbeat_at: float
    first_seen_at: float

    def is_cold(self, now: float) -> bool:
        """Return whether the replica is still warming up."""
        ...
