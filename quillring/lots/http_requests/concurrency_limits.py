"""Limit the items that run concurrently to a share of the slots, reduced when replicas are full."""

from __future__ import annotations

import math
from collections.abc import Container, Iterable, Mapping
from typing import TYPE_CHECKING, Any

from quillring.forward.replica_health import has_missed_heartbeats
from quillring.kernel.records import NamedTuple
from quillring.lots.http_requests.item_executor import BROKEN, NOT_RUN, UNSENT

if TYPE_CHECKING:
    from quillring.forward.types import Replica
    from quillring.kernel.node import Node
    from quillring.lots.http_requests.backlog import SlotShare
    from quillring.lots.http_requests.item_table import DispatchedRun, ItemTable

DEFAULT_SHARE, DUE_SOON_SHARE, MIN_SHARE = 0.75, 0.85, 0.08
"""The share of a service's slots for lots: by default, for items that are due soon, and minimum."""
OCCUPANCY_MARGIN = 0.1
"""Added to the share of lots, this is the share of slots that items and clients take together."""
SHARE_REDUCTION_FACTOR = 0.9
"""When a replica is full, its service's share is multiplied by this factor."""
RECOVERY_PER_SECOND = 0.05
"""Increase per second of the factor of a reduced share, up to 1."""
START_INTERVAL_SECONDS = 0.02
MIN_START_RATIO = 0.1
MAX_BACKOFF_DOUBLINGS = 3
BACKOFF_SECONDS = {NOT_RUN: 0.3, BROKEN: 0.6, UNSENT: 1.0}


class ShareReduction(NamedTuple):
    """A reduction of a service's share: the factor after it, and its time."""

    factor: float
    at: float

    def factor_at(self, now: float) -> float:
        """Return the factor at `now`; it recovers by RECOVERY_PER_SECOND, up to 1."""
        return min(1.0, self.factor + RECOVERY_PER_SECOND * (now - self.at))


