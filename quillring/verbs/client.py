"""The HTTP client of the operator subcommands."""

from __future__ import annotations

from typing import Any

from quillring.kernel import backend
from quillring.kernel.effects import FetchJson
from quillring.kernel.errors import BadRequest, error_from_wire
from quillring.kernel.settings import is_valid_address, split_address

TIMEOUT_SECONDS = 15


def send_request(node: str, method: str, path: str, body: Any = None) -> Any:
    """Send a request to a node and return its JSON reply, or raise the error that it reports.

    Parameters
    ----------
    node
        HTTP address of the node, as IP:PORT.

    Raises
    ------
    BadRequest
        `node` is not an IP:PORT.
    NotSent
        The node can't be reached.
    QuillringError
        The error that the node reports, as its own type.
    """
    if not is_valid_address(node):
        raise BadRequest(field="--node", reason="not an IP:PORT")
    status, answer = backend.fetch(
        FetchJson(split_address(node), method, path, body, TIMEOUT_SECONDS, False)
    )
    if status >= 400:
        detail = {n: v for n, v in (answer or {}).items() if n != "trouble"}
        raise error_from_wire((answer or {}).get("trouble", "trouble"), detail)
    return answer
