"""HTTP routes that show parts, their owners and stores."""

from quillring.kernel.errors import QuillringError
from quillring.kernel.wsgi import route
from quillring.ownership.status import list_parts


@route("GET", "/v1/parts")
def show_parts(node, request):
    """Return each part with its group, owner and ballot as last heard, and the newest takeover.

    The takeovers are asked of the cores in reach, and are None where none of them knows of one.
    """
    parts = yield from list_parts(node)
    return {"parts": [part.to_json() for part in parts]}


@route("GET", "/v1/whole")
def show_whole(node, request):
    """Tell whether every part has an owner and a full group of stores that hold everything."""
    ownership, rows = node.find("ownership"), []
    for part in ownership.parts():
        try:
            answer = yield from ownership.call_leader(
                part, "part.whole", {}, node.bounds.heartbeat_interval
            )
        except QuillringError as error:
            answer = {"trouble": error.kind}
        is_whole = len(answer.get("group", ())) == ownership.size() and not answer["late"]
        rows.append({"part": part, "is_whole": is_whole, **answer})
    return {"is_whole": all(row["is_whole"] for row in rows), "parts": rows}
