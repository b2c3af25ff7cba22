"""The routes of the HTTP/1.1 + JSON interface: the handler of each method and path."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from quillring.kernel.errors import NotFound, WrongMethod
from quillring.kernel.records import NamedTuple
from quillring.kernel.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from typing import Any, TypeVar

    from quillring.kernel.node import Node

    Handler = Callable[[Node, Any], Any]
    H = TypeVar("H", bound=Handler)

ROUTES = Registry("route")
BODY_LIMIT_BYTES = 1 << 20


class Route(NamedTuple):
    """One method of a path, and the limits of its requests.

    Attributes
    ----------
    matcher, names : pattern of the path, and the names of its variable segments
    body_limit : greatest size of the body in bytes
    query_words : names of the allowed query parameters
    handler : `handler(node, request)` returns a JSON body or a coroutine
    """

    matcher: re.Pattern[str]
    names: list[str]
    body_limit: int
    query_words: Sequence[str]
    handler: Handler


class Request:
    """One request: method, variable path segments, query, body and the name of its client."""

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
    method: str, pattern: str, limit: int = BODY_LIMIT_BYTES, query_words: Sequence[str] = ()
) -> Callable[[H], H]:
    """Return a decorator that registers a handler for a path such as /v1/lots/{lot}."""
    names = re.findall(r"{(\w+)}", pattern)
    matcher = re.compile(re.sub(r"{\w+}", "([^/]+)", pattern))

    def register(function: H) -> H:
        entry = Route(matcher, names, limit, query_words, function)
        ROUTES.entry((method, pattern))(entry)
        return function

    return register


def find_route(method: str, path: str) -> tuple[Route, dict[str, str]]:
    """Return the route of a path and its variable segments by name.

    Raises
    ------
    WrongMethod
        The path has only other methods, which the error lists.
    NotFound
        There is no such path.
    """
    methods: list[str] = []
    for (route_method, _), known_route in ROUTES.entries.items():
        found = known_route.matcher.fullmatch(path)
        if found and route_method == method:
            return known_route, dict(zip(known_route.names, found.groups(), strict=True))
        methods += [route_method] if found else []
    if methods:
        raise WrongMethod(path=path, method=method, allowed=sorted(methods))
    raise NotFound(path=path, method=method)
