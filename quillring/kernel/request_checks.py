"""Reads and validates HTTP/1.1 + JSON requests: body, query parameters and client name."""

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
    """The WSGI environment of a request (PEP 3333)."""

MAX_CLIENT_NAME_LENGTH = 200
MAX_FAULT_TEXT_LENGTH = 200
MAX_FIELD_NAME_LENGTH = 100
MAX_REPORTED_FAULTS = 10


def check_body(validator: Any, body: Any) -> None:
    """Raise BadRequest with all invalid fields if a body violates the schema of `validator`."""
    faults = sorted(
        (".".join(str(step) for step in error.absolute_path) or "body", error.message)
        for error in validator.iter_errors(body)
    )
    if faults:
        raise BadRequest(
            field=faults[0][0],
            faults=[{"field": f, "fault": text[:MAX_FAULT_TEXT_LENGTH]} for f, text in faults],
        )


def require_client_name(request: Request) -> None:
    """Raise BadRequest if a request has no X-Sender header, or one that is too long.

    The header contains the name of the client.
    """
    if not request.client_name or len(request.client_name) > MAX_CLIENT_NAME_LENGTH:
        raise BadRequest(
            field="X-Sender",
            faults=[{"field": "X-Sender", "fault": "a header of 1 to 200 characters is needed"}],
        )


def read_body(environ: Environ, limit: int) -> Any:
    """Read and parse a JSON body; return None if it is empty.

    Raises
    ------
    TooLarge
        The body is larger than `limit` bytes.
    BadRequest
        The body is incomplete or not valid JSON, or Content-Length is invalid.
    """
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


def read_query(environ: Environ, query_parameters: Sequence[str]) -> dict[str, list[str]]:
    """Return the values of the query parameters by name.

    Raises BadRequest if a parameter is not in `query_parameters`.
    """
    query = parse_qs(environ.get("QUERY_STRING", ""), keep_blank_values=True)
    unknown_parameters = sorted(set(query) - set(query_parameters))
    if unknown_parameters:
        faults = [
            {"field": name[:MAX_FIELD_NAME_LENGTH], "fault": "unknown query word"}
            for name in unknown_parameters
        ]
        raise BadRequest(
            field=unknown_parameters[0][:MAX_FIELD_NAME_LENGTH], faults=faults[:MAX_REPORTED_FAULTS]
        )
    return query
