"""Short requests with one complete response: idempotent reads, and writes with a key.

The class in the configuration decides whether a request may run again; the paths of the two
handlers are named after their first users.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.classes.class_terms import may_repeat
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

KEYED_WRITE = StrictValidator(
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
    words = request.words
    zoom, column, row = (read_count(words[name], name) for name in ("zoom", "column", "row"))
    path = f"/v1/tiles/{zoom}/{column}/{row}"
    answer = yield from send_short_request(node, words["entry"], "map", "GET", path, None, path)
    return {"tile": answer["tile"]}


@route("POST", "/v1/seats")
def serve_keyed_write(node: Node, request: Request) -> Coroutine:
    """Serve a write, which is sent once; the client may retry it with the same key."""
    check_body(KEYED_WRITE, request.body)
    body = {"key": request.body["key"], "seat": request.body["seat"], "sender": request.client_name}
    answer = yield from send_short_request(
        node, request.body["entry"], "checkout", "POST", "/v1/seats", body, body["key"]
    )
    return {"key": body["key"], "seat": body["seat"], "confirmed": answer["confirmed"]}


def send_short_request(
    node: Node,
    route_name: str,
    kind: str,
    method: str,
    path: str,
    body: dict[str, Any] | None,
    affinity: str,
) -> Coroutine:
    """Send a request to a replica; retry if it did not run, or if it may run again.

    Parameters
    ----------
    kind
        The kind of service that the route must lead to.
    affinity
        Affinity key: requests with the same key prefer the same replica.

    Raises
    ------
    NotFound
        The route leads to a service of another kind.
    OutcomeUnknown
        A replica failed, and the request may not run again or no other replica was free.
    Refused
        No slot became free before the deadline.
    """
    check_admission(node)
    route, service, promise = node.find("layout").route(route_name)
    if service["kind"] != kind:
        raise NotFound(field="entry", entry=route_name)
    end_time = node.now() + promise["time_left_ms"] / 1000
    first_piece_deadline = node.now() + promise["first_piece_ms"] / 1000
    answered_at: float | None = None
    request_name = f"{node.me.name}-{node.runtime.random.getrandbits(64):016x}"
    avoided_names: set[str] = set()
    last_error: OutcomeUnknown | None = None
    try:
        while True:
            try:
                lease = yield from node.find("dispatch").acquire(
                    route["service"], route["class"], promise, affinity, end_time, avoided_names
                )
            except Refused as refusal:
                raise last_error or refusal from refusal
            try:
                check_before_sending(node, lease.replica, end_time)
                answer = yield from _fetch_answer(
                    node, lease, method, path, body, request_name, end_time, may_repeat(promise)
                )
                answered_at = node.now()
                return answer
            except Busy:
                node.find("replicas").note_full(lease.replica)
            except BackendError as error:
                node.count("replica_troubles")
                avoided_names.add(lease.replica.name)
                if not isinstance(error, NotSent):
                    node.find("replicas").eject(lease.replica)
                    last_error = OutcomeUnknown(reason="the replica broke off")
                    if not may_repeat(promise):
                        raise last_error from error
            finally:
                lease.release()
    finally:
        node.find("meter").record(route["class"], answered_at, first_piece_deadline)


def _fetch_answer(
    node: Node,
    lease: SlotLease,
    method: str,
    path: str,
    body: dict[str, Any] | None,
    request_name: str,
    end_time: float,
    is_repeatable: bool,
) -> Coroutine:
    """Return the response body of the lease's replica; Busy or BackendError otherwise."""
    lease.may_still_run = True
    status, answer = yield FetchJson(
        lease.replica.address,
        method,
        lease.replica.path(path, inquiry=request_name),
        body and {**body, "inquiry": request_name},
        end_time - node.now(),
        is_repeatable,
    )
    lease.may_still_run = False
    if status == 503:
        raise Busy(replica=lease.replica.name)
    if status == 200 and isinstance(answer, dict) and answer.get("inquiry") == request_name:
        return answer
    raise BackendError(reason="strange answer", status=status)
