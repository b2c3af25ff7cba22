"""The planner: pure functions from an intent and a view of the fleet to a plan."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import NotFound
from quillring.kernel.records import NamedTuple
from quillring.kernel.registry import Registry
from quillring.plans.messages import ConfigurationStep, Intent, Obstacle, Plan, Step, WaitStep
from quillring.quorum.parts import GROUP_SIZE

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quillring.kernel.types import WireMap

INTENTS = Registry("intent")

DRAIN_EFFECT_BY_ROLE = {
    "edge": "not ready, takes no new inquiries and holds no new journals",
    "core": "its parts, lots and journals go to cores elsewhere",
    "store": "stays a member of its parts; retire it to move them",
}
NEEDED_ROLES = ("edge", "core")


class ReplicaLoad(NamedTuple):
    """A replica with its service and zone, and its total and busy request slots."""

    name: str
    service: str
    zone: str
    slots: int
    busy: int

    @classmethod
    def from_heartbeat(cls, fields: WireMap) -> ReplicaLoad:
        """Read the load from a replica's heartbeat."""
        return cls(
            fields["name"],
            fields["service"],
            fields["domain"],
            fields.get("slots", 0),
            fields.get("busy", 0),
        )


class NodeLocation(NamedTuple):
    """The role and the zone of a node."""

    role: str
    zone: str


class FleetView(NamedTuple):
    """The input of the planner: the configuration, and the fleet as one node sees it.

    `groups` is {part: names of its stores}, `stores` is {store: zone}.
    """

    version: int
    configuration: WireMap
    groups: Mapping[str, list[str]]
    stores: Mapping[str, str]
    replicas: list[ReplicaLoad]
    nodes: Mapping[str, NodeLocation]

    def require_zone(self, zone: str) -> None:
        """Raise NotFound unless the zone is in the configuration."""
        if zone not in self.configuration["domains"]:
            raise NotFound(field="target", domain=zone)

    def is_drained(self, zone: str) -> bool:
        """Return whether the configuration orders a zone drained; False for an unknown zone."""
        return bool(self.configuration["domains"].get(zone, {}).get("emptied"))


class Proposal(NamedTuple):
    """The steps and obstacles for an intent; `moves` describes what stops, and what moves where."""

    steps: list[Step]
    obstacles: list[Obstacle]
    moves: list[str]


def make_plan(view: FleetView, stated_intent: WireMap) -> Plan:
    """Return the plan for an intent, or raise NotFound for unknown targets."""
    intent = Intent.from_wire(stated_intent)
    proposal: Proposal = INTENTS.find(intent.kind)(view, intent)
    return Plan(stated_intent, proposal.steps, proposal.obstacles, proposal.moves, view.version)


@INTENTS.entry("empty_domain")
def plan_empty_zone(view: FleetView, intent: Intent) -> Proposal:
    """Drain a zone: send it no new requests, then wait until those in flight there have ended."""
    zone = intent.target
    view.require_zone(zone)
    drained_replicas = [replica for replica in view.replicas if replica.zone == zone]
    role_by_node = {
        name: location.role
        for name, location in sorted(view.nodes.items())
        if location.zone == zone
    }
    obstacles = [
        *capacity_obstacles(view, zone, sorted({replica.service for replica in drained_replicas})),
        *missing_role_obstacles(view, zone, set(role_by_node.values())),
    ]
    steps: list[Step] = [
        ConfigurationStep(f"give {zone} no new work", {"domains": {zone: {"emptied": True}}}),
        WaitStep(f"wait until {zone} is idle", "domain_idle", zone),
    ]
    moves = [f"{r.name}: {r.busy} under way end, new ones go elsewhere" for r in drained_replicas]
    moves.extend(f"{name}: {DRAIN_EFFECT_BY_ROLE[role]}" for name, role in role_by_node.items())
    return Proposal(steps, obstacles, moves)


