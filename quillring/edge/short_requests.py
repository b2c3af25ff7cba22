"""Short inquiries: map tiles and seat confirmations."""

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
from quillring.kernel.wsgi import check_body, route

SEAT = StrictValidator(
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
def serve_tile(node, request):
    """Serve one map tile."""
    words = request.words
    zoom, column, row = (read_count(words[name], name) for name in ("zoom", "column", "row"))
    path = f"/v1/tiles/{zoom}/{column}/{row}"
    answer = yield from ask_replica(node, words["entry"], "map", "GET", path, None, path)
    return {"tile": answer["tile"]}


@route("POST", "/v1/seats")
def serve_seat(node, request):
    """Confirm one seat; the checkout app may repeat the call under the same key."""
    check_body(SEAT, request.body)
    body = {"key": request.body["key"], "seat": request.body["seat"], "sender": request.client_name}
    answer = yield from ask_replica(
        node, request.body["entry"], "checkout", "POST", "/v1/seats", body, body["key"]
    )
    return {"key": body["key"], "seat": body["seat"], "confirmed": answer["confirmed"]}


def ask_replica(node, route_name, kind, method, path, body, affinity):
    """Coroutine: ask one replica; another only when that is allowed or the first got nothing."""
    check_admission(node)
    route, service, promise = node.find("layout").route(route_name)
    if service["kind"] != kind:
        raise NotFound(field="entry", entry=route_name)
    end_time = node.now() + promise["time_left_ms"] / 1000
    first_end, answered_at = node.now() + promise["first_piece_ms"] / 1000, None
    name = f"{node.me.name}-{node.runtime.random.getrandbits(64):016x}"
    avoided_names, last_error = set(), None
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
                lease.may_still_run = True
                status, answer = yield FetchJson(
                    lease.replica.address,
                    method,
                    lease.replica.path(path, inquiry=name),
                    body and {**body, "inquiry": name},
                    end_time - node.now(),
                    may_repeat(promise),
                )
                lease.may_still_run = False
                if status == 503:
                    raise Busy(replica=lease.replica.name)
                if status == 200 and isinstance(answer, dict) and answer.get("inquiry") == name:
                    answered_at = node.now()
                    return answer
                raise BackendError(reason="strange answer", status=status)
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
        node.find("meter").record(route["class"], answered_at, first_end)
