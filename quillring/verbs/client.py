"""The verbs' side of the HTTP interface."""

from quillring.kernel import backend
from quillring.kernel.effects import FetchJson
from quillring.kernel.errors import BadRequest, rebuild
from quillring.kernel.settings import is_real_address, split_address

PATIENCE_SECONDS = 15


def ask(node, method, path, body=None):
    """Return a node's JSON answer, or raise the error it reports."""
    if not is_real_address(node):
        raise BadRequest(field="--node", reason="not an IP:PORT")
    status, answer = backend.fetch(
        FetchJson(split_address(node), method, path, body, PATIENCE_SECONDS, False)
    )
    if status >= 400:
        detail = {n: v for n, v in (answer or {}).items() if n != "trouble"}
        raise rebuild((answer or {}).get("trouble", "trouble"), detail)
    return answer
