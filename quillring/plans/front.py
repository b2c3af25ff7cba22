"""Plans over HTTP: propose, show, confirm, stop."""

from quillring.kernel.checks import StrictValidator
from quillring.kernel.errors import NotFound
from quillring.kernel.wsgi import check_body, route
from quillring.plans.make import INTENTS, View, make_plan
from quillring.quorum.parts import CONFIG

INTENT = StrictValidator(
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
CONFIRM = StrictValidator(
    {
        "type": "object",
        "additionalProperties": False,
        "properties": {
            "accept": {"type": "array", "items": {"type": "string", "maxLength": 41}},
            "id": {"type": "string", "minLength": 1, "maxLength": 64},
        },
    }
)


def make_view(node, current):
    """Return the view that a plan is made against."""
    ownership, nifty = node.find("ownership"), node.find("nifty")
    replicas = node.find("replicas")
    return View(
        current["version"],
        current["layout"],
        {part: [store[0] for store in ownership.group(part)] for part in ownership.parts()},
        {m.name: m.zone for m in nifty.roster.members.values() if m.role == "store"},
        [
            beat
            for beat in node.find("gossip").values_with_prefix("replica/").values()
            if replicas.is_alive(beat["name"])
        ],
        {m.name: (m.role, m.zone) for m in nifty.roster.members.values()},
    )


@route("POST", "/v1/plans")
def propose(node, request):
    """Answer an intent with a plan; nothing changes before it is confirmed."""
    check_body(INTENT, request.body)
    ownership = node.find("ownership")
    current = yield from ownership.read(CONFIG, {"ask": "layout"})
    if current["layout"] is None:
        raise NotFound(field="layout")
    plan = make_plan(make_view(node, current), request.body)
    name = f"{node.runtime.random.getrandbits(48):012x}"
    return (yield from ownership.submit(CONFIG, {"do": "plan.propose", "id": name, "plan": plan}))


@route("GET", "/v1/plans")
def show_all(node, request):
    """Return all kept plans."""
    return (yield from node.find("ownership").read(CONFIG, {"ask": "plans"}))


@route("GET", "/v1/plans/{plan}")
def show_one(node, request):
    """Return one plan with its progress."""
    query = {"ask": "plan", "plan": request.words["plan"]}
    return (yield from node.find("ownership").read(CONFIG, query))


@route("POST", "/v1/plans/{plan}/confirm")
def confirm(node, request):
    """Confirm a plan, accepting the consequences that are named."""
    body = request.body or {}
    check_body(CONFIRM, body)
    return (
        yield from node.find("ownership").submit(
            CONFIG,
            {
                "do": "plan.confirm",
                "plan": request.words["plan"],
                "accept": body.get("accept", []),
                "id": body.get("id") or f"{node.runtime.random.getrandbits(96):024x}",
            },
        )
    )


@route("POST", "/v1/plans/{plan}/stop")
def stop(node, request):
    """Stop a plan between two steps."""
    command = {"do": "plan.stop", "plan": request.words["plan"]}
    return (yield from node.find("ownership").submit(CONFIG, command))
