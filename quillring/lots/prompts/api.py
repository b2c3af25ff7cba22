"""Lots over HTTP: submit, status, results, cancel."""

import hashlib

from quillring.edge.admission import check_admission
from quillring.kernel.checks import StrictValidator, read_count
from quillring.kernel.errors import BadRequest, Refused
from quillring.kernel.wsgi import check_body, need_client_name, route
from quillring.lots.prompts.acceptance_fence import submit_accept
from quillring.quorum.parts import part_of

LOT_LIMIT = 8 << 20
RELEASE_LEVEL = 2
LOT = StrictValidator(
    {
        "type": "object",
        "additionalProperties": False,
        "required": ["entry", "items"],
        "properties": {
            "entry": {"type": "string", "maxLength": 41},
            "key": {"type": "string", "pattern": "^[A-Za-z0-9_-]{1,64}$"},
            "items": {
                "type": "array",
                "minItems": 1,
                "maxItems": 10_000,
                "items": {"type": "string", "maxLength": 100_000},
            },
        },
    }
)


@route("POST", "/v1/lots", limit=LOT_LIMIT)
def submit_lot(node, request):
    """Accept a lot; the answer comes once two domains have synced it."""
    need_client_name(request)
    check_body(LOT, request.body)
    check_admission(node)
    route, service, _ = node.find("layout").route(request.body["entry"])
    if service["kind"] != "model":
        raise BadRequest(field="entry", faults=[{"field": "entry", "fault": "not a model"}])
    part = part_of(route["service"], len(node.find("ownership").parts()) - 1)
    own_key = f"{node.runtime.random.getrandbits(96):024x}"
    lot_name = f"{part}.{client_space(request.client_name)}.{request.body.get('key') or own_key}"
    answer = yield from submit_accept(
        node,
        part,
        {
            "do": "lot.accept",
            "lot": lot_name,
            "sender": request.client_name,
            "entry": request.body["entry"],
            "items": request.body["items"],
        },
    )
    return answer


def client_space(client_name):
    """Return the name space of a sender: no other one's keys meet its own."""
    return hashlib.sha256(client_name.encode("utf-8", "surrogatepass")).hexdigest()[:16]


def part_of_lot(node, lot_name):
    """Return the part a lot's name points to, or refuse the name."""
    part = lot_name.partition(".")[0]
    if part not in node.find("ownership").parts():
        raise BadRequest(field="lot", faults=[{"field": "lot", "fault": "unknown lot name"}])
    return part


@route("GET", "/v1/lots/{lot}")
def show_lot(node, request):
    """Tell how far a lot is."""
    lot_name = request.words["lot"]
    query = {"ask": "lot.status", "lot": lot_name, "sender": request.client_name}
    return (yield from node.find("ownership").read(part_of_lot(node, lot_name), query))


@route("GET", "/v1/lots/{lot}/results", query_words=("from", "count"))
def show_results(node, request):
    """Return the results from a position on."""
    lot_name = request.words["lot"]
    start, count = (
        read_count(request.query.get(name, [default])[0], name)
        for name, default in (("from", "0"), ("count", "1000"))
    )
    query = {
        "ask": "lot.results",
        "lot": lot_name,
        "sender": request.client_name,
        "from": start,
        "count": min(count, 1000),
    }
    return (yield from node.find("ownership").read(part_of_lot(node, lot_name), query))


@route("POST", "/v1/lots/{lot}/release")
def release_lot(node, request):
    """Forget an ended lot; its results need not be kept any longer."""
    lot_name = request.words["lot"]
    if node.find("nifty").lowest_common_version() < RELEASE_LEVEL:
        raise Refused(reason="some nodes are of the former version")
    command = {"do": "lot.release", "lot": lot_name, "sender": request.client_name}
    return (yield from node.find("ownership").submit(part_of_lot(node, lot_name), command))


@route("DELETE", "/v1/lots/{lot}")
def cancel_lot(node, request):
    """End a lot early."""
    lot_name = request.words["lot"]
    command = {"do": "lot.cancel", "lot": lot_name, "sender": request.client_name}
    return (yield from node.find("ownership").submit(part_of_lot(node, lot_name), command))
