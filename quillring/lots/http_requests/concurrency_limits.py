"""Limit the items that run at once to a share of the slots, lower while replicas are full."""

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

CALM_SHARE, NEAR_SHARE, LEAST_SHARE = 0.75, 0.85, 0.08
"""The share of a service's slots for lots: usually, for items due soon, and at the least."""
OCCUPANCY_MARGIN = 0.1
"""Items and clients together take so much more of the slots than lots may have by themselves."""
CUT_FACTOR = 0.9
"""A full replica cuts the share to this."""
RECOVERY_PER_SECOND = 0.05
START_INTERVAL_SECONDS = 0.02
LEAST_START_RATIO = 0.1
MOST_DOUBLINGS = 3
BACKOFF_SECONDS = {NOT_RUN: 0.3, BROKEN: 0.6, UNSENT: 1.0}


class Cut(NamedTuple):
    """The factor that a service's share was cut to, and the time of the cut."""

    factor: float
    at: float

    def factor_at(self, now: float) -> float:
        """Return the factor now; it recovers by RECOVERY_PER_SECOND, up to 1."""
        return min(1.0, self.factor + RECOVERY_PER_SECOND * (now - self.at))


class ConcurrencyLimits:
    """The share of each service's slots for lots, and the backoff of each replica.

    The share falls by a factor when a replica is full and recovers linearly: additive increase,
    multiplicative decrease (Chiu and Jain, 1989).

    Attributes
    ----------
    cuts
        By service.
    consecutive_failures, backoff_until, next_starts
        By replica.
    """

    __slots__ = ("node", "cuts", "consecutive_failures", "backoff_until", "next_starts")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.cuts: dict[str, Cut] = {}
        self.consecutive_failures: dict[str, int] = {}
        self.backoff_until: dict[str, float] = {}
        self.next_starts: dict[str, float] = {}

    def share(self, service: str, is_near: bool, now: float) -> float:
        """Return the share of a service's slots for lots, at least LEAST_SHARE."""
        factor = self.cuts.get(service, Cut(1.0, now)).factor_at(now)
        return max(LEAST_SHARE, (NEAR_SHARE if is_near else CALM_SHARE) * factor)

    def slots(self, service: str, now: float) -> int:
        """Return how many slots of a service all lots together may take."""
        share, load_balancer = self.share(service, False, now), self.node.find("placement")
        return sum(slots_for(replica, share) for replica in load_balancer.replicas(service))

    def record_failure(self, run: DispatchedRun, outcome: str, now: float) -> None:
        """Record a failed run: cut the share if its replica was full; back off exponentially."""
        known = self.node.find("replicas").table
        self.consecutive_failures = {
            name: count for name, count in self.consecutive_failures.items() if name in known
        }
        failures = self.consecutive_failures.get(run.replica, 0) + 1
        self.consecutive_failures[run.replica] = failures
        self.backoff_until = {
            name: until for name, until in self.backoff_until.items() if until > now
        }
        seconds = BACKOFF_SECONDS[outcome] * 2 ** min(failures - 1, MOST_DOUBLINGS)
        self.backoff_until[run.replica] = now + seconds
        if outcome == NOT_RUN:
            factor = self.cuts.get(run.service, Cut(1.0, now)).factor_at(now)
            self.cuts[run.service] = Cut(max(LEAST_SHARE, factor * CUT_FACTOR), now)

    def record_success(self, run: DispatchedRun) -> None:
        """Record a completed run: the replica's consecutive failures start at 0 again."""
        self.consecutive_failures.pop(run.replica, None)

    def choose_replica(
        self,
        service: str,
        item_table: ItemTable,
        is_near: bool,
        avoided_names: Container[str],
        slot_share: SlotShare,
        now: float,
    ) -> Replica | None:
        """Return the least loaded replica with room for an item, or None when there is none now.

        `slot_share` is what the item table's part may take of the slots that lots take.
        """
        load_balancer = self.node.find("placement")
        patience = self.node.bounds.propagation * 1.5
        known = load_balancer.replicas(service)
        heard = [r for r in known if not has_missed_heartbeats(r, now, patience)] or known
        wanted = [r for r in heard if r.name not in avoided_names] or heard
        share = self.share(service, is_near, now)
        offsets = rounding_offsets(known)
        running = item_table.runs_by_replica
        fit = [
            replica
            for replica in wanted
            if running.get(replica.name, 0)
            < slot_share.room(self._free_slots(replica, share), offsets[replica.name])
            and self._may_start(replica, load_balancer, now)
        ]
        candidates = [r for r in fit if not r.is_cold(now)]
        if not candidates:
            candidates = [r for r in fit[:1] if load_balancer.slow_start.try_acquire(r, now)]
        return least_loaded(candidates, running)

    def _free_slots(self, replica: Replica, share: float) -> int:
        """Return how many slots of a replica all lots together may take beside its clients.

        They yield: clients wait for an answer, and replicas admit in the order of arrival.
        """
        clients: int = self.node.find("placement").client_in_flight(replica)
        left = math.ceil(replica.slots * (share + OCCUPANCY_MARGIN)) - clients
        return max(1, min(slots_for(replica, share), left))

    def _may_start(self, replica: Replica, load_balancer: Any, now: float) -> bool:
        """Return whether backoff, pacing, health and state let a replica get an item now."""
        return bool(
            self.backoff_until.get(replica.name, 0) <= now
            and self.next_starts.get(replica.name, 0) <= now
            and self.node.find("replicas").may_receive_requests(replica)
            and load_balancer.health(replica).may_get_request(now)
        )

    def record_start(self, replica: Replica, slot_share: SlotShare, now: float) -> None:
        """Pace the starts at a replica: START_INTERVAL_SECONDS, longer for a smaller share."""
        ratio = max(slot_share.ratio, LEAST_START_RATIO)
        self.next_starts[replica.name] = now + START_INTERVAL_SECONDS / ratio


def least_loaded(replicas: Iterable[Replica], running: Mapping[str, int]) -> Replica | None:
    """Return the replica with the fewest runs for its slots, None for no replicas."""

    def load(replica: Replica) -> tuple[float, str]:
        return running.get(replica.name, 0) / replica.slots, replica.name

    return min(replicas, default=None, key=load)


def slots_for(replica: Replica, share: float) -> int:
    """Return how many of a replica's slots all lots together may take."""
    return math.ceil(max(1, replica.slots * share))


def rounding_offsets(replicas: Iterable[Replica]) -> dict[str, float]:
    """Return a number from 0 to 1 by replica, spread evenly over a service's replicas."""
    names = sorted(replica.name for replica in replicas)
    return {name: place / len(names) for place, name in enumerate(names)}
