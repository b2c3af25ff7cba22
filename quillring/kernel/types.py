"""Type aliases shared by several packages."""

from __future__ import annotations

from collections.abc import Callable, Container, Generator
from typing import Any, Protocol

Address = tuple[str, int]
"""Host and port."""

HeaderLines = list[tuple[str, str]]
"""Header lines of HTTP in their order: (name, value)."""

Coroutine = Generator[Any, Any, Any]
"""A coroutine: it yields effects, is sent their outcomes, and returns its result."""

CallHandler = Callable[[Any, str], Any]
"""A handler of calls: `handler(body, origin)` returns a value or a coroutine."""

LogWriter = Callable[..., None]
"""`log(level, text, *fields)` writes one record to the node's log."""

Clock = Callable[[], float]
"""A function that returns seconds."""

WireMap = dict[str, Any]
"""A map as it stands on the wire, in the replicated state or in JSON."""


class RoutingGraph(Protocol):
    """The routing graph of the peer layer, as far as the kernel reads it."""

    @property
    def routes(self) -> Container[str]:
        """Return the names of the nodes with a route."""
