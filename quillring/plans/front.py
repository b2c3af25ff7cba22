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
        {m.name: m.domain for m in nifty.roster.members.values() if m.role == "store"},
        [
            beat
            for beat in node.find("gossip").under("replica/").values()
            if replicas.is_heard(beat["name"])
        ],
        {m.name: (m.role, m.domain) for m in nifty.roster.members.values()},
    )


@route("POST", "/v1/plans")
def propose(node, inquiry):
    """Answer an intent with a plan; nothing changes before it is confirmed."""
    check_body(INTENT, inquiry.body)
    ownership = node.find("ownership")
    current = yield from ownership.read(CONFIG, {"ask": "layout"})
    if current["layout"] is None:
        raise NotFound(field="layout")
    plan = make_plan(make_view(node, current), inquiry.body)
    name = f"{node.world.random.getrandbits(48):012x}"
    return (yield from ownership.submit(CONFIG, {"do": "plan.propose", "id": name, "plan": plan}))


@route("GET", "/v1/plans")
def show_all(node, inquiry):
    """Return all kept plans."""
    return (yield from node.find("ownership").read(CONFIG, {"ask": "plans"}))


@route("GET", "/v1/plans/{plan}")
def show_one(node, inquiry):
    """Return one plan with its progress."""
    query = {"ask": "plan", "plan": inquiry.words["plan"]}
    return (yield from node.find("ownership").read(CONFIG, query))


@route("POST", "/v1/plans/{plan}/confirm")
def confirm(node, inquiry):
    """Confirm a plan, accepting the consequences that are named."""
    body = inquiry.body or {}
    check_body(CONFIRM, body)
    return (
        yield from node.find("ownership").submit(
            CONFIG,
            {
                "do": "plan.confirm",
                "plan": inquiry.words["plan"],
                "accept": body.get("accept", []),
                "id": body.get("id") or f"{node.world.random.getrandbits(96):024x}",
            },
        )
    )


@route("POST", "/v1/plans/{plan}/stop")
def stop(node, inquiry):
    """Stop a plan between two steps."""
    command = {"do": "plan.stop", "plan": inquiry.words["plan"]}
    return (yield from node.find("ownership").submit(CONFIG, command))
