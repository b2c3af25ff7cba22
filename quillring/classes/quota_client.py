"""The quota client on an edge, or on a core that runs lots: requests quotas and keeps them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.classes.messages import REQUEST_QUOTA, Quota, QuotaRequest
from quillring.kernel.effects import Sleep
from quillring.kernel.errors import NotFounded, QuillringError
from quillring.kernel.records import NamedTuple
from quillring.quorum.parts import part_for_key

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from typing import Any

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

REQUESTS_PER_HEARTBEAT = 4
LIMITS_HOLD_PROPAGATIONS = 2


class HeldQuota(NamedTuple):
    """A quota, when it was requested, and when its limits and slots expire, in seconds."""

    limits: Mapping[str, int]
    cold_slots: Mapping[str, int]
    asked_at: float
    limits_until: float
    cold_until: float


class QuotaClient:
    """Owner of this node's quotas, by service; `on_quota` is called after each new one."""

    __slots__ = ("node", "quotas", "on_quota")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.quotas: dict[str, HeldQuota] = {}
        self.on_quota: Callable[[], None] = lambda: None

    def run(self) -> Coroutine:
        """Request quotas every heartbeat; of busy services, REQUESTS_PER_HEARTBEAT times."""
        ticks = 0
        while True:
            yield Sleep(self.node.bounds.heartbeat_interval / REQUESTS_PER_HEARTBEAT)
            ticks += 1
            configuration = self.node.find("layout").configuration
            if configuration is None or self.node.is_draining:
                continue
            services = configuration["services"].items()
            for service in sorted(name for name, item in services if item["kind"] != "raw"):
                is_busy = self.node.find("dispatch").demands(service)
                if is_busy or ticks % REQUESTS_PER_HEARTBEAT == 0:
                    self.node.spawn(self._request(service))

    def _request(self, service: str) -> Coroutine:
        """Request the quota from the core that leads the service's part; skip on any error."""
        ownership, bounds = self.node.find("ownership"), self.node.bounds
        try:
            part = part_for_key(service, len(ownership.parts()) - 1)
        except NotFounded:
            return
        leader = ownership.known_leader(part)
        if leader is None or not self.node.find("nifty").reaches(leader):
            return
        asked_at = self.node.now()
        demands = self.node.find("dispatch").demands(service)
        body = QuotaRequest(service, demands, self._held_cold_slots(service)).to_wire()
        try:
            reply = yield from self.node.call(
                leader, REQUEST_QUOTA, body, bounds.heartbeat_interval
            )
        except QuillringError:
            return
        quota = Quota.from_wire(reply)
        self.quotas[service] = HeldQuota(
            quota.limits,
            quota.cold_slots,
            asked_at,
            asked_at + bounds.propagation * LIMITS_HOLD_PROPAGATIONS,
            asked_at + quota.lease_seconds,
        )
        self.on_quota()

    def _held_cold_slots(self, service: str) -> dict[str, int]:
        """Return {cold replica: slots} in use here, or granted and valid, whichever are more."""
        granted = self._granted_cold_slots(service)
        held: dict[str, int] = {}
        for replica in self.node.find("replicas").table.values():
            if replica.service == service and replica.state == "cold":
                count = max(replica.in_flight, granted.get(replica.name, 0))
                if count:
                    held[replica.name] = count
        return held

    def _granted_cold_slots(self, service: str) -> Mapping[str, int]:
        quota = self.quotas.get(service)
        if quota is None or self.node.now() >= quota.cold_until:
            return {}
        return quota.cold_slots

    def cold_slots(self, replica: Any) -> int:
        """Return how many requests this node may have at a cold replica."""
        return self._granted_cold_slots(replica.service).get(replica.name, 0)

    def has_recent_quota(self, service: str) -> bool:
        """Return True if the quota was requested less than a heartbeat interval ago."""
        quota = self.quotas.get(service)
        if quota is None:
            return False
        return self.node.now() - quota.asked_at < self.node.bounds.heartbeat_interval

    def limit(self, service: str, class_name: str) -> int | None:
        """Return how many requests of the class this node may run, None without a valid quota."""
        quota = self.quotas.get(service)
        if quota is None or self.node.now() >= quota.limits_until:
            return None
        return quota.limits.get(class_name)
