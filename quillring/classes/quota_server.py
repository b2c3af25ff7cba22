"""The quota server of a service: divides its capacity among classes and client nodes.

The capacity of a service is the sum of the usable slots of its replicas. A cold replica has fewer
usable slots (slow start), and each of them is leased to one client node at a time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.classes.fair_share import allocate, apportion, slow_start_slots
from quillring.classes.messages import REQUEST_QUOTA, Quota, QuotaRequest
from quillring.kernel.errors import NotLeader
from quillring.kernel.records import NamedTuple
from quillring.nifty.graph import rendezvous_score
from quillring.quorum.parts import part_for_key

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quillring.kernel.node import Node
    from quillring.kernel.types import WireMap
    from quillring.quorum.leader.part_leader import PartLeader

DEFAULT_WARM_UP_MS = 8000


class ClientDemand(NamedTuple):
    """A client's last request, and the cold slots it may use until `cold_slots_expire_at`."""

    requested_at: float
    demands: Mapping[str, int]
    cold_slots: Mapping[str, int]
    cold_slots_expire_at: float


class LeaderTerm(NamedTuple):
    """The ballot under which this core leads a part, and the start of the term in seconds."""

    ballot: Any
    since: float


class QuotaServer:
    """Grants quotas for the services whose part this core leads, while its leader lease is valid.

    `demands` is {service: {client: ClientDemand}}, `terms` is {part: LeaderTerm}.
    """

    __slots__ = ("node", "demands", "terms")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.demands: dict[str, dict[str, ClientDemand]] = {}
        self.terms: dict[str, LeaderTerm] = {}
        node.find("ownership").leader_listeners.append(self._on_leader_change)
        node.handle(REQUEST_QUOTA, self.on_request)

    @property
    def lease_seconds(self) -> float:
        """Seconds for which a grant of cold slots is valid."""
        return self.node.bounds.propagation

    def _on_leader_change(self, leader: PartLeader, batch: list[WireMap]) -> None:
        """Record the start of this core's term as a part's leader, or remove an ended term."""
        term = self.terms.get(leader.part)
        ballot = None if term is None else term.ballot
        if leader.is_leader and ballot != leader.ballot:
            self.terms[leader.part] = LeaderTerm(leader.ballot, self.node.now())
        elif not leader.is_leader and ballot == leader.ballot:
            del self.terms[leader.part]

    def on_request(self, body: WireMap, origin: str) -> WireMap:
        """Grant a client its limits by class and its cold slots for one service.

        Raises NotLeader unless this core leads the service's part with a valid lease.
        """
        request = QuotaRequest.from_wire(body)
        service, held_slots = request.service, dict(request.held_cold_slots)
        ownership = self.node.find("ownership")
        part = part_for_key(service, len(ownership.parts()) - 1)
        leader = ownership.leaders.get(part)
        if leader is None or not leader.has_lease():
            raise NotLeader(part=part)
        now = self.node.now()
        demand = ClientDemand(now, request.demands, held_slots, now + self.lease_seconds)
        demands = self.demands.setdefault(service, {})
        demands[origin] = demand
        seconds_as_leader = now - self.terms[part].since
        cold_slots = self._cold_slots(service, origin, now, seconds_as_leader)
        names = dict.fromkeys((*cold_slots, *held_slots))
        possibly_held = {
            name: max(cold_slots.get(name, 0), held_slots.get(name, 0)) for name in names
        }
        demands[origin] = demand._replace(cold_slots=possibly_held)
        limits = self._limits(service, origin, now)
        return Quota(limits, cold_slots, self.lease_seconds).to_wire()

    def _limits(self, service: str, client: str, now: float) -> dict[str, int]:
        """Return {class: requests} for a client.

        Only clients that sent a request within half of `bounds.propagation` count. The slots that
        remain idle are divided equally among them; the part is added to the limit of each class.
        """
        configuration = self.node.find("layout").configuration or {"classes": {}}
        classes = configuration["classes"]
        replicas = self.node.find("replicas").available(service)
        capacity = sum(self.usable_slots(replica) for replica in replicas)
        max_age_seconds = self.node.bounds.propagation / 2
        by_client = {
            name: demand.demands
            for name, demand in self.demands[service].items()
            if now - demand.requested_at < max_age_seconds
        }
        requested_names = {name for demands in by_client.values() for name in demands}
        class_names = sorted(requested_names & set(classes))
        demand_by_class = {
            name: sum(demands.get(name, 0) for demands in by_client.values())
            for name in class_names
        }
        granted = allocate(capacity, classes, demand_by_class)
        idle_slots = max(0, capacity - sum(granted.values())) // max(1, len(by_client))
        limits = {}
        for name in class_names:
            demands_of_class = {n: demands.get(name, 0) for n, demands in by_client.items()}
            limits[name] = apportion(granted[name], demands_of_class)[client] + idle_slots
        return limits

    def usable_slots(self, replica: Any) -> int:
        """Return how many slots of a replica may be used now; a cold one starts slowly."""
        slots: int = replica.slots
        if replica.state != "cold":
            return slots
        services = (self.node.find("layout").configuration or {}).get("services", {})
        warm_up_ms = services.get(replica.service, {}).get("warm_up_ms", DEFAULT_WARM_UP_MS)
        age_seconds = self.node.now() - replica.first_seen_at
        return slow_start_slots(slots, age_seconds, warm_up_ms / 1000)

    def _cold_slots(
        self, service: str, client: str, now: float, seconds_as_leader: float
    ) -> dict[str, int]:
        """Return {cold replica: slots} for a client, without slots that other clients may use.

        A core that has led for less than a lease may not know all slots granted by its predecessor,
        so it grants only those that the client already has.
        """
        replicas = self.node.find("replicas").available(service)
        cold_replicas = [replica for replica in replicas if replica.state == "cold"]
        if seconds_as_leader < self.lease_seconds:
            held = self.demands[service][client].cold_slots
            return {r.name: held[r.name] for r in cold_replicas if held.get(r.name)}
        by_client = {
            name: demand
            for name, demand in self.demands[service].items()
            if demand.cold_slots_expire_at > now
        }
        slots = {}
        for replica in cold_replicas:
            count = self._granted_slots(replica, client, by_client)
            if count:
                slots[replica.name] = count
        return slots

    def _granted_slots(self, replica: Any, client: str, by_client: dict[str, ClientDemand]) -> int:
        """Return the slots of one cold replica that are granted to a client.

        Slots are apportioned by demand plus one, which gives idle clients a weight too. If there
        are fewer slots than clients, rendezvous hashing selects the clients that get one slot each.
        """
        usable = self.usable_slots(replica)
        held_elsewhere = sum(
            demand.cold_slots.get(replica.name, 0)
            for name, demand in by_client.items()
            if name != client
        )
        if usable < len(by_client):
            ranked = sorted(
                by_client, key=lambda name: rendezvous_score(replica.name, name), reverse=True
            )
            wanted = int(client in ranked[:usable])
        else:
            weights = {name: sum(d.demands.values()) + 1 for name, d in by_client.items()}
            wanted = apportion(usable, weights)[client]
        return max(0, min(wanted, usable - held_elsewhere))
