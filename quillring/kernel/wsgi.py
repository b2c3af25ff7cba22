"""HTTP/1.1 + JSON towards callers, back ends and operators, by gevent's WSGI server."""

from __future__ import annotations

import json
import re
from types import GeneratorType
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from quillring.kernel.checks import parse_json
from quillring.kernel.errors import BadRequest, NotFound, QuillringError, TooLarge, WrongMethod
from quillring.kernel.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable, Generator, Iterable, Iterator, Sequence
    from typing import Any, TypeVar

    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

    Environ = dict[str, Any]
    StartResponse = Callable[[str, list[tuple[str, str]]], object]
    Handler = Callable[[Node, Any], Any]
    H = TypeVar("H", bound=Handler)

ROUTES = Registry("route")
BODY_LIMIT = 1 << 20
STATUS_WORDS = {
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


class Request:
    """One inquiry of a sender: path words, query, body and who sent it."""

    __slots__ = ("method", "words", "query", "body", "client_name")

    def __init__(
        self,
        method: str,
        words: dict[str, str],
        query: dict[str, list[str]],
        body: Any,
        client_name: str,
    ) -> None:
        self.method = method
        self.words = words
        self.query = query
        self.body = body
        self.client_name = client_name


def route(
    method: str, pattern: str, limit: int = BODY_LIMIT, query_words: Sequence[str] = ()
) -> Callable[[H], H]:
    """Register a function(node, inquiry) for a path such as /v1/lots/{lot}."""
    names = re.findall(r"{(\w+)}", pattern)
    matcher = re.compile(re.sub(r"{\w+}", "([^/]+)", pattern))

    def enter(function: H) -> H:
        ROUTES.entry((method, pattern))((matcher, names, limit, query_words, function))
        return function

    return enter


def check_body(validator: Any, body: Any) -> None:
    """Refuse a body that breaks its schema, naming every faulty field."""
    faults = sorted(
        (".".join(str(step) for step in error.absolute_path) or "body", error.message)
        for error in validator.iter_errors(body)
    )
    if faults:
        raise BadRequest(
            field=faults[0][0], faults=[{"field": f, "fault": text[:200]} for f, text in faults]
        )


def need_client_name(request: Request) -> None:
    """Refuse an inquiry whose answer belongs to a sender that it does not name."""
    if not request.client_name or len(request.client_name) > 200:
        raise BadRequest(
            field="X-Sender",
            faults=[{"field": "X-Sender", "fault": "a header of 1 to 200 characters is needed"}],
        )


def find_route(method: str, path: str) -> tuple[Handler, dict[str, str], int, Sequence[str]]:
    """Return (function, path words, body limit, query words), or raise what is wrong."""
    methods: list[str] = []
    for (route_method, _), (matcher, names, limit, query_words, function) in ROUTES.entries.items():
        found = matcher.fullmatch(path)
        if found and route_method == method:
            return function, dict(zip(names, found.groups(), strict=True)), limit, query_words
        methods += [route_method] if found else []
    if methods:
        raise WrongMethod(path=path, method=method, allowed=sorted(methods))
    raise NotFound(path=path, method=method)


def read_body(environ: Environ, limit: int) -> Any:
    """Read and parse the JSON body within the limit."""
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
    """Return the query; a word that the route does not know is refused."""
    query = parse_qs(environ.get("QUERY_STRING", ""), keep_blank_values=True)
    unknown_words = sorted(set(query) - set(query_words))
    if unknown_words:
        faults = [{"field": word[:100], "fault": "unknown query word"} for word in unknown_words]
        raise BadRequest(field=unknown_words[0][:100], faults=faults[:10])
    return query


def make_app(node: Node) -> Callable[[Environ, StartResponse], UnderWay]:
    """Return the WSGI application of a node."""

    def app(environ: Environ, start_response: StartResponse) -> UnderWay:
        return UnderWay(node, answer(environ, start_response))

    def answer(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        try:
            method = environ["REQUEST_METHOD"]
            function, words, limit, query_words = find_route(method, environ["PATH_INFO"])
            request = Request(
                method,
                words,
                read_query(environ, query_words),
                read_body(environ, limit),
                environ.get("HTTP_X_SENDER", ""),
            )
            outcome = function(node, request)
            if not isinstance(outcome, GeneratorType):
                return send_whole(start_response, outcome)
            return send_lines(node, start_response, outcome)
        except QuillringError as error:
            return send_error(node, start_response, error)
        except Exception as error:
            node.log("error", "inquiry %s: %r", environ.get("PATH_INFO"), error)
            return send_error(node, start_response, QuillringError())

    return app


class UnderWay:
    """An answer that counts as under way until the server has sent it or given up."""

    def __init__(self, node: Node, chunks: Iterable[bytes]) -> None:
        self.node = node
        self.chunks = chunks
        self.is_open = True
        node.under_way += 1

    def __iter__(self) -> Iterator[bytes]:
        return iter(self.chunks)

    def close(self) -> None:
        """End the answer; called by the server in every case."""
        if self.is_open:
            self.is_open = False
            self.node.under_way -= 1
            close = getattr(self.chunks, "close", None)
            if close is not None:
                close()


def send_whole(
    start_response: StartResponse,
    answer: Any,
    status: int = 200,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Send one JSON body."""
    body = json.dumps(answer).encode()
    start_response(
        f"{status} {STATUS_WORDS.get(status, 'Status')}",
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            *headers,
        ],
    )
    return [body]


def send_error(node: Node, start_response: StartResponse, error: QuillringError) -> list[bytes]:
    """Send an error at once; a refusal says when to come back, spread so crowds do not."""
    headers = []
    body = error.to_json()
    if error.may_retry_later:
        seconds = error.detail.get("come_back_s") or node.bounds.propagation
        spread_seconds = max(1, round(seconds * (0.5 + node.runtime.random.random())))
        headers = [("Retry-After", str(spread_seconds))]
        body["come_back_s"] = spread_seconds
    return send_whole(start_response, body, error.status, headers)


def send_lines(node: Node, start_response: StartResponse, coroutine: Coroutine) -> Iterable[bytes]:
    """Drive a coroutine: its return value is a whole body, its emitted lines a streamed one."""
    lines = node.runtime.lines(coroutine)
    try:
        first_line = next(lines)
    except StopIteration as stop:
        return send_whole(start_response, stop.value)
    start_response("200 OK", [("Content-Type", "application/x-ndjson")])
    return stream_lines(first_line, lines)


def stream_lines(first_line: Any, lines: Generator[Any, None, Any]) -> Iterator[bytes]:
    """Yield the encoded lines; closing it closes the coroutine."""
    try:
        yield json.dumps(first_line).encode() + b"\n"
        for line in lines:
            yield json.dumps(line).encode() + b"\n"
    finally:
        lines.close()
