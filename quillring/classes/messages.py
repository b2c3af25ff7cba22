"""Messages between nodes that dispatch to replicas and the core that grants their quotas."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quillring.kernel.types import WireMap

REQUEST_QUOTA = "grants.ask"


class QuotaRequest(NamedTuple):
    """`grants.ask`: the number of requests that a client node runs or queues for a service.

    `demands` is {class: requests}, `held_cold_slots` is {cold replica: slots in use or granted}.
    """

    service: str
    demands: Mapping[str, int]
    held_cold_slots: Mapping[str, int]

    @classmethod
    def from_wire(cls, body: WireMap) -> QuotaRequest:
        """Read the request from its wire form."""
        return cls(body["service"], body["demands"], body["cold"])

    def to_wire(self) -> WireMap:
        """Return the request in its wire form."""
        return {"service": self.service, "demands": self.demands, "cold": self.held_cold_slots}


class Quota(NamedTuple):
    """The reply to `grants.ask`: how many requests of a service a client node may run.

    `limits` is {class: requests}, `cold_slots` is {cold replica: slots}. The slots are leased for
    `lease_seconds` from the time at which the request was sent.
    """

    limits: Mapping[str, int]
    cold_slots: Mapping[str, int]
    lease_seconds: float

    @classmethod
    def from_wire(cls, body: WireMap) -> Quota:
        """Read the reply from its wire form."""
        return cls(body["limits"], body["cold"], body["lease"])

    def to_wire(self) -> WireMap:
        """Return the reply in its wire form."""
        return {"limits": self.limits, "cold": self.cold_slots, "lease": self.lease_seconds}
