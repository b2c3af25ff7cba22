"""The quota client of a node that dispatches requests: an edge, or a core that runs lots."""

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
LIMITS_LIFETIME_FACTOR = 2
"""Limits expire this multiple of `bounds.propagation` after their request."""


class ReceivedQuota(NamedTuple):
    """A quota with the times of its request and of its expiry, in seconds of the node's clock."""

    limits: Mapping[str, int]
    cold_slots: Mapping[str, int]
    requested_at: float
    limits_expire_at: float
    cold_slots_expire_at: float


class QuotaClient:
    """Requests and stores this node's quotas by service; calls `on_new_quota` after each reply."""

    __slots__ = ("node", "quotas", "on_new_quota")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.quotas: dict[str, ReceivedQuota] = {}
        self.on_new_quota: Callable[[], None] = lambda: None

    def run(self) -> Coroutine:
        """Request quotas once per heartbeat, for busy services REQUESTS_PER_HEARTBEAT times."""
        ticks = 0
        while True:
            yield Sleep(self.node.bounds.heartbeat_interval / REQUESTS_PER_HEARTBEAT)
            ticks += 1
            configuration = self.node.find("layout").configuration
            if configuration is None or self.node.is_draining:
                continue
            services = configuration["services"].items()
            for service in sorted(name for name, item in services if item["kind"] != "raw"):
                is_busy = self.node.find("dispatch").count_demand(service)
                if is_busy or ticks % REQUESTS_PER_HEARTBEAT == 0:
                    self.node.spawn(self._request(service))

    def _request(self, service: str) -> Coroutine:
        """Request the quota from the leader of the service's part; on error, retain the old one."""
        ownership, bounds = self.node.find("ownership"), self.node.bounds
        try:
            part = part_for_key(service, len(ownership.parts()) - 1)
        except NotFounded:
            return
        leader = ownership.known_leader(part)
        if leader is None or not self.node.find("nifty").reaches(leader):
            return
        requested_at = self.node.now()
        demands = self.node.find("dispatch").count_demand(service)
        body = QuotaRequest(service, demands, self._held_cold_slots(service)).to_wire()
        try:
            reply = yield from self.node.call(
                leader, REQUEST_QUOTA, body, bounds.heartbeat_interval
            )
        except QuillringError:
            return
        quota = Quota.from_wire(reply)
        self.quotas[service] = ReceivedQuota(
            quota.limits,
            quota.cold_slots,
            requested_at,
            requested_at + bounds.propagation * LIMITS_LIFETIME_FACTOR,
            requested_at + quota.lease_seconds,
        )
        self.on_new_quota()

    def _held_cold_slots(self, service: str) -> dict[str, int]:
        """Return {cold replica: slots}: the greater of those in use here and those granted."""
        granted = self._granted_cold_slots(service)
        held: dict[str, int] = {}
        for replica in self.node.find("replicas").table.values():
            if replica.service == service and replica.state == "cold":
                count = max(replica.in_flight, granted.get(replica.name, 0))
                if count:
                    held[replica.name] = count
        return held

    def _granted_cold_slots(self, service: str) -> Mapping[str, int]:
        """Return {cold replica: slots} granted to this node, empty after their expiry."""
        quota = self.quotas.get(service)
        if quota is None or self.node.now() >= quota.cold_slots_expire_at:
            return {}
        return quota.cold_slots

    def cold_slots(self, replica: Any) -> int:
        """Return how many requests this node may run on a cold replica."""
        return self._granted_cold_slots(replica.service).get(replica.name, 0)

    def has_recent_quota(self, service: str) -> bool:
        """Return whether the quota was requested less than a heartbeat interval ago."""
        quota = self.quotas.get(service)
        if quota is None:
            return False
        return self.node.now() - quota.requested_at < self.node.bounds.heartbeat_interval

    def limit(self, service: str, class_name: str) -> int | None:
        """Return how many requests of a class this node may run; None if no limit is valid."""
        quota = self.quotas.get(service)
        if quota is None or self.node.now() >= quota.limits_expire_at:
            return None
        return quota.limits.get(class_name)
