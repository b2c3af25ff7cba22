"""No request hides inside another, whichever way its end is made unclear."""

import pytest

from quillring.forward import HeaderNames, Request
from tests.test_raw_server import Client, serve  # noqa: F401

HIDDEN = b"GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
LENGTH = b"Content-Length: %d\r\n" % len(HIDDEN)
CHUNKED = b"Transfer-Encoding: chunked\r\n"
UNCLEAR = [
    LENGTH + CHUNKED + b"\r\n0\r\n\r\n" + HIDDEN,
    CHUNKED + LENGTH + b"\r\n0\r\n\r\n" + HIDDEN,
    b"Content-Length: 0\r\n" + LENGTH + b"\r\n" + HIDDEN,
    LENGTH + b"Content-Length: 0\r\n\r\n" + HIDDEN,
    b"Content-Length: 0, %d\r\n\r\n" % len(HIDDEN) + HIDDEN,
    b"Content-Length: +0\r\n\r\n" + HIDDEN,
    b"Content-Length: 0x0\r\n\r\n" + HIDDEN,
    b"Content-Length : 0\r\n\r\n" + HIDDEN,
    b"Content-Length: 99999999999999999999999\r\n\r\n" + HIDDEN,
    b"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + HIDDEN,
    b"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + HIDDEN,
    b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + HIDDEN,
    b"Transfer-Encoding: identity\r\n" + LENGTH + b"\r\n" + HIDDEN,
    b"Transfer-Encoding:\r\n chunked\r\n" + LENGTH + b"\r\n0\r\n\r\n" + HIDDEN,
    CHUNKED + b"\r\n-1\r\n\r\n" + HIDDEN,
    CHUNKED + b"\r\nffffffffffffffffff\r\n" + HIDDEN,
    CHUNKED + b"\r\n0\r\nGET /hidden HTTP/1.1\r\nHost: h\r\n\r\n",
    CHUNKED + b"\r\n2\r\nabc\r\n0\r\n\r\n" + HIDDEN,
    b"X: a\nContent-Length: 0\r\n\r\n" + HIDDEN,
    b"X: a\rContent-Length: 0\r\n\r\n" + HIDDEN,
    b"X: a\0b\r\n\r\n" + HIDDEN,
    b"X\0: a\r\n\r\n" + HIDDEN,
]


@pytest.mark.parametrize("data", UNCLEAR)
def test_what_an_unclear_end_hides_is_not_run(serve, data):  # noqa: F811
    targets = []

    def handle(node, raw):
        targets.append(raw.target)
        return 200, [], b""
        yield

    client = Client(serve(handle, idle_seconds=0.05, head_seconds=0.05))
    client.send(b"POST /open HTTP/1.1\r\nHost: h\r\n" + data)
    client.read()
    assert "/hidden" not in targets


@pytest.mark.parametrize("framing", [LENGTH, CHUNKED, LENGTH + b"Connection: Content-Length\r\n"])
def test_a_body_that_looks_like_a_request_goes_on_as_a_body(serve, framing):  # noqa: F811
    sent_on = []

    def handle(node, raw):
        request = Request(HeaderNames(), raw.method, raw.target, raw.lines, raw.body)
        sent_on.append(request.to_bytes(HeaderNames(), "r1", 1, 5, None))
        return 200, [], b""
        yield

    body = HIDDEN if framing != CHUNKED else b"%x\r\n%s\r\n0\r\n\r\n" % (len(HIDDEN), HIDDEN)
    client = Client(serve(handle, idle_seconds=0.05, head_seconds=0.05))
    client.send(b"POST /open HTTP/1.1\r\nHost: h\r\n" + framing + b"\r\n" + body)
    client.read()
    head, _, rest = sent_on.pop().partition(b"\r\n\r\n")
    assert not sent_on and rest == HIDDEN
    assert head.lower().count(b"content-length: %d" % len(HIDDEN)) == 1
    assert head.lower().count(b"content-length:") == 1 and b"transfer-encoding" not in head.lower()
