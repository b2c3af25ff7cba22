"""What forwarding needs of a replica, whoever keeps the table of replicas; for annotations only."""

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
        """Tell whether the replica still warms up."""
        ...
