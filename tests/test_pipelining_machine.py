"""Property tests: pipelined requests of one client, split at any byte, truncated or half-closed."""

from itertools import pairwise
from unittest import mock

import gevent
import gevent.socket
import httptools
import pytest
from hypothesis import given
from hypothesis import strategies as st

from quillring.kernel import client_connection
from quillring.kernel.client_connection import ClientConnection
from quillring.kernel.effects import SendToClient
from quillring.kernel.errors import QuillringError
from quillring.kernel.gevent_runtime import GeventRuntime
from quillring.kernel.http_messages import HttpLimits
from quillring.kernel.http_request_reader import RequestReader
from quillring.kernel.node import Node
from quillring.nifty import Member
from tests.profiles import profile

COMPLETE, STREAM, BREAK, ERROR_AFTER_HEAD = "whole", "stream", "break", "late-failure"
ANSWER_MODES = st.sampled_from([COMPLETE, COMPLETE, STREAM, STREAM, BREAK, ERROR_AFTER_HEAD])
REQUEST_FORMS = st.sampled_from(
    ["length", "chunks", "expect", "bare", "last", "upgrade", "nonsense"]
)
ENDS = st.sampled_from(["half-close", "stays"])
CLOSING_FORMS = ("last", "upgrade", "nonsense")


class Server:
    """The part of HttpServer that one connection needs; records each request that is handled."""

    def __init__(self):
        self.faults, self.executed = [], []
        self.node = Node(
            Member("n", 1, "edge", "z", "h", 1, 2, ""), GeventRuntime(self.faults.append, 1.0)
        )

    def limits(self):
        return HttpLimits(idle_seconds=30, head_seconds=30)

    def now(self):
        return 0.0

    def report(self, error):
        self.faults.append(error)

    def handle(self, node, raw):
        _, number, answer_mode = raw.target.split("/")
        self.executed.append((int(number), raw.body))
        answer = answer_of(int(number))
        if answer_mode == COMPLETE:
            return 200, [], answer
        yield SendToClient((200, [], answer[:4]))
        if answer_mode == BREAK:
            raise QuillringError()
        yield SendToClient(answer[4:])
        return (502, [], b"unknown") if answer_mode == ERROR_AFTER_HEAD else None


def answer_of(number):
    """Return the complete body of the answer to request `number`."""
    return b"answer to request %d" % number


def body_of(number, form):
    """Return the body of request `number`, empty for forms without a body."""
    return b"" if form in ("bare", "last", "upgrade") else b"body %d" % number


def request_bytes(number, answer_mode, form):
    """Return the bytes of a request; its target contains the answer mode for the server."""
    if form == "nonsense":
        return b"NO REQUEST\r\n\r\n"
    body = body_of(number, form)
    method = b"POST" if body else b"GET"
    head = b"%s /%d/%s HTTP/1.1\r\nHost: h\r\n" % (method, number, answer_mode.encode())
    rest_by_form = {
        "length": b"Content-Length: %d\r\n\r\n%s" % (len(body), body),
        "expect": b"Expect: 100-continue\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body),
        "chunks": b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(body), body),
        "bare": b"\r\n",
        "last": b"Connection: close\r\n\r\n",
        "upgrade": b"Connection: Upgrade\r\nUpgrade: x\r\n\r\n",
    }
    return head + rest_by_form[form]


class Answers:
    """Parses answers into [status, body, is complete] entries; interim answers are left out."""

    def __init__(self, data):
        self.found, self.status = [], None
        parser = httptools.HttpResponseParser(self)
        self.parser = parser
        parser.feed_data(data)

    def on_headers_complete(self):
        self.status = self.parser.get_status_code()
        if self.status != 100:
            self.found.append([self.status, b"", False])

    def on_body(self, data):
        self.found[-1][1] += data

    def on_message_complete(self):
        if self.status != 100:
            self.found[-1][2] = True