class ConcurrencyLimits:
    """The share of each service's slots for lots, and the backoff of each replica.

    The share is multiplied by SHARE_REDUCTION_FACTOR when a replica is full and recovers linearly:
    additive increase, multiplicative decrease (Chiu and Jain, 1989).

    Attributes
    ----------
    cuts
        The last reduction of the share, by service.
    consecutive_failures
        Failed runs since the last success, by replica.
    backoff_until, next_start_at
        Until when backoff and pacing allow no start, by replica.
    """

    __slots__ = (
        "node",
        "share_reductions",
        "consecutive_failures",
        "backoff_until",
        "next_start_at",
    )

    def __init__(self, node: Node) -> None:
        self.node = node
        self.share_reductions: dict[str, ShareReduction] = {}
        self.consecutive_failures: dict[str, int] = {}
        self.backoff_until: dict[str, float] = {}
        self.next_start_at: dict[str, float] = {}

    def share(self, service: str, is_due_soon: bool, now: float) -> float:
        """Return the share of a service's slots for lots, at least MIN_SHARE."""
        factor = self.share_reductions.get(service, ShareReduction(1.0, now)).factor_at(now)
        return max(MIN_SHARE, (DUE_SOON_SHARE if is_due_soon else DEFAULT_SHARE) * factor)

    def slots(self, service: str, now: float) -> int:
        """Return the number of a service's slots that all lots together may take."""
        share, load_balancer = self.share(service, False, now), self.node.find("placement")
        return sum(slots_for(replica, share) for replica in load_balancer.replicas(service))

    def record_failure(self, run: DispatchedRun, outcome: str, now: float) -> None:
        """Record a failed run: back off exponentially, and reduce the share if the replica is full.

        `outcome` is NOT_RUN, which means a full replica, BROKEN or UNSENT.
        """
        replicas = self.node.find("replicas").table
        self.consecutive_failures = {
            name: count for name, count in self.consecutive_failures.items() if name in replicas
        }
        failures = self.consecutive_failures.get(run.replica, 0) + 1
        self.consecutive_failures[run.replica] = failures
        self.backoff_until = {
            name: until for name, until in self.backoff_until.items() if until > now
        }
        seconds = BACKOFF_SECONDS[outcome] * 2 ** min(failures - 1, MAX_BACKOFF_DOUBLINGS)
        self.backoff_until[run.replica] = now + seconds
        if outcome == NOT_RUN:
            factor = self.share_reductions.get(run.service, ShareReduction(1.0, now)).factor_at(now)
            self.share_reductions[run.service] = ShareReduction(
                max(MIN_SHARE, factor * SHARE_REDUCTION_FACTOR), now
            )

    def record_success(self, run: DispatchedRun) -> None:
        """Record a completed run, which resets the replica's count of consecutive failures."""
        self.consecutive_failures.pop(run.replica, None)

    def choose_replica(
        self,
        service: str,
        item_table: ItemTable,
        is_due_soon: bool,
        avoided_names: Container[str],
        slot_share: SlotShare,
        now: float,
    ) -> Replica | None:
        """Return the least loaded replica with a free slot for an item, or None.

        Replicas with missed heartbeats and those in `avoided_names` are used only if no others
        exist. `slot_share` is the share of the item table's part in the slots that lots may take.
        """
        load_balancer = self.node.find("placement")
        heartbeat_timeout = self.node.bounds.propagation * 1.5
        replicas = load_balancer.replicas(service)
        responsive = [
            r for r in replicas if not has_missed_heartbeats(r, now, heartbeat_timeout)
        ] or replicas
        preferred = [r for r in responsive if r.name not in avoided_names] or responsive
        share = self.share(service, is_due_soon, now)
        offsets = rounding_offsets(replicas)
        running = item_table.runs_by_replica
        eligible = [
            replica
            for replica in preferred
            if running.get(replica.name, 0)
            < slot_share.part_slots(self._free_slots(replica, share), offsets[replica.name])
            and self._may_start(replica, load_balancer, now)
        ]
        candidates = [r for r in eligible if not r.is_cold(now)]
        if not candidates:
            candidates = [r for r in eligible[:1] if load_balancer.slow_start.try_acquire(r, now)]
        return least_loaded(candidates, running)

    def _free_slots(self, replica: Replica, share: float) -> int:
        """Return how many slots of a replica all lots together may take besides client requests.

        Lots yield to client requests, because clients wait for an answer and replicas admit
        requests in the order of arrival.
        """
        clients: int = self.node.find("placement").client_in_flight(replica)
        slots_left = math.ceil(replica.slots * (share + OCCUPANCY_MARGIN)) - clients
        return max(1, min(slots_for(replica, share), slots_left))

    def _may_start(self, replica: Replica, load_balancer: Any, now: float) -> bool:
        """Return whether the replica's backoff, pacing, state and health allow a start now."""
        return bool(
            self.backoff_until.get(replica.name, 0) <= now
            and self.next_start_at.get(replica.name, 0) <= now
            and self.node.find("replicas").may_receive_requests(replica)
            and load_balancer.health(replica).may_get_request(now)
        )

    def record_start(self, replica: Replica, slot_share: SlotShare, now: float) -> None:
        """Set the earliest time of the next start at a replica.

        That is START_INTERVAL_SECONDS later, divided by the part's share of the slots.
        """
        ratio = max(slot_share.ratio, MIN_START_RATIO)
        self.next_start_at[replica.name] = now + START_INTERVAL_SECONDS / ratio


def least_loaded(replicas: Iterable[Replica], running: Mapping[str, int]) -> Replica | None:
    """Return the replica with the fewest runs per slot, None if there are no replicas."""

    def load(replica: Replica) -> tuple[float, str]:
        return running.get(replica.name, 0) / replica.slots, replica.name

    return min(replicas, default=None, key=load)


def slots_for(replica: Replica, share: float) -> int:
    """Return the given share of a replica's slots, rounded up and at least 1."""
    return math.ceil(max(1, replica.slots * share))


def rounding_offsets(replicas: Iterable[Replica]) -> dict[str, float]:
    """Return an offset in [0, 1) for each replica name, spread evenly over a service's replicas."""
    names = sorted(replica.name for replica in replicas)
    return {name: position / len(names) for position, name in enumerate(names)}
