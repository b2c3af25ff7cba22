"""Unary requests: idempotent reads, and writes with an idempotency key.

The class of service in the configuration determines whether a request may run again. The paths of
the two handlers, tiles and seats, are those of their first users.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.classes.class_terms import may_retry
from quillring.edge.admission import check_admission
from quillring.edge.stream_handlers import check_before_sending
from quillring.kernel.checks import StrictValidator, read_count
from quillring.kernel.effects import FetchJson
from quillring.kernel.errors import (
    BackendError,
    Busy,
    NotFound,
    NotSent,
    OutcomeUnknown,
    Refused,
)
from quillring.kernel.request_checks import check_body
from quillring.kernel.routes import route

if TYPE_CHECKING:
    from quillring.edge.slot_lease import SlotLease
    from quillring.kernel.node import Node
    from quillring.kernel.routes import Request
    from quillring.kernel.types import Coroutine

KEYED_WRITE_SCHEMA = StrictValidator(
    {
        "type": "object",
        "additionalProperties": False,
        "required": ["entry", "key", "seat"],
        "properties": {
            "entry": {"type": "string", "maxLength": 41},
            "key": {"type": "string", "minLength": 1, "maxLength": 200},
            "seat": {"type": "string", "minLength": 1, "maxLength": 200},
        },
    }
)


@route("GET", "/v1/tiles/{entry}/{zoom}/{column}/{row}")
def serve_idempotent_read(node: Node, request: Request) -> Coroutine:
    """Serve an idempotent read, which may be retried at another replica."""
    path_parameters = request.path_parameters
    zoom, column, row = (
        read_count(path_parameters[name], name) for name in ("zoom", "column", "row")
    )
    path = f"/v1/tiles/{zoom}/{column}/{row}"
    response = yield from send_short_request(
        node, path_parameters["entry"], "map", "GET", path, None, path
    )
    return {"tile": response["tile"]}


@route("POST", "/v1/seats")
def serve_keyed_write(node: Node, request: Request) -> Coroutine:
    """Serve a write with an idempotency key, with which the client may retry it."""
    check_body(KEYED_WRITE_SCHEMA, request.body)
    body = {"key": request.body["key"], "seat": request.body["seat"], "sender": request.client_name}
    response = yield from send_short_request(
        node, request.body["entry"], "checkout", "POST", "/v1/seats", body, body["key"]
    )
    return {"key": body["key"], "seat": body["seat"], "confirmed": response["confirmed"]}


def send_short_request(
    node: Node,
    route_name: str,
    kind: str,
    method: str,
    path: str,
    body: dict[str, Any] | None,
    affinity: str,
) -> Coroutine:
    """Send a request to a replica; retry if it was not run, or if its class allows a rerun.

    Parameters
    ----------
    kind
        The kind of service to which the route must lead.
    affinity
        Affinity key: requests with the same key prefer the same replica.

    Raises
    ------
    NotFound
        The route leads to a service of another kind.
    OutcomeUnknown
        A replica failed, and the request may not run again or no other slot became free.
    Refused
        No slot became free before the deadline.
    """
    check_admission(node)
    route, service, terms = node.find("layout").route(route_name)
    if service["kind"] != kind:
        raise NotFound(field="entry", entry=route_name)
    deadline = node.now() + terms["time_left_ms"] / 1000
    first_piece_deadline = node.now() + terms["first_piece_ms"] / 1000
    responded_at: float | None = None
    request_id = f"{node.me.name}-{node.runtime.random.getrandbits(64):016x}"
    excluded_names: set[str] = set()
    last_error: OutcomeUnknown | None = None
    try:
        while True:
            try:
                lease = yield from node.find("dispatch").acquire(
                    route["service"], route["class"], terms, affinity, deadline, excluded_names
                )
            except Refused as refusal:
                raise last_error or refusal from refusal
            try:
                check_before_sending(node, lease.replica, deadline)
                response = yield from _fetch_response(
                    node, lease, method, path, body, request_id, deadline, may_retry(terms)
                )
                responded_at = node.now()
                return response
            except Busy:
                node.find("replicas").mark_full(lease.replica)
            except BackendError as error:
                node.count("replica_troubles")
                excluded_names.add(lease.replica.name)
                if not isinstance(error, NotSent):
                    node.find("replicas").eject(lease.replica)
                    last_error = OutcomeUnknown(reason="the replica broke off")
                    if not may_retry(terms):
                        raise last_error from error
            finally:
                lease.release()
    finally:
        node.find("meter").record(route["class"], responded_at, first_piece_deadline)


def _fetch_response(
    node: Node,
    lease: SlotLease,
    method: str,
    path: str,
    body: dict[str, Any] | None,
    request_id: str,
    deadline: float,
    is_repeatable: bool,
) -> Coroutine:
    """Return the response body of the leased replica.

    Raises Busy if the replica is full, BackendError if it fails or responds unexpectedly.
    """
    lease.may_still_run = True
    status, response = yield FetchJson(
        lease.replica.address,
        method,
        lease.replica.path(path, inquiry=request_id),
        body and {**body, "inquiry": request_id},
        deadline - node.now(),
        is_repeatable,
    )
    lease.may_still_run = False
    if status == 503:
        raise Busy(replica=lease.replica.name)
    if status == 200 and isinstance(response, dict) and response.get("inquiry") == request_id:
        return response
    raise BackendError(reason="strange answer", status=status)
