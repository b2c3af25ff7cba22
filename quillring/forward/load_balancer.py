"""Load balancing: expected time to first token, outlier ejection, slow start.

Each request goes to the replica with the lowest cost. The cost depends on the expected time to
first token (prompts queued at the replica, prompt tokens that are not in its cache, a full batch),
on the replica's zone and on its load; see `quillring.forward.policy`.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from quillring.forward.load_exchange import LoadExchange
from quillring.forward.load_messages import PromptStart, PromptTiming
from quillring.forward.policy import DEFAULT_POLICY
from quillring.forward.prefix_directory import PrefixDirectory
from quillring.forward.replica_health import ReplicaHealth, has_missed_heartbeats
from quillring.forward.slow_start import SlowStart
from quillring.forward.work_queue import ServiceSpeed
from quillring.kernel.effects import Signal
from quillring.kernel.records import NamedTuple
from quillring.kernel.traffic import REPLICA_RESPONSE
from quillring.nifty.graph import rendezvous_score

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from quillring.forward.policy import PlacementPolicy
    from quillring.forward.request import PromptPart, Request
    from quillring.forward.types import Replica
    from quillring.kernel.node import Node


SILENT_AFTER_SECONDS = 0.2
"""Time without any byte from a replica after which it is reported as silent."""
FULL_BATCH_SHARE = 0.85
"""Share of its slots from which a replica counts as full; below 1, as load reports lag behind."""


class LatencyGoals(NamedTuple):
    """Latency goals of a route, in seconds: until the first token, and between two events."""

    first_token_latency_seconds: float = 1.0
    event_gap_seconds: float = 0.3


DEFAULT_LATENCY_GOALS = LatencyGoals()


class Estimate(NamedTuple):
    """Estimates for one request at one replica.

    Parameters
    ----------
    wait_seconds
        Time until the replica starts to process the prompt.
    uncached_tokens, work_seconds
        Prompt tokens that the replica has to process, and the time that this takes.
    first_token_seconds
        Time from sending the request to its first token.
    in_flight
        Requests in flight at the replica, of this node and its peers.
    """

    wait_seconds: float
    uncached_tokens: int
    work_seconds: float
    first_token_seconds: float
    in_flight: int


class InFlightRequest:
    """A request in flight at a replica; counts towards the replica's load until `finish`."""

    __slots__ = (
        "load_balancer",
        "health",
        "replica",
        "estimate",
        "started_at",
        "work_seconds",
        "total_added_at_start",
        "first_token_at",
        "is_batch",
        "is_trial",
        "is_finished",
    )

    def __init__(
        self,
        load_balancer: LoadBalancer,
        health: ReplicaHealth,
        replica: Replica,
        estimate: Estimate,
        is_batch: bool,
    ) -> None:
        self.load_balancer = load_balancer
        self.health = health
        self.replica = replica
        self.estimate = estimate
        self.started_at = load_balancer.node.now()
        self.first_token_at: float | None = None
        self.is_batch = is_batch
        health.batch_in_flight += is_batch
        self.is_trial = health.consecutive_failures > 0
        self.is_finished = False
        if self.is_trial:
            health.has_trial_request = True
        health.in_flight += 1
        self.work_seconds = estimate.work_seconds
        health.work.add(self.work_seconds, self.started_at)
        self.total_added_at_start = health.work.total_added_seconds
        health.expected_first_token_times[id(self)] = self.started_at + estimate.first_token_seconds

    def record_response_head(self) -> None:
        """Record a response head: the replica is healthy, whether or not it ran the request."""
        self.health.last_byte_at = self.load_balancer.node.now()
        self.health.consecutive_failures = 0
        self.health.has_trial_request = False

    def record_body_bytes(self, byte_count: int) -> None:
        """Record bytes of a response body: the replica is healthy and has processed the prompt."""
        node = self.load_balancer.node
        node.traffic.record(REPLICA_RESPONSE, self.replica.zone, byte_count)
        self.record_response_head()
        if self.first_token_at is None:
            self._record_first_token(node.now())

    def _record_first_token(self, now: float) -> None:
        """Correct the replica's queue estimate, and record the time to first token as a sample.

        Short prompts, and prompts that were expected to wait, give no sample.
        """
        self.first_token_at = now
        self.health.expected_first_token_times.pop(id(self), None)
        self.health.work.correct_at_first_token(self.total_added_at_start, now)
        token_count, balancer = self.estimate.uncached_tokens, self.load_balancer
        if token_count < balancer.policy.min_prefix_tokens or self.estimate.wait_seconds > 0:
            return
        timing = PromptTiming(self.replica.name, token_count, now - self.started_at)
        if balancer.policy.shares_load:
            balancer.exchange.report_prompt_timing(timing)
        else:
            balancer.record_timing(timing)

    def finish(self) -> None:
        """Remove the request from the replica's load; idempotent."""
        if self.is_finished:
            return
        self.is_finished = True
        self.health.in_flight -= 1
        self.health.batch_in_flight -= self.is_batch
        if self.is_trial:
            self.health.has_trial_request = False
        self.health.expected_first_token_times.pop(id(self), None)
        now = self.load_balancer.node.now()
        if self.first_token_at is None:
            self.health.work.cancel(self.work_seconds, now)
        else:
            self.load_balancer.speed(self.replica).record_request(now - self.started_at)
        self.load_balancer.wake()


