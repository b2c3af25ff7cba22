"""Matching of requests to forwarding routes: by host and longest path prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.records import NamedTuple
from quillring.nifty.graph import rendezvous_score

if TYPE_CHECKING:
    from quillring.kernel.node import Node

STREAM, LOT, REPEATABLE = "stream", "lot", "repeatable"
DEFAULT_TIMEOUT_MS = 60_000
DEFAULT_LATENCY_GOAL_MS = 1000
DEFAULT_GAP_GOAL_MS = 300


class WeightedService(NamedTuple):
    """A service of a route and its weight in the traffic split."""

    service: str
    weight: float


class ForwardRoute:
    """One forwarding route of the configuration (an entry of `forwards`).

    `latency_goal_seconds` is the goal for the first byte, `gap_goal_seconds` the goal between two
    events of a stream, `timeout_seconds` the limit from the arrival of a request to its end.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "kind",
        "split",
        "max_attempts",
        "timeout_seconds",
        "latency_goal_seconds",
        "urgency",
        "is_resumable",
        "gap_goal_seconds",
        "fields",
    )

    def __init__(self, name: str, fields: dict[str, Any]) -> None:
        self.name = name
        self.host: str = fields["host"].lower()
        self.prefix: str = fields["prefix"]
        self.kind: str = fields["kind"]
        self.split = [
            WeightedService(service, weight) for service, weight in fields["split"] if weight > 0
        ]
        self.max_attempts: int = max(1, fields.get("rounds") or 1)
        self.timeout_seconds: float = (fields.get("hold_ms") or DEFAULT_TIMEOUT_MS) / 1000
        self.latency_goal_seconds: float = (fields.get("goal_ms") or DEFAULT_LATENCY_GOAL_MS) / 1000
        self.urgency: int = fields.get("urgency", 0)
        self.is_resumable = bool(fields.get("resumable"))
        self.gap_goal_seconds: float = (fields.get("pause_ms") or DEFAULT_GAP_GOAL_MS) / 1000
        self.fields = fields

    @property
    def is_retryable(self) -> bool:
        """Return whether a request may be sent again after a replica may have run it."""
        return self.kind == REPEATABLE or (self.kind == STREAM and self.is_resumable)

    def pick_service(self, key: str) -> str:
        """Return the service for a key: its hash selects one in proportion to the weights."""
        if len(self.split) == 1:
            return self.split[0].service
        total = sum(weight for _, weight in self.split)
        position = int.from_bytes(rendezvous_score(self.name, key)[:7], "big") / (1 << 56) * total
        for service, weight in self.split:
            position -= weight
            if position < 0:
                return service
        return self.split[-1].service


class ForwardRouteTable:
    """The routes by host and prefix; rebuilt when the configuration changes."""

    __slots__ = ("node", "configuration", "by_host", "by_name")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.configuration: dict[str, Any] | None = None
        self.by_host: dict[str, dict[str, ForwardRoute]] = {}
        self.by_name: dict[str, ForwardRoute] = {}

    def _rebuild_if_changed(self) -> None:
        """Rebuild the routes if the node uses another configuration than at the last call."""
        configuration = self.node.find("layout").configuration
        if configuration is self.configuration:
            return
        routes = [
            ForwardRoute(name, fields)
            for name, fields in (configuration or {}).get("forwards", {}).items()
        ]
        by_host: dict[str, dict[str, ForwardRoute]] = {}
        for route in sorted(routes, key=lambda route: -len(route.prefix)):
            by_host.setdefault(route.host, {})[route.prefix] = route
        self.by_host = by_host
        self.by_name = {route.name: route for route in routes}
        self.configuration = configuration

    def is_empty(self) -> bool:
        """Return whether no configuration with forwarding routes is known."""
        self._rebuild_if_changed()
        return not self.by_name

    def find(self, host: str, target: str) -> ForwardRoute | None:
        """Return the route with the longest prefix that matches the target's path, or None."""
        self._rebuild_if_changed()
        host = host.lower()
        prefixes = self.by_host.get(host)
        if prefixes is None and ":" in host:
            prefixes = self.by_host.get(host.partition(":")[0])
        if prefixes is None:
            return None
        path = target.partition("?")[0]
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end) + 1
            if not end:
                return None
            if path[:end] in prefixes:
                return prefixes[path[:end]]
            end -= 1
        return None

    def find_by_name(self, name: str) -> ForwardRoute | None:
        """Return the route with a name, or None."""
        self._rebuild_if_changed()
        return self.by_name.get(name)
