"""Load balancing: prompt-cache affinity, least load, outlier ejection, slow start."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.forward.replica_health import ReplicaHealth, has_missed_heartbeats
from quillring.forward.slow_start import SlowStart
from quillring.kernel.effects import Signal
from quillring.nifty.graph import score

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from quillring.forward.request import Request
    from quillring.forward.types import Replica
    from quillring.kernel.node import Node

AFFINITY_MIN_TOKENS = 1024
"""A shared prompt part of at least so many tokens keeps to its replica."""
AFFINITY_REPLICA_COUNT = 2
MAX_PENDING_PROMPT_TOKENS = 24_000
"""Affinity gives way at a replica with so many prompt tokens not processed yet."""
TOKENS_PER_REQUEST = 4000
"""So many prompt tokens not processed yet weigh as much as one request in flight."""
LOAD_SCALE = 8
OTHER_ZONE_PENALTY = 0.4
RANDOM_SPREAD = 0.3


class InFlightRequest:
    """A request in flight at a replica, counted in the load of the replica until `finish`."""

    __slots__ = (
        "load_balancer",
        "health",
        "replica",
        "token_count",
        "is_prompt_pending",
        "is_over",
    )

    def __init__(
        self, load_balancer: LoadBalancer, health: ReplicaHealth, replica: Replica, token_count: int
    ) -> None:
        self.load_balancer = load_balancer
        self.health = health
        self.replica = replica
        self.token_count = token_count
        self.is_prompt_pending = True
        self.is_over = False
        health.in_flight += 1
        health.pending_prompt_tokens += token_count

    def note_response_bytes(self) -> None:
        """Record response bytes: the replica is healthy, and the prompt is processed."""
        self.health.last_byte_at = self.load_balancer.node.now()
        self.health.consecutive_failures = 0
        self.health.has_trial_request = False
        if self.is_prompt_pending:
            self.is_prompt_pending = False
            self.health.pending_prompt_tokens -= self.token_count

    def finish(self) -> None:
        """Remove the request from the load of the replica; idempotent."""
        if self.is_over:
            return
        self.is_over = True
        self.health.in_flight -= 1
        self.health.has_trial_request = False
        if self.is_prompt_pending:
            self.health.pending_prompt_tokens -= self.token_count
        self.load_balancer.wake()


class LoadBalancer:
    """Chooses replicas for requests; owns their health as observed by this node's requests."""

    __slots__ = (
        "node",
        "health_by_replica",
        "slow_start",
        "changed",
        "names_by_service",
        "seen_table_version",
        "seen_configuration",
    )

    def __init__(self, node: Node) -> None:
        self.node = node
        self.health_by_replica: dict[str, ReplicaHealth] = {}
        self.slow_start = SlowStart(node)
        self.changed = Signal()
        self.names_by_service: dict[str, list[str]] = {}
        self.seen_table_version: int | None = None
        self.seen_configuration: Any = None
        node.find("replicas").on_change.append(self.wake)

    def wake(self) -> None:
        """Wake all requests that wait for a replica."""
        if self.changed.watchers:
            changed_signal, self.changed = self.changed, Signal()
            changed_signal.set()

    def health(self, replica: Replica) -> ReplicaHealth:
        """Return the health of a replica; a first call drops that of replicas no longer known."""
        health = self.health_by_replica.get(replica.name)
        if health is None:
            known = self.node.find("replicas").table
            self.health_by_replica = {
                name: health
                for name, health in self.health_by_replica.items()
                if name in known or health.in_flight
            }
            health = self.health_by_replica[replica.name] = ReplicaHealth()
        return health

    def replicas(self, service: str) -> list[Replica]:
        """Return the replicas of a service that may be sent a request."""
        replicas, configuration = self.node.find("replicas"), self.node.find("layout").configuration
        if (
            self.seen_table_version != replicas.table_version
            or self.seen_configuration is not configuration
        ):
            names_by_service: dict[str, list[str]] = {}
            for replica in replicas.table.values():
                if replicas.may_receive_requests(replica):
                    names_by_service.setdefault(replica.service, []).append(replica.name)
            self.names_by_service = names_by_service
            self.seen_table_version = replicas.table_version
            self.seen_configuration = configuration
        return [replicas.table[name] for name in self.names_by_service.get(service, ())]

    def choose(
        self,
        service: str,
        request: Request,
        avoided_names: Collection[str] = (),
        may_send_cold: bool = True,
    ) -> Replica | None:
        """Return the replica for a request, or None if none may get it now."""
        now = self.node.now()
        candidates = [r for r in self.replicas(service) if r.name not in avoided_names]
        if not candidates:
            return None
        healthy = [r for r in candidates if self.health(r).may_get_request(now)]
        timeout = self.node.bounds.replica_timeout
        alive = [r for r in healthy if not has_missed_heartbeats(r, now, timeout)] or healthy
        eligible = [r for r in alive if may_send_cold or not r.is_cold(now)]
        while eligible:
            replica = self._prefer(eligible, request)
            if not replica.is_cold(now) or self.slow_start.try_acquire(replica, now):
                return replica
            eligible = [r for r in eligible if r is not replica]
        return None

    def _prefer(self, candidates: Sequence[Replica], request: Request) -> Replica:
        """Return a replica likely to have the prompt prefix cached, else the least loaded one."""
        long_parts = [
            name for name, count in request.prompt_parts[:-1] if count >= AFFINITY_MIN_TOKENS
        ]
        if long_parts:
            ranked = sorted(candidates, key=lambda r: score(long_parts[0], r.name), reverse=True)
            for replica in ranked[:AFFINITY_REPLICA_COUNT]:
                if self.health(replica).pending_prompt_tokens < MAX_PENDING_PROMPT_TOKENS:
                    return replica
        return min(candidates, key=self._load)

    def _load(self, replica: Replica) -> float:
        """Return the load per slot, plus a penalty for another zone and a random jitter."""
        health = self.health(replica)
        is_other_zone = replica.zone != self.node.me.zone
        load = health.in_flight + health.pending_prompt_tokens / TOKENS_PER_REQUEST
        spread: float = RANDOM_SPREAD * self.node.runtime.random.random()
        penalty = OTHER_ZONE_PENALTY if is_other_zone else 0.0
        return load / replica.slots * LOAD_SCALE + penalty + spread

    def start_request(self, replica: Replica, request: Request) -> InFlightRequest:
        """Add a request to the load of a replica; after a failure it is the trial request."""
        health = self.health(replica)
        if health.consecutive_failures:
            health.has_trial_request = True
        return InFlightRequest(self, health, replica, request.prompt_tokens)

    def record_failure(self, replica: Replica, is_certain: bool) -> None:
        """Record a failed request; a failure with `is_certain` ejects the replica at once."""
        self.health(replica).record_failure(self.node.now(), is_certain, self.node.bounds)
        self.wake()

    def is_unresponsive(self, replica: Replica, seconds: float) -> bool:
        """Return whether no request of this node got a byte from the replica for `seconds`."""
        return self.node.now() - self.health(replica).last_byte_at >= seconds
