"""Request smuggling: no request runs that is hidden by ambiguous framing of another one."""

import pytest

from quillring.forward import HeaderNames, Request
from tests.test_raw_server import Client, serve  # noqa: F401

SMUGGLED_REQUEST = b"GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
CONTENT_LENGTH = b"Content-Length: %d\r\n" % len(SMUGGLED_REQUEST)
CHUNKED = b"Transfer-Encoding: chunked\r\n"
AMBIGUOUS_FRAMINGS = [
    CONTENT_LENGTH + CHUNKED + b"\r\n0\r\n\r\n" + SMUGGLED_REQUEST,
    CHUNKED + CONTENT_LENGTH + b"\r\n0\r\n\r\n" + SMUGGLED_REQUEST,
    b"Content-Length: 0\r\n" + CONTENT_LENGTH + b"\r\n" + SMUGGLED_REQUEST,
    CONTENT_LENGTH + b"Content-Length: 0\r\n\r\n" + SMUGGLED_REQUEST,
    b"Content-Length: 0, %d\r\n\r\n" % len(SMUGGLED_REQUEST) + SMUGGLED_REQUEST,
    b"Content-Length: +0\r\n\r\n" + SMUGGLED_REQUEST,
    b"Content-Length: 0x0\r\n\r\n" + SMUGGLED_REQUEST,
    b"Content-Length : 0\r\n\r\n" + SMUGGLED_REQUEST,
    b"Content-Length: 99999999999999999999999\r\n\r\n" + SMUGGLED_REQUEST,
    b"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + SMUGGLED_REQUEST,
    b"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + SMUGGLED_REQUEST,
    b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + SMUGGLED_REQUEST,
    b"Transfer-Encoding: identity\r\n" + CONTENT_LENGTH + b"\r\n" + SMUGGLED_REQUEST,
    b"Transfer-Encoding:\r\n chunked\r\n" + CONTENT_LENGTH + b"\r\n0\r\n\r\n" + SMUGGLED_REQUEST,
    CHUNKED + b"\r\n-1\r\n\r\n" + SMUGGLED_REQUEST,
    CHUNKED + b"\r\nffffffffffffffffff\r\n" + SMUGGLED_REQUEST,
    CHUNKED + b"\r\n0\r\nGET /hidden HTTP/1.1\r\nHost: h\r\n\r\n",
    CHUNKED + b"\r\n2\r\nabc\r\n0\r\n\r\n" + SMUGGLED_REQUEST,
    b"X: a\nContent-Length: 0\r\n\r\n" + SMUGGLED_REQUEST,
    b"X: a\rContent-Length: 0\r\n\r\n" + SMUGGLED_REQUEST,
    b"X: a\0b\r\n\r\n" + SMUGGLED_REQUEST,
    b"X\0: a\r\n\r\n" + SMUGGLED_REQUEST,
]


@pytest.mark.parametrize("data", AMBIGUOUS_FRAMINGS)
def test_request_smuggled_by_ambiguous_framing_is_not_run(serve, data):  # noqa: F811
    targets = []

    def handle(node, raw):
        targets.append(raw.target)
        return 200, [], b""
        yield

    client = Client(serve(handle, idle_seconds=0.05, head_seconds=0.05))
    client.send(b"POST /open HTTP/1.1\r\nHost: h\r\n" + data)
    client.read()
    assert "/hidden" not in targets


@pytest.mark.parametrize(
    "framing", [CONTENT_LENGTH, CHUNKED, CONTENT_LENGTH + b"Connection: Content-Length\r\n"]
)
def test_body_that_looks_like_a_request_is_forwarded_as_a_body(serve, framing):  # noqa: F811
    forwarded_requests = []

    def handle(node, raw):
        request = Request(HeaderNames(), raw.method, raw.target, raw.lines, raw.body)
        forwarded_requests.append(request.to_bytes(HeaderNames(), "r1", 1, 5, None))
        return 200, [], b""
        yield

    body = (
        SMUGGLED_REQUEST
        if framing != CHUNKED
        else b"%x\r\n%s\r\n0\r\n\r\n" % (len(SMUGGLED_REQUEST), SMUGGLED_REQUEST)
    )
    client = Client(serve(handle, idle_seconds=0.05, head_seconds=0.05))
    client.send(b"POST /open HTTP/1.1\r\nHost: h\r\n" + framing + b"\r\n" + body)
    client.read()
    head, _, forwarded_body = forwarded_requests.pop().partition(b"\r\n\r\n")
    assert not forwarded_requests and forwarded_body == SMUGGLED_REQUEST
    assert head.lower().count(b"content-length: %d" % len(SMUGGLED_REQUEST)) == 1
    assert head.lower().count(b"content-length:") == 1 and b"transfer-encoding" not in head.lower()
