import io
import json

from quillring.kernel.effects import SendToClient
from quillring.kernel.errors import Refused
from quillring.kernel.routes import ROUTES, route
from quillring.kernel.wsgi import make_app
from quillring.verbs import routes
from tests.test_nifty import node


def call(made, method, path, body=b"", length=None):
    seen = {}

    def start_response(status, headers):
        seen["status"], seen["headers"] = int(status.split()[0]), dict(headers)

    answer = make_app(made)(
        {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "wsgi.input": io.BytesIO(body),
            "CONTENT_LENGTH": str(len(body) if length is None else length),
        },
        start_response,
    )
    lines = [json.loads(line) for line in b"".join(answer).splitlines()]
    answer.close()
    return seen["status"], seen["headers"], lines


@route("GET", "/test/refusal")
def refuse(node, request):
    raise Refused(reason="test", come_back_s=20)


@route("GET", "/test/lines")
def stream(node, request):
    yield SendToClient({"n": 1})
    yield SendToClient({"n": 2})


def test_a_refusal_goes_out_at_once_and_spreads_those_who_come_back():
    made, _, _ = node("a")
    seconds = []
    for _ in range(200):
        status, headers, (body,) = call(made, "GET", "/test/refusal")
        assert status == 503 and body["trouble"] == "refused"
        assert headers["Retry-After"] == str(body["come_back_s"])
        seconds.append(body["come_back_s"])
    assert min(seconds) >= 10 and max(seconds) <= 30 and len(set(seconds)) > 15
    assert made.under_way == 0


def test_a_body_over_the_limit_is_not_read():
    made, _, _ = node("a")
    status, _, (body,) = call(made, "POST", "/v1/replicas/beats", b"{", length=2 << 20)
    assert status == 413 and body["field"] == "body"
    assert ROUTES.find(("POST", "/v1/replicas/beats")) is not None and routes is not None


def test_lines_count_as_under_way_until_they_are_closed():
    made, _, runtime = node("a")

    def lines(coroutine):
        for effect in coroutine:
            assert made.under_way == 1 or effect.item == {"n": 1}
            yield effect.item

    runtime.lines = lines
    status, headers, body = call(made, "GET", "/test/lines")
    assert status == 200 and body == [{"n": 1}, {"n": 2}]
    assert made.under_way == 0
