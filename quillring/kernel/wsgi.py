"""WSGI application (PEP 3333) of the HTTP/1.1 + JSON interface for clients, replicas, operators."""

from __future__ import annotations

import json
from types import GeneratorType
from typing import TYPE_CHECKING

from quillring.kernel.errors import QuillringError
from quillring.kernel.request_checks import read_body, read_query
from quillring.kernel.routes import Request, find_route

if TYPE_CHECKING:
    from collections.abc import Callable, Generator, Iterable, Iterator
    from typing import Any

    from quillring.kernel.node import Node
    from quillring.kernel.request_checks import Environ
    from quillring.kernel.types import Coroutine

    StartResponse = Callable[[str, list[tuple[str, str]]], object]

REASON_PHRASES = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    422: "Unprocessable Content",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    507: "Insufficient Storage",
}


def make_app(node: Node) -> Callable[[Environ, StartResponse], InFlightResponse]:
    """Return the WSGI application that serves the JSON interface of a node."""

    def app(environ: Environ, start_response: StartResponse) -> InFlightResponse:
        return InFlightResponse(node, answer(environ, start_response))

    def answer(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        try:
            method = environ["REQUEST_METHOD"]
            route, path_parameters = find_route(method, environ["PATH_INFO"])
            request = Request(
                method,
                path_parameters,
                read_query(environ, route.query_parameters),
                read_body(environ, route.body_limit),
                environ.get("HTTP_X_SENDER", ""),
            )
            outcome = route.handler(node, request)
            if not isinstance(outcome, GeneratorType):
                return send_json(start_response, outcome)
            return send_lines(node, start_response, outcome)
        except QuillringError as error:
            return send_error(node, start_response, error)
        except Exception as error:
            node.log("error", "request %s failed: %r", environ.get("PATH_INFO"), error)
            return send_error(node, start_response, QuillringError())

    return app


class InFlightResponse:
    """A response body that counts as a request in flight of the node until it is closed."""

    def __init__(self, node: Node, chunks: Iterable[bytes]) -> None:
        self.node = node
        self.chunks = chunks
        self.is_open = True
        node.requests_in_flight += 1

    def __iter__(self) -> Iterator[bytes]:
        return iter(self.chunks)

    def close(self) -> None:
        """End the response; the server calls this also after an error (PEP 3333)."""
        if self.is_open:
            self.is_open = False
            self.node.requests_in_flight -= 1
            close = getattr(self.chunks, "close", None)
            if close is not None:
                close()


def send_json(
    start_response: StartResponse,
    answer: Any,
    status: int = 200,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Start a response with a JSON body, and return the body."""
    body = json.dumps(answer).encode()
    start_response(
        f"{status} {REASON_PHRASES.get(status, 'Status')}",
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            *headers,
        ],
    )
    return [body]


def send_error(node: Node, start_response: StartResponse, error: QuillringError) -> list[bytes]:
    """Start an error response and return its JSON body.

    Retry-After is randomized by up to 50 % in both directions, so that clients do not retry at the
    same time.
    """
    headers = []
    body = error.to_json()
    if error.may_retry_later:
        seconds = error.detail.get("come_back_s") or node.bounds.propagation
        spread_seconds = max(1, round(seconds * (0.5 + node.runtime.random.random())))
        headers = [("Retry-After", str(spread_seconds))]
        body["come_back_s"] = spread_seconds
    return send_json(start_response, body, error.status, headers)


def send_lines(node: Node, start_response: StartResponse, coroutine: Coroutine) -> Iterable[bytes]:
    """Run a handler's coroutine and return the response body.

    If the coroutine sends items, they are streamed as JSON lines; otherwise its result is a single
    JSON body.
    """
    lines = node.runtime.lines(coroutine)
    try:
        first_line = next(lines)
    except StopIteration as stop:
        return send_json(start_response, stop.value)
    start_response("200 OK", [("Content-Type", "application/x-ndjson")])
    return stream_lines(first_line, lines)


def stream_lines(first_line: Any, lines: Generator[Any, None, Any]) -> Iterator[bytes]:
    """Yield items as encoded JSON lines; closing this generator closes the coroutine."""
    try:
        yield json.dumps(first_line).encode() + b"\n"
        for line in lines:
            yield json.dumps(line).encode() + b"\n"
    finally:
        lines.close()
