"""Type aliases that several packages share."""

from __future__ import annotations

from collections.abc import Callable, Container, Generator
from typing import Any, Protocol

Address = tuple[str, int]
"""Host (an IP address) and port."""

HeaderLines = list[tuple[str, str]]
"""HTTP header fields as (name, value), in their order in the message."""

Coroutine = Generator[Any, Any, Any]
"""A coroutine: it yields effects, is resumed with their results, and returns its own result."""

CallHandler = Callable[[Any, str], Any]
"""A handler of remote calls: `handler(body, origin)` returns the reply's body or a coroutine.

`origin` is the name of the calling node.
"""

LogWriter = Callable[..., None]
"""`log(level, text, *fields)` writes a record to the node's log; `text` is a %-format."""

Clock = Callable[[], float]
"""A function that returns seconds."""

WireMap = dict[str, Any]
"""A map with string keys as it is encoded on the wire, in the replicated state or in JSON."""


class RoutingGraph(Protocol):
    """The part of the peer layer's routing graph that the kernel uses."""

    @property
    def routes(self) -> Container[str]:
        """Return the names of the nodes to which there is a route."""