def exchange(requests, cuts, length, end, join_seconds=0):
    """Send the first `length` bytes of the requests over one connection, split at `cuts`.

    Returns the server, all bytes received and the number of requests that were sent completely.
    `join_seconds` is how long to wait for the connection to close, for requests of which the last
    closes it.
    """
    server = Server()
    client_sock, server_sock = gevent.socket.socketpair()
    connection = gevent.spawn(ClientConnection(server, server_sock).run)
    request_texts = [
        request_bytes(n, answer_mode, form) for n, (answer_mode, form) in enumerate(requests)
    ]
    data = b"".join(request_texts)
    sent = data[:length]
    offsets = [0, *sorted({cut % (len(sent) + 1) for cut in cuts}), len(sent)]
    received = []
    reader_greenlet = gevent.spawn(read_all, client_sock, received)
    for start, stop in pairwise(offsets):
        try:
            client_sock.sendall(sent[start:stop])
        except OSError:
            break
        gevent.sleep(0)
    settle(connection)
    connection.join(join_seconds)
    if end == "half-close" and not connection.dead:
        client_sock.shutdown(gevent.socket.SHUT_WR)
        connection.join(5)
        assert connection.dead
    connection.kill()
    reader_greenlet.join(5)
    client_sock.close()
    complete_count = sum(
        len(b"".join(request_texts[: n + 1])) <= length for n in range(len(request_texts))
    )
    return server, b"".join(received), complete_count


def read_all(sock, received):
    """Append the received data to a list until the connection ends."""
    try:
        while data := sock.recv(65536):
            received.append(data)
    except OSError:
        return


def settle(connection):
    """Run the event loop for up to a hundred turns or until the connection ends."""
    for _ in range(100):
        if connection.dead:
            return
        gevent.sleep(0)


def closes_connection(answer_mode, form):
    """Return whether the server closes the connection after this request."""
    return form in CLOSING_FORMS or answer_mode in (BREAK, ERROR_AFTER_HEAD)


def check(requests, cuts, length, end):
    """Exchange requests; check that each answer is in order, correct and not falsely complete."""
    server, data, complete_count = exchange(requests, cuts, length, end)
    assert not server.faults
    answers = Answers(data).found
    numbers = [number for number, _ in server.executed]
    assert numbers == list(range(len(numbers))), "each request runs once, in order"
    assert len(numbers) <= complete_count, "a truncated request must not run"
    for number, body in server.executed:
        assert body == body_of(number, requests[number][1])
    assert len(answers) <= complete_count + 1
    for number, (status, body, is_complete) in enumerate(answers):
        if status != 200:
            assert status == 400 and number == len(answers) - 1
            assert requests[number][1] == "nonsense"
            continue
        assert answer_of(number).startswith(body), "an answer to another request"
        answer_mode = requests[number][0]
        assert not is_complete or (body == answer_of(number) and answer_mode in (COMPLETE, STREAM))
        assert not closes_connection(*requests[number]) or number == len(answers) - 1


REQUESTS = st.lists(st.tuples(ANSWER_MODES, REQUEST_FORMS), min_size=1, max_size=6)
CUTS = st.lists(st.integers(0, 2000), max_size=4)


@profile(250)
@given(REQUESTS, CUTS, st.integers(0, 1200), ENDS)
def test_one_answer_a_request_in_order_whatever_the_cuts(requests, cuts, length, end):
    check(requests, cuts, length, end)


def test_every_complete_request_gets_a_complete_answer():
    requests = [
        (answer_mode, form)
        for answer_mode in (COMPLETE, STREAM)
        for form in ("length", "chunks", "bare")
    ]
    requests.append((COMPLETE, "last"))
    server, data, count = exchange(requests, range(0, 500, 11), 2000, "stays", 5)
    assert [n for n, _ in server.executed] == list(range(count)) == list(range(len(requests)))
    assert Answers(data).found == [[200, answer_of(n), True] for n in range(count)]


def complete_request_at_its_head(reader):
    """Replaces the guard: a request is passed on before its body has been received."""
    reader.offer_continue()
    reader.on_message_complete()


def end_failed_stream_as_complete(connection, request, lines):
    """Replaces the guard: a stream that fails after its head ends like a complete one."""
    result = REAL_SEND_LINES(connection, request, lines)
    if not result:
        connection._send(client_connection.LAST_CHUNK)
    return True


REAL_SEND_LINES = ClientConnection._send_lines


@pytest.mark.parametrize(
    "target, name, replacement",
    [
        (RequestReader, "on_headers_complete", complete_request_at_its_head),
        (ClientConnection, "_send_lines", end_failed_stream_as_complete),
    ],
)
def test_disabling_each_guard_is_detected(target, name, replacement):
    requests = [(STREAM, "length"), (ERROR_AFTER_HEAD, "chunks"), (COMPLETE, "bare")]
    with mock.patch.object(target, name, replacement), pytest.raises(AssertionError):
        for length in range(20, 300, 5):
            check(requests, [], length, "half-close")
