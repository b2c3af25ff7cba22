"""A replica that answers before it has read a long body gets nothing else on that connection."""

import gevent
import gevent.event
import pytest

from quillring.kernel.effects import SendRequest
from quillring.kernel.http_client import send_request
from tests.scripted_peer import ID_HEADER, ScriptedPeer, answer, answers, ask, read_body

LENGTH = 16_000_000
REFUSAL = b"503 Service Unavailable"


def long_request(name):
    head = b"POST / HTTP/1.1\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n" % (name, LENGTH)
    return head + b"x" * LENGTH


class EarlyPeer(ScriptedPeer):
    """Answers as soon as a head is there and reads on only when it is told to."""

    def __init__(self, early, *coroutines):
        super().__init__(self.answer_early, *coroutines)
        self.early = early
        self.may_read = gevent.event.Event()
        self.has_ended = gevent.event.Event()
        self.got = b""

    def answer_early(self, peer, sock):
        peer.read(sock)
        sock.sendall(self.early)
        self.may_read.wait(30)
        try:
            while data := sock.recv(1 << 20):
                self.got += data.strip(b"x")
        except OSError:
            pass
        self.has_ended.set()


def send_long(peer, may_reuse):
    effect = SendRequest(peer.address, long_request(b"a"), 5, may_reuse, (ID_HEADER, "a"))
    return send_request(effect)


@pytest.mark.parametrize("may_reuse", [True, False])
def test_an_answer_that_comes_before_the_body_was_read_is_taken_at_once(may_reuse):
    peer = EarlyPeer(answer(b"a", b"full", status=REFUSAL), answers(answer(b"b", b"2")))
    handle = send_long(peer, may_reuse)
    assert not peer.may_read.is_set()
    assert read_body(handle) == b"full" and handle.status == 503
    peer.may_read.set()
    assert ask(peer, "b") == b"2" and peer.connections == 2
    assert peer.has_ended.wait(5)
    assert peer.got == b""


def test_a_kept_connection_on_which_a_long_body_was_not_sent_whole_is_not_used_again():
    early = EarlyPeer(answer(b"a", b"full", status=REFUSAL))
    peer = ScriptedPeer(
        lambda peer, sock: (
            answers(answer(b"z", b"1"))(peer, sock),
            early.answer_early(peer, sock),
        ),
        answers(answer(b"b", b"2")),
    )
    assert ask(peer, "z") == b"1"
    assert read_body(send_long(peer, True)) == b"full" and peer.connections == 1
    early.may_read.set()
    assert ask(peer, "b") == b"2" and peer.connections == 2
    assert early.has_ended.wait(5) and early.got == b""


def test_a_word_to_go_on_and_an_answer_of_another_do_not_end_the_sending():
    first = b"HTTP/1.1 100 Continue\r\n\r\n" + answer(b"y", b"another's")
    peer = EarlyPeer(first)

    def read_all(peer_, sock):
        peer_.read(sock)
        sock.sendall(first)
        left = LENGTH - len(peer_.received[-1].partition(b"\r\n\r\n")[2])
        while left > 0:
            left -= len(sock.recv(1 << 20))
        sock.sendall(answer(b"a", b"ours"))

    peer.coroutines = [read_all]
    assert read_body(send_long(peer, False)) == b"ours"


@pytest.mark.parametrize("is_kept", [True, False])
def test_a_sending_whose_client_leaves_amid_the_body_closes_its_connection(is_kept):
    early = EarlyPeer(b"")

    def coroutine(peer, sock):
        if is_kept:
            answers(answer(b"z", b"1"))(peer, sock)
        early.answer_early(early, sock)

    peer = ScriptedPeer(coroutine)
    if is_kept:
        assert ask(peer, "z") == b"1"
    sending = gevent.spawn(send_long, peer, is_kept)
    while not early.received:
        gevent.idle()
    sending.kill()
    early.may_read.set()
    assert early.has_ended.wait(5) and peer.connections == 1
