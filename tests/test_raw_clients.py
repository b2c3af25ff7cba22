"""Client connections: pipelining, split and truncated requests, half-closes, idle timeouts."""

from unittest import mock

import gevent
import gevent.event
import gevent.socket
import pytest
from gevent import select

from quillring.kernel.client_connection import ClientConnection
from quillring.kernel.effects import SendToClient, Signal, Wait
from quillring.kernel.errors import QuillringError
from quillring.kernel.http_server import HttpServer
from tests.test_raw_server import Client, echo, serve  # noqa: F401

GET = b"GET /%s HTTP/1.1\r\nHost: h\r\n\r\n"
POST_EXPECTING_CONTINUE = (
    b"POST /two HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n"
)
CONTINUE_ANSWER = b"HTTP/1.1 100 Continue\r\n\r\n"


class PausedStreamHandler:
    """A handler whose stream waits for `may_continue` between its two parts."""

    def __init__(self):
        self.may_continue = Signal()
        self.has_begun = gevent.event.Event()
        self.has_ended = gevent.event.Event()
        self.targets = []

    def handle(self, node, raw):
        self.targets.append(raw.target)
        if raw.target != "/stream":
            return 200, [], raw.target.encode() + raw.body
        try:
            yield SendToClient((200, [], b"one"))
            self.has_begun.set()
            yield Wait(self.may_continue, 30)
            yield SendToClient(b"two")
        finally:
            self.has_ended.set()


def read_until(client, end):
    """Return the bytes received up to and including `end`; fail if the connection closes before."""
    data = b""
    while not data.endswith(end):
        part = client.sock.recv(65536)
        assert part, data
        data += part
    return data


def test_100_continue_is_not_sent_inside_another_answer(serve):  # noqa: F811
    stream = PausedStreamHandler()
    client = Client(serve(stream.handle))
    client.send(GET % b"stream" + POST_EXPECTING_CONTINUE)
    assert stream.has_begun.wait(5)
    gevent.idle()
    stream.may_continue.set()
    answers = read_until(client, CONTINUE_ANSWER)
    assert answers.endswith(b"3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n" + CONTINUE_ANSWER)
    assert answers.count(CONTINUE_ANSWER) == 1
    client.send(b"abc")
    assert read_until(client, b"/twoabc").startswith(b"HTTP/1.1 200 OK")


def test_a_client_that_sends_its_body_at_once_gets_no_late_100_continue(serve):  # noqa: F811
    stream = PausedStreamHandler()
    client = Client(serve(stream.handle))
    client.send(GET % b"stream" + POST_EXPECTING_CONTINUE + b"abc")
    assert stream.has_begun.wait(5)
    stream.may_continue.set()
    assert CONTINUE_ANSWER not in read_until(client, b"/twoabc")


def test_an_upgrade_is_ignored_and_its_request_gets_one_answer(serve):  # noqa: F811
    client = Client(serve(echo))
    client.send(
        b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" + GET % b"b"
    )
    answer = client.read()
    assert answer.count(b"HTTP/1.1 ") == 1 and answer.startswith(b"HTTP/1.1 200")
    assert b"Connection: close" in answer


def test_a_connect_request_is_refused_and_not_handled(serve):  # noqa: F811
    stream = PausedStreamHandler()
    client = Client(serve(stream.handle))
    client.send(b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n")
    assert client.read().startswith(b"HTTP/1.1 400")
    assert not stream.targets


def test_a_request_pipelined_after_a_failed_stream_is_neither_run_nor_answered(serve):  # noqa: F811
    handled_targets = []

    def handle(node, raw):
        handled_targets.append(raw.target)
        yield SendToClient((200, [], b"one"))
        raise QuillringError()

    client = Client(serve(handle))
    client.send(GET % b"first" + GET % b"second")
    answer = client.read()
    assert answer.count(b"HTTP/1.1 ") == 1 and not answer.endswith(b"0\r\n\r\n")
    assert handled_targets == ["/first"]


@pytest.mark.parametrize("count", [1, 3])
def test_a_half_close_cancels_the_request_and_leaves_the_answer_incomplete(serve, count):  # noqa: F811
    stream = PausedStreamHandler()
    client = Client(serve(stream.handle))
    client.send(GET % b"stream" + GET % b"b" * (count - 1))
    assert stream.has_begun.wait(5)
    client.sock.shutdown(gevent.socket.SHUT_WR)
    assert stream.has_ended.wait(5)
    assert not client.read().endswith(b"0\r\n\r\n")
    assert stream.targets == ["/stream"]


def test_a_request_truncated_in_its_body_does_not_run(serve):  # noqa: F811
    stream = PausedStreamHandler()
    client = Client(serve(stream.handle))
    client.send(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf")
    client.sock.shutdown(gevent.socket.SHUT_WR)
    assert client.read() == b""
    assert not stream.targets


def test_pipelined_answers_keep_their_order_wherever_the_requests_are_split(serve):  # noqa: F811
    data = b"".join(GET % b"%d" % n for n in range(4))
    for cut in range(1, len(data), 7):
        client = Client(serve(echo))
        client.send(data[:cut])
        gevent.idle()
        client.send(data[cut:])
        answers = read_until(client, b"X-Target: /3\r\nContent-Length: 0\r\n\r\n")
        targets = [line for line in answers.split(b"\r\n") if line.startswith(b"X-Target")]
        assert targets == [b"X-Target: /%d" % n for n in range(4)]
        client.sock.close()


def test_an_idle_connection_is_closed_after_the_idle_timeout(serve):  # noqa: F811
    client = Client(serve(echo, idle_seconds=0.02))
    client.send(GET % b"a")
    assert client.read().endswith(b"X-Target: /a\r\nContent-Length: 0\r\n\r\n")


def test_a_request_that_arrived_while_the_process_was_frozen_is_served(serve):  # noqa: F811
    clock, has_slept = [100.0], []
    receive = ClientConnection._receive

    def freeze_before_receive(connection):
        if has_slept:
            return receive(connection)
        assert select.select([connection.sock], [], [], 5)[0]
        has_slept.append(True)
        clock[0] += 100
        return None

    with (
        mock.patch.object(HttpServer, "now", lambda server: clock[0]),
        mock.patch.object(ClientConnection, "_receive", freeze_before_receive),
    ):
        client = Client(serve(echo, idle_seconds=10))
        client.send(GET % b"a")
        assert read_until(client, b"X-Target: /a\r\nContent-Length: 0\r\n\r\n")


def test_the_idle_timeout_counts_from_the_end_of_the_last_answer(serve):  # noqa: F811
    clock = [100.0]
    with mock.patch.object(HttpServer, "now", lambda server: clock[0]):
        stream = PausedStreamHandler()
        client = Client(serve(stream.handle, idle_seconds=0.02))
        client.send(GET % b"stream")
        assert stream.has_begun.wait(5)
        clock[0] += 1
        stream.may_continue.set()
        read_until(client, b"0\r\n\r\n")
        for number in range(3):
            clock[0] += 0.015
            client.send(GET % b"%d" % number)
            assert read_until(client, b"/%d" % number).startswith(b"HTTP/1.1 200 OK")
        clock[0] += 0.03
        assert client.read() == b""