def late_probability(expected_ratio: float) -> float:
    """Return the probability of missing a latency goal.

    `expected_ratio` is the expected latency divided by the goal.

    The function is a smooth step with the value 0.5 at 1. It is flat far above 1, because a request
    that is late at every replica gains little from a better one.
    """
    power = expected_ratio**4
    return power / (1 + power)


def positions_in_zone(replicas: Sequence[Replica]) -> dict[str, float]:
    """Return the position of each replica in its zone's order, 0 to 1; the same on all nodes."""
    names_by_zone: dict[str, list[str]] = {}
    for replica in replicas:
        names_by_zone.setdefault(replica.zone, []).append(replica.name)
    return {
        name: index / max(1, len(names) - 1)
        for names in names_by_zone.values()
        for index, name in enumerate(sorted(names, key=rendezvous_score))
    }


class LoadBalancer:
    """Chooses replicas for requests and tracks their health as observed by this node's requests."""

    __slots__ = (
        "node",
        "health_by_replica",
        "slow_start",
        "availability_changed",
        "names_by_service",
        "position_by_replica",
        "seen_table_version",
        "seen_configuration",
        "policy",
        "prefix_directory",
        "speed_by_service",
        "exchange",
    )

    def __init__(self, node: Node, policy: PlacementPolicy = DEFAULT_POLICY) -> None:
        self.node = node
        self.policy = policy
        self.prefix_directory = PrefixDirectory()
        self.speed_by_service: dict[str, ServiceSpeed] = {}
        self.exchange = LoadExchange(
            node,
            self._own_in_flight,
            self._own_batch_in_flight,
            self._silent_replicas,
            self._on_peer_activity,
            self._on_peer_prompt,
            self.record_timing,
        )
        self.health_by_replica: dict[str, ReplicaHealth] = {}
        self.slow_start = SlowStart(node)
        self.availability_changed = Signal()
        self.names_by_service: dict[str, list[str]] = {}
        self.position_by_replica: dict[str, float] = {}
        self.seen_table_version: int | None = None
        self.seen_configuration: Any = None
        node.find("replicas").change_listeners.append(self.wake)

    def wake(self) -> None:
        """Wake all requests that wait for a replica."""
        if self.availability_changed.watchers:
            changed_signal, self.availability_changed = self.availability_changed, Signal()
            changed_signal.set()

    def health(self, replica: Replica) -> ReplicaHealth:
        """Return the health of a replica; create it on the first call.

        Creating an entry drops the entries of replicas that are no longer known and have no request
        in flight, and the cached prefixes of all replicas that are no longer known.
        """
        health = self.health_by_replica.get(replica.name)
        if health is None:
            known = self.node.find("replicas").table
            self.health_by_replica = {
                name: health
                for name, health in self.health_by_replica.items()
                if name in known or health.in_flight
            }
            health = self.health_by_replica[replica.name] = ReplicaHealth()
            self.prefix_directory.retain_only(known)
        return health

    def speed(self, replica: Replica) -> ServiceSpeed:
        """Return the speed estimates of the replica's service."""
        speed = self.speed_by_service.get(replica.service)
        if speed is None:
            speed = self.speed_by_service[replica.service] = ServiceSpeed()
        return speed

    def record_timing(self, timing: PromptTiming) -> None:
        """Update the speed estimates with the timing of a long prompt of this node or a peer."""
        replica = self.node.find("replicas").table.get(timing.replica)
        if replica is None or not timing.uncached_tokens:
            return
        cost, work = self.speed(replica).prompt_cost, self.health(replica).work
        work.record_slowdown(timing.seconds / cost.seconds(timing.uncached_tokens))
        cost.record(timing.uncached_tokens, timing.seconds / work.slowdown)

    def _own_in_flight(self) -> dict[str, int]:
        """Return this node's requests in flight by replica."""
        return {
            name: health.in_flight
            for name, health in self.health_by_replica.items()
            if health.in_flight
        }

    def _own_batch_in_flight(self) -> dict[str, int]:
        """Return this node's batch requests (items of lots) in flight by replica."""
        return {
            name: health.batch_in_flight
            for name, health in self.health_by_replica.items()
            if health.batch_in_flight
        }

    def _silent_replicas(self) -> list[str]:
        """Return the replicas with requests of this node in flight that are silent towards it."""
        silent_since = self.node.now() - SILENT_AFTER_SECONDS
        return [
            name
            for name, health in self.health_by_replica.items()
            if health.in_flight and health.last_byte_at < silent_since
        ]

    def _on_peer_activity(self, replica_name: str) -> None:
        """Record that a replica responds to requests of a peer."""
        health = self.health_by_replica.get(replica_name)
        if health is not None:
            health.last_byte_at = max(health.last_byte_at, self.node.now() - SILENT_AFTER_SECONDS)

    def in_flight(self, replica: Replica) -> int:
        """Return the requests in flight at a replica, of this node and its peers."""
        return self.health(replica).in_flight + self.exchange.peer_in_flight(replica.name)

    def client_in_flight(self, replica: Replica) -> int:
        """Return the client requests in flight at a replica: all except batch requests."""
        own_batch = self.health(replica).batch_in_flight
        batch = own_batch + self.exchange.peer_batch_in_flight(replica.name)
        return max(0, self.in_flight(replica) - batch)

    def _on_peer_prompt(self, start: PromptStart, is_in_zone: bool) -> None:
        """Record a long prompt of another node: its cached parts and, within the zone, its work."""
        replica = self.node.find("replicas").table.get(start.replica)
        if replica is None:
            return
        self.prefix_directory.record(
            start.replica, start.parts, self._cache_tokens(replica.service)
        )
        if is_in_zone:
            work = self.health(replica).work
            cost = self.speed(replica).prompt_cost
            work.add(cost.seconds(start.uncached_tokens) * work.slowdown, self.node.now())

    def _cache_tokens(self, service: str) -> float | None:
        """Return the tokens available for long prefixes in a KV cache; None if unknown."""
        services = (self.node.find("layout").configuration or {}).get("services", {})
        engine = services.get(service, {}).get("engine") or {}
        kv_tokens = engine.get("kv_tokens")
        return kv_tokens * self.policy.cache_share if kv_tokens else None

    def replicas(self, service: str) -> list[Replica]:
        """Return the replicas of a service that may receive requests."""
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
            self.position_by_replica = {}
            for names in names_by_service.values():
                self.position_by_replica.update(
                    positions_in_zone([replicas.table[n] for n in names])
                )
            self.seen_table_version = replicas.table_version
            self.seen_configuration = configuration
        return [replicas.table[name] for name in self.names_by_service.get(service, ())]

    def choose(
        self,
        service: str,
        request: Request,
        excluded_names: Collection[str] = (),
        may_choose_cold: bool = True,
        goals: LatencyGoals = DEFAULT_LATENCY_GOALS,
    ) -> Replica | None:
        """Return the replica for a request, or None if no replica may receive it now.

        Without `may_choose_cold`, replicas that are still warming up are excluded.
        """
        now = self.node.now()
        candidates = [r for r in self.replicas(service) if r.name not in excluded_names]
        if not candidates:
            return None
        healthy = [r for r in candidates if self.health(r).may_get_request(now)]
        timeout = self.node.bounds.replica_timeout
        alive = [r for r in healthy if not has_missed_heartbeats(r, now, timeout)] or healthy
        eligible = [r for r in alive if may_choose_cold or not r.is_cold(now)]
        while eligible:
            replica = self._lowest_cost_replica(eligible, request, goals)
            if not replica.is_cold(now) or self.slow_start.try_acquire(replica, now):
                return replica
            eligible = [r for r in eligible if r is not replica]
        return None

    def _lowest_cost_replica(
        self, candidates: Sequence[Replica], request: Request, goals: LatencyGoals
    ) -> Replica:
        """Return the candidate with the lowest cost."""
        parts, now = self._long_parts(request), self.node.now()
        own_zone, random_float = self.node.me.zone, self.node.runtime.random.random
        policy, best, lowest_cost = self.policy, candidates[0], math.inf
        kilobytes = len(request.body) / 1000
        other_zone_cost = policy.other_zone_cost + policy.other_zone_cost_per_kilobyte * kilobytes
        for replica in candidates:
            estimate = self._estimate(replica, request, parts, now)
            cost = policy.random_cost * random_float()
            cost += policy.occupancy_cost * estimate.in_flight / replica.slots
            if policy.predicts_wait:
                expected_ratio = estimate.first_token_seconds / goals.first_token_latency_seconds
                cost += expected_ratio**2 + policy.wait_cost * expected_ratio
                pause_probability = late_probability(
                    estimate.first_token_seconds / goals.event_gap_seconds
                )
                cost += policy.interruption_cost * estimate.in_flight * pause_probability
                if request.prompt_tokens:
                    cost += policy.separation_cost * self._size_mismatch(replica, estimate, goals)
            if replica.zone != own_zone:
                cost += other_zone_cost
            if cost < lowest_cost:
                best, lowest_cost = replica, cost
        return best

    def _size_mismatch(self, replica: Replica, estimate: Estimate, goals: LatencyGoals) -> float:
        """Return how far, from 0 to 1, a replica is from the position for this prompt size."""
        size = late_probability(estimate.work_seconds / goals.event_gap_seconds)
        position = self.position_by_replica.get(replica.name, 0.0)
        return position + size - 2 * position * size

    def _long_parts(self, request: Request) -> tuple[PromptPart, ...]:
        """Return the long shared parts of a prompt; its last part is never shared."""
        if not self.policy.tracks_prefixes:
            return ()
        min_tokens = self.policy.min_prefix_tokens
        return tuple(part for part in request.prompt_parts[:-1] if part.token_count >= min_tokens)

    def _estimate(
        self, replica: Replica, request: Request, parts: Sequence[PromptPart], now: float
    ) -> Estimate:
        """Estimate the waiting time and the prompt processing of a request at a replica."""
        health, speed = self.health(replica), self.speed(replica)
        cached_tokens = self.prefix_directory.cached_tokens(replica.name, parts) if parts else 0
        uncached_tokens = max(0, request.prompt_tokens - cached_tokens)
        in_flight = self.in_flight(replica)
        wait_seconds = health.work.wait_seconds(now) + health.overdue_seconds(now)
        excess = in_flight + 1 - replica.slots * FULL_BATCH_SHARE
        if excess > 0:
            wait_seconds += excess / replica.slots * speed.request_seconds
        work_seconds = speed.prompt_cost.seconds(uncached_tokens) * health.work.slowdown
        return Estimate(
            wait_seconds, uncached_tokens, work_seconds, wait_seconds + work_seconds, in_flight
        )

    def start_request(
        self, replica: Replica, request: Request, is_batch: bool = False
    ) -> InFlightRequest:
        """Add a request to a replica's load; after a failure it is the trial request.

        Parameters
        ----------
        is_batch
            Whether the request is an item of a lot.
        """
        health = self.health(replica)
        parts = self._long_parts(request)
        estimate = self._estimate(replica, request, parts, self.node.now())
        in_flight_request = InFlightRequest(self, health, replica, estimate, is_batch)
        if parts:
            self.prefix_directory.record(replica.name, parts, self._cache_tokens(replica.service))
        if self.policy.shares_load and estimate.uncached_tokens >= self.policy.min_reported_tokens:
            start = PromptStart(replica.name, estimate.uncached_tokens, parts)
            self.exchange.report_prompt_start(start)
        return in_flight_request

    def record_failure(self, replica: Replica, is_certain: bool) -> None:
        """Record a failed request; if `is_certain`, one failure is enough to eject the replica."""
        self.health(replica).record_failure(self.node.now(), is_certain, self.node.bounds)
        self.wake()

    def is_unresponsive(self, replica: Replica, seconds: float) -> bool:
        """Return whether the replica was silent for `seconds` without a known reason.

        Bytes received by this node or by a peer end the silence. Time in which the replica is
        expected to process prompts does not count, because its streams pause during that time.
        """
        health, now = self.health(replica), self.node.now()
        busy_until = min(now, health.work.busy_until)
        return now - max(health.last_byte_at, busy_until) >= seconds
