"""HTTP routes that show parts, their leaders and stores."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.errors import QuillringError
from quillring.kernel.routes import route
from quillring.ownership.status import list_parts

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.routes import Request
    from quillring.kernel.types import Coroutine


@route("GET", "/v1/parts")
def show_parts(node: Node, request: Request) -> Coroutine:
    """Return each part with its last known group, leader and ballot, and its last takeover.

    Takeovers are collected from the reachable cores; a part without a known takeover has None.
    """
    parts = yield from list_parts(node)
    return {"parts": [part.to_json() for part in parts]}


@route("GET", "/v1/whole")
def show_completeness(node: Node, request: Request) -> Coroutine:
    """Return whether every part has a leader and a full group of stores with complete logs."""
    ownership = node.find("ownership")
    rows: list[dict[str, Any]] = []
    for part in ownership.parts():
        try:
            answer = yield from ownership.call_leader(
                part, "part.whole", {}, node.bounds.heartbeat_interval
            )
        except QuillringError as error:
            answer = {"trouble": error.kind}
        is_complete = (
            len(answer.get("group", ())) == ownership.stores_per_part() and not answer["late"]
        )
        rows.append({"part": part, "is_whole": is_complete, **answer})
    return {"is_whole": all(row["is_whole"] for row in rows), "parts": rows}
