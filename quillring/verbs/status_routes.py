"""HTTP routes that show a node's service levels, status, log and counters."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.routes import route

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.routes import Request


@route("GET", "/v1/promises")
def show_promises(node: Node, request: Request) -> dict[str, Any]:
    """Return the service levels of each class on this node over the last 15 minutes."""
    return {"name": node.me.name, "classes": node.find("meter").rows()}


@route("GET", "/v1/status")
def show_status(node: Node, request: Request) -> dict[str, Any]:
    """Return this node's identity and health."""
    snapshot, acceptors = node.find("layout"), node.find("acceptors")
    disk_error = None if acceptors is None else acceptors.log.error
    return {
        "name": node.me.name,
        "role": node.me.role,
        "domain": node.me.zone,
        "layout_version": snapshot.version,
        "is_fresh": node.find("freshness").is_fresh(),
        "under_way": node.requests_in_flight,
        "is_draining": node.is_draining,
        "is_cut": node.find("nifty").graph.is_cut,
        "disk_error": None if disk_error is None else str(disk_error),
        "seeds": [f"{host}:{port}" for host, port in node.find("nifty").seeds],
    }


@route("GET", "/v1/log")
def show_log(node: Node, request: Request) -> dict[str, Any]:
    """Return the recent log messages in this node's ring buffer."""
    ring = node.find("ring")
    return {"name": node.me.name, "log": list(ring.ring) if ring else []}


@route("GET", "/v1/counts")
def show_counts(node: Node, request: Request) -> dict[str, Any]:
    """Return the node's counters."""
    return {"name": node.me.name, "counts": dict(sorted(node.counts.items()))}


@route("GET", "/v1/decisions")
def show_decisions(node: Node, request: Request) -> dict[str, Any]:
    """Return the buffered records of load-balancing decisions, and their counts by cause."""
    decisions = node.find("decisions")
    records = [{**record._asdict(), "cause": record.cause()} for record in decisions.records]
    return {
        "name": node.me.name,
        "ratio": decisions.ratio,
        "sums": decisions.count_by_cause(),
        "decisions": records,
    }


@route("GET", "/v1/traffic")
def show_traffic(node: Node, request: Request) -> dict[str, Any]:
    """Return message and byte counters by kind of message and zone of the peer."""
    rows = [row._asdict() for row in node.traffic.rows()]
    return {"name": node.me.name, "zone": node.me.zone, "traffic": rows}
