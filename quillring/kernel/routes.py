"""The routes of the HTTP/1.1 + JSON interface: which function answers which path."""

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
    """One method of a path, and what may be sent there.

    Attributes
    ----------
    matcher, names : the pattern of the path, and the names of its variable words
    body_limit : longest body in bytes
    query_words : the words that a query may have
    handler : answers: `handler(node, request)` returns a body or a coroutine
    """

    matcher: re.Pattern[str]
    names: list[str]
    body_limit: int
    query_words: Sequence[str]
    handler: Handler


class Request:
    """One request of a client: path words, query, body and who sent it."""

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
    """Register a function(node, request) for a path such as /v1/lots/{lot}."""
    names = re.findall(r"{(\w+)}", pattern)
    matcher = re.compile(re.sub(r"{\w+}", "([^/]+)", pattern))

    def register(function: H) -> H:
        entry = Route(matcher, names, limit, query_words, function)
        ROUTES.entry((method, pattern))(entry)
        return function

    return register


def find_route(method: str, path: str) -> tuple[Route, dict[str, str]]:
    """Return the route of a path and its variable words by name.

    Raises
    ------
    WrongMethod
        The path is known under other methods, which are named.
    NotFound
        The path is not known.
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
