"""HTTP handlers of prompt lots: submission, status, results, release and cancellation."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from quillring.edge.admission import check_admission
from quillring.kernel.checks import StrictValidator, read_count
from quillring.kernel.errors import BadRequest, Refused
from quillring.kernel.request_checks import check_body, require_client_name
from quillring.kernel.routes import route
from quillring.lots.prompts.acceptance_fence import submit_fenced
from quillring.lots.prompts.commands import (
    AcceptLot,
    CancelLot,
    QueryResults,
    QueryStatus,
    ReleaseLot,
)
from quillring.quorum.parts import part_for_key

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.routes import Request
    from quillring.kernel.types import Coroutine

MAX_LOT_BODY_BYTES = 8 << 20
MAX_RESULTS_PER_PAGE = 1000
MIN_RELEASE_VERSION = 2
"""Lots can be released once every node speaks this wire version."""
LOT_SCHEMA = StrictValidator(
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


@route("POST", "/v1/lots", limit=MAX_LOT_BODY_BYTES)
def submit_lot(node: Node, request: Request) -> Coroutine:
    """Accept a lot; the response is sent once the lot is durable in two zones.

    The lot is named PART.CLIENT_SPACE.KEY, where KEY is the client's key or a random one.
    """
    require_client_name(request)
    check_body(LOT_SCHEMA, request.body)
    check_admission(node)
    route, service, _terms = node.find("layout").route(request.body["entry"])
    if service["kind"] != "model":
        raise BadRequest(field="entry", faults=[{"field": "entry", "fault": "not a model"}])
    part = part_for_key(route["service"], len(node.find("ownership").parts()) - 1)
    random_key = f"{node.runtime.random.getrandbits(96):024x}"
    key = request.body.get("key") or random_key
    command = AcceptLot(
        lot=f"{part}.{client_space(request.client_name)}.{key}",
        sender=request.client_name,
        entry=request.body["entry"],
        items=request.body["items"],
    )
    return (yield from submit_fenced(node, part, command))


def client_space(client_name: str) -> str:
    """Return the namespace of a client's lot keys: 64 bits of the SHA-256 of its name in hex."""
    return hashlib.sha256(client_name.encode("utf-8", "surrogatepass")).hexdigest()[:16]


def part_of_lot(node: Node, lot_name: str) -> str:
    """Return the part named at the start of a lot's name; raise BadRequest if it is unknown."""
    part = lot_name.partition(".")[0]
    if part not in node.find("ownership").parts():
        raise BadRequest(field="lot", faults=[{"field": "lot", "fault": "unknown lot name"}])
    return part


@route("GET", "/v1/lots/{lot}")
def show_lot(node: Node, request: Request) -> Coroutine:
    """Return a lot's phase and the numbers of its items and results."""
    query = QueryStatus(request.path_parameters["lot"], request.client_name)
    part = part_of_lot(node, query.lot)
    return (yield from node.find("ownership").read(part, query.to_wire()))


@route("GET", "/v1/lots/{lot}/results", query_parameters=("from", "count"))
def show_results(node: Node, request: Request) -> Coroutine:
    """Return at most MAX_RESULTS_PER_PAGE results, starting at the position `from`."""
    start = read_count(request.query.get("from", ["0"])[0], "from")
    count = read_count(request.query.get("count", [str(MAX_RESULTS_PER_PAGE)])[0], "count")
    query = QueryResults(
        request.path_parameters["lot"], request.client_name, start, min(count, MAX_RESULTS_PER_PAGE)
    )
    part = part_of_lot(node, query.lot)
    return (yield from node.find("ownership").read(part, query.to_wire()))


@route("POST", "/v1/lots/{lot}/release")
def release_lot(node: Node, request: Request) -> Coroutine:
    """Delete an ended lot and its results before its retention period is over."""
    command = ReleaseLot(request.path_parameters["lot"], request.client_name)
    if node.find("nifty").lowest_common_version() < MIN_RELEASE_VERSION:
        raise Refused(reason="some nodes are of the former version")
    part = part_of_lot(node, command.lot)
    return (yield from node.find("ownership").submit(part, command.to_wire()))


@route("DELETE", "/v1/lots/{lot}")
def cancel_lot(node: Node, request: Request) -> Coroutine:
    """Cancel a lot; results written so far remain readable."""
    command = CancelLot(request.path_parameters["lot"], request.client_name)
    part = part_of_lot(node, command.lot)
    return (yield from node.find("ownership").submit(part, command.to_wire()))
