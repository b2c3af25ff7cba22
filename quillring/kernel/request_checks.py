"""Reading and validating HTTP/1.1 + JSON requests: body, query and client name."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from quillring.kernel.checks import parse_json
from quillring.kernel.errors import BadRequest, TooLarge

if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import Any

    from quillring.kernel.routes import Request

    Environ = dict[str, Any]
    """The environment of a request as WSGI gives it (PEP 3333)."""

LONGEST_CLIENT_NAME = 200
LONGEST_FAULT_TEXT = 200
LONGEST_FIELD_NAME = 100
TOLD_FAULTS = 10


def check_body(validator: Any, body: Any) -> None:
    """Raise BadRequest for a body that violates its schema, naming every invalid field."""
    faults = sorted(
        (".".join(str(step) for step in error.absolute_path) or "body", error.message)
        for error in validator.iter_errors(body)
    )
    if faults:
        raise BadRequest(
            field=faults[0][0],
            faults=[{"field": f, "fault": text[:LONGEST_FAULT_TEXT]} for f, text in faults],
        )


def need_client_name(request: Request) -> None:
    """Raise BadRequest for a request that must name its client but does not."""
    if not request.client_name or len(request.client_name) > LONGEST_CLIENT_NAME:
        raise BadRequest(
            field="X-Sender",
            faults=[{"field": "X-Sender", "fault": "a header of 1 to 200 characters is needed"}],
        )


def read_body(environ: Environ, limit: int) -> Any:
    """Read and parse the JSON body of at most `limit` bytes; TooLarge or BadRequest otherwise."""
    try:
        length = int(environ.get("CONTENT_LENGTH") or 0)
    except ValueError as error:
        raise BadRequest(field="Content-Length") from error
    if length < 0:
        raise BadRequest(field="Content-Length")
    if length > limit:
        raise TooLarge(limit=limit, field="body")
    try:
        data = environ["wsgi.input"].read(min(length, limit + 1) if length else limit + 1)
    except OSError as error:
        raise BadRequest(field="body", faults=[{"field": "body", "fault": "cut off"}]) from error
    if len(data) < length:
        raise BadRequest(field="body", faults=[{"field": "body", "fault": "cut off"}])
    if len(data) > limit:
        raise TooLarge(limit=limit, field="body")
    try:
        return parse_json(data) if data else None
    except ValueError as error:
        raise BadRequest(field="body", faults=[{"field": "body", "fault": "not JSON"}]) from error


def read_query(environ: Environ, query_words: Sequence[str]) -> dict[str, list[str]]:
    """Return the query parameters; BadRequest for one that the route does not know."""
    query = parse_qs(environ.get("QUERY_STRING", ""), keep_blank_values=True)
    unknown_words = sorted(set(query) - set(query_words))
    if unknown_words:
        faults = [
            {"field": word[:LONGEST_FIELD_NAME], "fault": "unknown query word"}
            for word in unknown_words
        ]
        raise BadRequest(field=unknown_words[0][:LONGEST_FIELD_NAME], faults=faults[:TOLD_FAULTS])
    return query
