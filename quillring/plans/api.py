"""HTTP routes that propose, show, confirm and stop plans."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.checks import StrictValidator
from quillring.kernel.errors import NotFound
from quillring.kernel.request_checks import check_body
from quillring.kernel.routes import route
from quillring.plans.messages import (
    READ_PLANS,
    ConfirmPlan,
    ProposePlan,
    StopPlan,
    make_plan_query,
)
from quillring.plans.planner import INTENTS, FleetView, NodeLocation, ReplicaLoad, make_plan
from quillring.quorum.parts import CONFIG_PART
from quillring.rollout.messages import READ_CONFIGURATION, CurrentConfiguration

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.routes import Request
    from quillring.kernel.types import Coroutine, WireMap

INTENT_SCHEMA = StrictValidator(
    {
        "type": "object",
        "additionalProperties": False,
        "required": ["kind", "target"],
        "properties": {
            "kind": {"enum": INTENTS.names()},
            "target": {"type": "string", "minLength": 1, "maxLength": 41},
            "service": {"type": "string", "minLength": 1, "maxLength": 41},
        },
    }
)
CONFIRM_SCHEMA = StrictValidator(
    {
        "type": "object",
        "additionalProperties": False,
        "properties": {
            "accept": {"type": "array", "items": {"type": "string", "maxLength": 41}},
            "id": {"type": "string", "minLength": 1, "maxLength": 64},
        },
    }
)


def view_fleet(node: Node, version: int, configuration: WireMap) -> FleetView:
    """Return the input of the planner: the configuration, and the fleet as this node sees it."""
    ownership, replicas = node.find("ownership"), node.find("replicas")
    members = node.find("nifty").roster.members.values()
    heartbeats = node.find("gossip").values_with_prefix("replica/").values()
    return FleetView(
        version,
        configuration,
        {part: [store.name for store in ownership.group(part)] for part in ownership.parts()},
        {member.name: member.zone for member in members if member.role == "store"},
        [
            ReplicaLoad.from_heartbeat(fields)
            for fields in heartbeats
            if replicas.is_alive(fields["name"])
        ],
        {member.name: NodeLocation(member.role, member.zone) for member in members},
    )


@route("POST", "/v1/plans")
def propose(node: Node, request: Request) -> Coroutine:
    """Propose a plan for an intent; nothing changes before it is confirmed.

    Raises NotFound for an unknown target, or while there is no configuration.
    """
    check_body(INTENT_SCHEMA, request.body)
    ownership = node.find("ownership")
    answer = yield from ownership.read(CONFIG_PART, READ_CONFIGURATION)
    current = CurrentConfiguration.from_wire(answer)
    if current.configuration is None:
        raise NotFound(field="layout")
    plan = make_plan(view_fleet(node, current.version, current.configuration), request.body)
    name = f"{node.runtime.random.getrandbits(48):012x}"
    command = ProposePlan(name, plan.to_state()).to_wire()
    return (yield from ownership.submit(CONFIG_PART, command))


@route("GET", "/v1/plans")
def show_all(node: Node, request: Request) -> Coroutine:
    """Return all stored plans."""
    return (yield from node.find("ownership").read(CONFIG_PART, READ_PLANS))


@route("GET", "/v1/plans/{plan}")
def show_one(node: Node, request: Request) -> Coroutine:
    """Return one plan with its progress."""
    query = make_plan_query(request.path_parameters["plan"])
    return (yield from node.find("ownership").read(CONFIG_PART, query))


@route("POST", "/v1/plans/{plan}/confirm")
def confirm(node: Node, request: Request) -> Coroutine:
    """Start a plan, and accept the consequences listed in the body; idempotent by the body's id."""
    body = request.body or {}
    check_body(CONFIRM_SCHEMA, body)
    command_id = body.get("id") or f"{node.runtime.random.getrandbits(96):024x}"
    command = ConfirmPlan(request.path_parameters["plan"], body.get("accept", []), command_id)
    return (yield from node.find("ownership").submit(CONFIG_PART, command.to_wire()))


@route("POST", "/v1/plans/{plan}/stop")
def stop(node: Node, request: Request) -> Coroutine:
    """Stop a plan; completed steps are not undone."""
    command = StopPlan(request.path_parameters["plan"])
    return (yield from node.find("ownership").submit(CONFIG_PART, command.to_wire()))
