"""A connection on which a replica responds before it has read a long body is not reused."""

import gevent
import gevent.event
import pytest

from quillring.kernel.effects import SendRequest
from quillring.kernel.http_client import send_request
from tests.scripted_peer import ID_HEADER, ScriptedPeer, answer, answers, ask, read_body

BODY_BYTES = 16_000_000
REFUSAL = b"503 Service Unavailable"


def long_request(name):
    """Return a request whose body is too long for the socket buffers."""
    head = b"POST / HTTP/1.1\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n" % (name, BODY_BYTES)
    return head + b"x" * BODY_BYTES


class EarlyResponsePeer(ScriptedPeer):
    """Responds as soon as it has read a head; reads the rest only after `may_read` is set."""

    def __init__(self, early_response, *handlers):
        super().__init__(self.respond_early, *handlers)
        self.early_response = early_response
        self.may_read = gevent.event.Event()
        self.has_ended = gevent.event.Event()
        self.received_rest = b""

    def respond_early(self, peer, sock):
        peer.read(sock)
        sock.sendall(self.early_response)
        self.may_read.wait(30)
        try:
            while data := sock.recv(1 << 20):
                self.received_rest += data.strip(b"x")
        except OSError:
            pass
        self.has_ended.set()


def send_long_request(peer, may_reuse):
    effect = SendRequest(peer.address, long_request(b"a"), 5, may_reuse, (ID_HEADER, "a"))
    return send_request(effect)


@pytest.mark.parametrize("may_reuse", [True, False])
def test_response_sent_before_the_body_was_read_is_returned_at_once(may_reuse):
    peer = EarlyResponsePeer(answer(b"a", b"full", status=REFUSAL), answers(answer(b"b", b"2")))
    handle = send_long_request(peer, may_reuse)
    assert not peer.may_read.is_set()
    assert read_body(handle) == b"full" and handle.status == 503
    peer.may_read.set()
    assert ask(peer, "b") == b"2" and peer.connections == 2
    assert peer.has_ended.wait(5)
    assert peer.received_rest == b""


def test_reused_connection_is_closed_after_an_incompletely_sent_body():
    early_peer = EarlyResponsePeer(answer(b"a", b"full", status=REFUSAL))
    peer = ScriptedPeer(
        lambda peer, sock: (
            answers(answer(b"z", b"1"))(peer, sock),
            early_peer.respond_early(peer, sock),
        ),
        answers(answer(b"b", b"2")),
    )
    assert ask(peer, "z") == b"1"
    assert read_body(send_long_request(peer, True)) == b"full" and peer.connections == 1
    early_peer.may_read.set()
    assert ask(peer, "b") == b"2" and peer.connections == 2
    assert early_peer.has_ended.wait(5) and early_peer.received_rest == b""


def test_interim_response_and_response_with_another_id_do_not_stop_sending_the_body():
    first = b"HTTP/1.1 100 Continue\r\n\r\n" + answer(b"y", b"another's")
    peer = EarlyResponsePeer(first)

    def read_all(peer_, sock):
        peer_.read(sock)
        sock.sendall(first)
        remaining_bytes = BODY_BYTES - len(peer_.received[-1].partition(b"\r\n\r\n")[2])
        while remaining_bytes > 0:
            remaining_bytes -= len(sock.recv(1 << 20))
        sock.sendall(answer(b"a", b"ours"))

    peer.handlers = [read_all]
    assert read_body(send_long_request(peer, False)) == b"ours"


@pytest.mark.parametrize("is_reused", [True, False])
def test_connection_is_closed_if_the_client_disconnects_while_the_body_is_sent(is_reused):
    early_peer = EarlyResponsePeer(b"")

    def coroutine(peer, sock):
        if is_reused:
            answers(answer(b"z", b"1"))(peer, sock)
        early_peer.respond_early(early_peer, sock)

    peer = ScriptedPeer(coroutine)
    if is_reused:
        assert ask(peer, "z") == b"1"
    send_greenlet = gevent.spawn(send_long_request, peer, is_reused)
    while not early_peer.received:
        gevent.idle()
    send_greenlet.kill()
    early_peer.may_read.set()
    assert early_peer.has_ended.wait(5) and peer.connections == 1