def capacity_obstacles(view: FleetView, zone: str, services: list[str]) -> list[Obstacle]:
    """Return an obstacle for each service whose busy slots would fill all its remaining slots."""
    obstacles = []
    for service in services:
        replicas = [replica for replica in view.replicas if replica.service == service]
        busy = sum(replica.busy for replica in replicas)
        remaining_slots = sum(
            replica.slots
            for replica in replicas
            if replica.zone != zone and not view.is_drained(replica.zone)
        )
        if remaining_slots <= busy:
            text = f"{service}: {busy} busy, {remaining_slots} slots remain"
            obstacles.append(Obstacle("less_room", text))
    return obstacles


def missing_role_obstacles(view: FleetView, zone: str, drained_roles: set[str]) -> list[Obstacle]:
    """Return an obstacle if no zone would remain, and for each needed role that would be lost."""
    obstacles = []
    zones = view.configuration["domains"]
    remaining_zones = [name for name in zones if name != zone and not view.is_drained(name)]
    if not remaining_zones:
        obstacles.append(Obstacle(None, "no domain would remain"))
    remaining_roles = {
        location.role for location in view.nodes.values() if location.zone in remaining_zones
    }
    for role in NEEDED_ROLES:
        if role in drained_roles and role not in remaining_roles:
            obstacles.append(Obstacle(f"no_{role}", f"no {role} would remain"))
    return obstacles


@INTENTS.entry("refill_domain")
def plan_refill_zone(view: FleetView, intent: Intent) -> Proposal:
    """Send new requests to a zone again."""
    zone = intent.target
    view.require_zone(zone)
    change = {"domains": {zone: {"emptied": False}}}
    return Proposal([ConfigurationStep(f"let {zone} get work again", change)], [], [])


@INTENTS.entry("move_entry")
def plan_move_route(view: FleetView, intent: Intent) -> Proposal:
    """Point a route at another service; a service of another kind is an obstacle."""
    route_name, service = intent.target, intent.service
    routes, services = view.configuration["entries"], view.configuration["services"]
    if route_name not in routes:
        raise NotFound(field="target", entry=route_name)
    if service not in services:
        raise NotFound(field="service", service=service)
    old_service = routes[route_name]["service"]
    obstacles = []
    if services[service]["kind"] != services[old_service]["kind"]:
        obstacles.append(Obstacle(None, f"{service} is of another kind"))
    if not any(replica.service == service for replica in view.replicas):
        obstacles.append(Obstacle("no_replica", f"{service} has no replica"))
    change = {"entries": {route_name: {"service": service}}}
    step = ConfigurationStep(f"move {route_name} to {service}", change)
    return Proposal([step], obstacles, [f"{route_name}: from {old_service} to {service}"])


@INTENTS.entry("retire_store")
def plan_retire_store(view: FleetView, intent: Intent) -> Proposal:
    """Remove a store from every part of which it is a member."""
    name = intent.target
    if name not in view.stores:
        raise NotFound(field="target", store=name)
    parts = [part for part, group in sorted(view.groups.items()) if name in group]
    orders = view.configuration.get("stores", {})
    retired_names = {store for store, order in orders.items() if order.get("retired")} | {name}
    zones = {zone for store, zone in view.stores.items() if store not in retired_names}
    is_under_replicated = len(zones) < GROUP_SIZE
    obstacles = []
    if is_under_replicated and parts:
        text = f"stores in {len(zones)} domains remain for {', '.join(parts)}"
        obstacles.append(Obstacle("part_under_three", text))
    order = {"retired": True, **({"forced": True} if is_under_replicated else {})}
    steps: list[Step] = [
        ConfigurationStep(f"retire {name}", {"stores": {name: order}}),
        WaitStep(f"wait until no part has {name}", "store_unused", name),
    ]
    replacement = (
        "goes on with two members" if is_under_replicated else "a spare store takes its place"
    )
    return Proposal(steps, obstacles, [f"{part}: {name} leaves, {replacement}" for part in parts])


@INTENTS.entry("restore_store")
def plan_restore_store(view: FleetView, intent: Intent) -> Proposal:
    """Make a retired store eligible again for parts that need a member."""
    name = intent.target
    if name not in view.configuration.get("stores", {}):
        raise NotFound(field="target", store=name)
    return Proposal([ConfigurationStep(f"restore {name}", {"stores": {name: None}})], [], [])
