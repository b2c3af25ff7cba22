"""The protocol of a replica as forwarding uses it; imported for type checking only."""

from __future__ import annotations

from typing import Protocol

from quillring.kernel.types import Address


class Replica(Protocol):
    """A replica that requests may be forwarded to."""

    name: str
    service: str
    zone: str
    address: Address
    slots: int
    last_heartbeat_at: float
    first_seen_at: float

    def is_cold(self, now: float) -> bool:
        """Return whether the replica still warms up."""
        ...
