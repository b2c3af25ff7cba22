"""HTTP routes for operators, replicas and the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.edge import short_requests, stream_handlers
from quillring.edge.admission import check_admission
from quillring.kernel.checks import StrictValidator
from quillring.kernel.errors import Conflict, NotFound, NotFounded, Refused
from quillring.kernel.request_checks import check_body
from quillring.kernel.routes import route
from quillring.lots.prompts import api as prompt_lots_api
from quillring.plans import api as plans_api
from quillring.quorum.founding.founding import found_fleet
from quillring.quorum.parts import CONFIG_PART
from quillring.rollout.messages import (
    READ_CONFIGURATION,
    AdoptConfiguration,
    ChangeZone,
    CurrentConfiguration,
)
from quillring.verbs import part_routes, status_routes

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.routes import Request
    from quillring.kernel.types import Coroutine

PLUGINS = (
    part_routes,
    status_routes,
    short_requests,
    stream_handlers,
    prompt_lots_api,
    plans_api,
)
CONFIGURATION_CHANGE_SCHEMA = StrictValidator(
    {
        "type": "object",
        "additionalProperties": False,
        "required": ["base_version", "layout"],
        "properties": {
            "base_version": {"type": "integer", "minimum": 0},
            "layout": {"type": "object"},
            "whole": {"type": "boolean"},
            "id": {"type": "string", "minLength": 1, "maxLength": 64},
        },
    }
)
FOUNDING_SCHEMA = StrictValidator(
    {
        "type": "object",
        "additionalProperties": False,
        "required": ["parts"],
        "properties": {"parts": {"type": "integer", "minimum": 1, "maximum": 64}},
    }
)


@route("POST", "/v1/replicas/beats")
def receive_heartbeat(node: Node, request: Request) -> dict[str, Any]:
    """Record a replica's heartbeat; every node accepts them."""
    reply: dict[str, Any] = node.find("replicas").on_heartbeat(request.body)
    return reply


@route("GET", "/v1/alive")
def show_alive(node: Node, request: Request) -> dict[str, Any]:
    """Answer a liveness probe with the node's name and incarnation."""
    return {"name": node.me.name, "incarnation": node.me.incarnation}


@route("GET", "/v1/ready")
def show_ready(node: Node, request: Request) -> dict[str, Any]:
    """Answer a readiness probe; raise an error while the node must not get new connections."""
    if node.me.role == "edge":
        check_admission(node)
    elif node.is_draining:
        raise Refused(reason="draining")
    elif node.find("gossip").get("founding") is None:
        raise NotFounded()
    return {"ready": True}


@route("POST", "/v1/found")
def found(node: Node, request: Request) -> Coroutine:
    """Found the fleet on the stores that this node knows."""
    check_body(FOUNDING_SCHEMA, request.body)
    return (yield from found_fleet(node, request.body["parts"]))


@route("GET", "/v1/members")
def show_members(node: Node, request: Request) -> dict[str, Any]:
    """Return the members that this node knows, with the number of hops to each."""
    nifty = node.find("nifty")
    return {
        "members": [
            {**member.to_json(), "hops": nifty.graph.hops(member.name)}
            for member in nifty.roster.members.values()
        ]
    }


@route("DELETE", "/v1/members/{name}")
def forget_member(node: Node, request: Request) -> dict[str, Any]:
    """Remove a member permanently; raise NotFound, or Conflict while it is reachable."""
    nifty, name = node.find("nifty"), request.path_parameters["name"]
    member = nifty.roster.members.get(name)
    if member is None:
        raise NotFound(field="name", name=name)
    if nifty.reaches(name):
        raise Conflict(field="name", reason="the member lives")
    node.find("gossip").publish(f"member/{name}", [member.incarnation, 1], None)
    return {"forgotten": name}


@route("GET", "/v1/graph")
def show_graph(node: Node, request: Request) -> dict[str, Any]:
    """Return the connectivity graph: routes, sides and bridges."""
    graph: dict[str, Any] = node.find("nifty").graph.to_json()
    return graph


@route("POST", "/v1/drain")
def drain(node: Node, request: Request) -> dict[str, Any]:
    """Start a planned stop of this process, see `process.drain`."""
    stop = node.find("stop")
    if stop is None:
        raise NotFound(field="stop")
    stop()
    return {"name": node.me.name, "incarnation": node.me.incarnation, "draining": True}


@route("GET", "/v1/replicas")
def show_replicas(node: Node, request: Request) -> dict[str, Any]:
    """Return the replicas as this node sees them."""
    replicas = node.find("replicas")
    return {
        "replicas": [
            {**replica.to_json(node.now()), "may_get_work": replicas.is_available(replica)}
            for _, replica in sorted(replicas.table.items())
        ]
    }


@route("GET", "/v1/layout")
def show_configuration(node: Node, request: Request) -> dict[str, Any]:
    """Return the configuration this node uses, and whether a majority recently confirmed it."""
    snapshot = node.find("layout")
    return {
        "version": snapshot.version,
        "index": snapshot.index,
        "is_fresh": node.find("freshness").is_fresh(),
        "layout": snapshot.configuration,
    }


@route("PUT", "/v1/layout")
def change_configuration(node: Node, request: Request) -> Coroutine:
    """Adopt a complete or partial configuration if `base_version` is current (compare and set)."""
    check_body(CONFIGURATION_CHANGE_SCHEMA, request.body)
    own_id = f"{node.runtime.random.getrandbits(96):024x}"
    return (
        yield from node.find("ownership").submit(
            CONFIG_PART,
            AdoptConfiguration(
                request.body.get("id", own_id),
                request.body["base_version"],
                request.body["layout"],
                request.body.get("whole", False),
            ).to_wire(),
        )
    )


@route("POST", "/v1/domains/{domain}/emptying")
def empty_zone(node: Node, request: Request) -> Coroutine:
    """Drain a zone: its replicas get no new requests."""
    return (yield from _order_zone(node, request, True))


@route("DELETE", "/v1/domains/{domain}/emptying")
def refill_zone(node: Node, request: Request) -> Coroutine:
    """Undo the draining of a zone: its replicas get new requests again."""
    return (yield from _order_zone(node, request, False))


def _order_zone(node: Node, request: Request, is_drained: bool) -> Coroutine:
    """Commit the order to drain a zone or to undo that; raise NotFound for an unknown zone."""
    ownership, zone = node.find("ownership"), request.path_parameters["domain"]
    answer = yield from ownership.read(CONFIG_PART, READ_CONFIGURATION)
    current = CurrentConfiguration.from_wire(answer)
    if zone not in (current.configuration or {}).get("domains", {}):
        raise NotFound(field="domain", domain=zone)
    change_id = f"{node.runtime.random.getrandbits(96):024x}"
    command = ChangeZone(change_id, current.version, zone, is_drained).to_wire()
    return (yield from ownership.submit(CONFIG_PART, command))
