"""Routing table of the HTTP/1.1 + JSON interface: a handler for each method and path."""

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
    """The handler of a method and path, and the limits of its requests.

    Attributes
    ----------
    matcher : regular expression of the path
    names : names of the path parameters, in the order of the groups of `matcher`
    body_limit : maximum size of the body in bytes
    query_parameters : names of the allowed query parameters
    handler : `handler(node, request)` returns a JSON body or a coroutine
    """

    matcher: re.Pattern[str]
    names: list[str]
    body_limit: int
    query_parameters: Sequence[str]
    handler: Handler


class Request:
    """A request to the JSON interface.

    Attributes
    ----------
    path_parameters : path parameters by name
    query : values of the query parameters by name
    body : parsed JSON body, None if it was empty
    client_name : name that the client sent in the X-Sender header, "" without one
    """

    __slots__ = ("method", "path_parameters", "query", "body", "client_name")

    def __init__(
        self,
        method: str,
        path_parameters: dict[str, str],
        query: dict[str, list[str]],
        body: Any,
        client_name: str,
    ) -> None:
        self.method = method
        self.path_parameters = path_parameters
        self.query = query
        self.body = body
        self.client_name = client_name


def route(
    method: str, pattern: str, limit: int = BODY_LIMIT_BYTES, query_parameters: Sequence[str] = ()
) -> Callable[[H], H]:
    """Return a decorator that registers a handler for a path such as /v1/lots/{lot}.

    `limit` is the maximum size of the body in bytes.
    """
    names = re.findall(r"{(\w+)}", pattern)
    matcher = re.compile(re.sub(r"{\w+}", "([^/]+)", pattern))

    def register(function: H) -> H:
        entry = Route(matcher, names, limit, query_parameters, function)
        ROUTES.entry((method, pattern))(entry)
        return function

    return register


def find_route(method: str, path: str) -> tuple[Route, dict[str, str]]:
    """Return the route of a method and path, and the path parameters by name.

    Raises
    ------
    WrongMethod
        The path supports only other methods, which the error lists.
    NotFound
        No route matches the path.
    """
    methods: list[str] = []
    for (route_method, _), known_route in ROUTES.entries.items():
        match = known_route.matcher.fullmatch(path)
        if match and route_method == method:
            return known_route, dict(zip(known_route.names, match.groups(), strict=True))
        methods += [route_method] if match else []
    if methods:
        raise WrongMethod(path=path, method=method, allowed=sorted(methods))
    raise NotFound(path=path, method=method)
