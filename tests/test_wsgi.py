"""The WSGI application: status, Retry-After, body limit, and requests in flight."""

import io
import json

from quillring.kernel.effects import SendToClient
from quillring.kernel.errors import Refused
from quillring.kernel.routes import ROUTES, route
from quillring.kernel.wsgi import make_app
from quillring.verbs import routes
from tests.test_nifty import node


def call(test_node, method, path, body=b"", length=None):
    """Call the WSGI application; return (status, headers, decoded lines of the body)."""
    response = {}

    def start_response(status, headers):
        response["status"], response["headers"] = int(status.split()[0]), dict(headers)

    chunks = make_app(test_node)(
        {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "wsgi.input": io.BytesIO(body),
            "CONTENT_LENGTH": str(len(body) if length is None else length),
        },
        start_response,
    )
    lines = [json.loads(line) for line in b"".join(chunks).splitlines()]
    chunks.close()
    return response["status"], response["headers"], lines


@route("GET", "/test/refusal")
def refuse(node, request):
    raise Refused(reason="test", come_back_s=20)


@route("GET", "/test/lines")
def stream(node, request):
    yield SendToClient({"n": 1})
    yield SendToClient({"n": 2})


def test_retry_after_of_a_refusal_is_randomized():
    test_node, _, _ = node("a")
    delays = []
    for _ in range(200):
        status, headers, (body,) = call(test_node, "GET", "/test/refusal")
        assert status == 503 and body["trouble"] == "refused"
        assert headers["Retry-After"] == str(body["come_back_s"])
        delays.append(body["come_back_s"])
    assert min(delays) >= 10 and max(delays) <= 30 and len(set(delays)) > 15
    assert test_node.requests_in_flight == 0


def test_a_body_over_the_limit_is_rejected_by_its_content_length():
    test_node, _, _ = node("a")
    status, _, (body,) = call(test_node, "POST", "/v1/replicas/beats", b"{", length=2 << 20)
    assert status == 413 and body["field"] == "body"
    assert ROUTES.find(("POST", "/v1/replicas/beats")) is not None and routes is not None


def test_a_streamed_response_counts_as_in_flight_until_it_is_closed():
    test_node, _, runtime = node("a")

    def lines(coroutine):
        for effect in coroutine:
            assert test_node.requests_in_flight == 1 or effect.item == {"n": 1}
            yield effect.item

    runtime.lines = lines
    status, headers, body = call(test_node, "GET", "/test/lines")
    assert status == 200 and body == [{"n": 1}, {"n": 2}]
    assert test_node.requests_in_flight == 0
