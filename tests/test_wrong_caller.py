"""No answer of a replica is passed to another request, whatever bytes the connection carries."""

from unittest import mock

import gevent.socket
import pytest

from quillring.kernel import http_client
from quillring.kernel.connection_pool import ConnectionPool, ReplicaConnection
from quillring.kernel.effects import SendRequest
from quillring.kernel.errors import BackendError, NotSent
from quillring.kernel.http_client import send_request
from tests.scripted_peer import (
    ID_HEADER,
    ScriptedPeer,
    answer,
    answers,
    ask,
    open_request,
    read_body,
    request,
    reset,
)

ANSWER_WITHOUT_ID = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nours"


def answer_then_reset(peer, sock):
    """Connection handler: answer the first request and reset the connection at the second."""
    peer.read(sock)
    sock.sendall(answer(b"a", b"1"))
    if peer.read(sock):
        reset(sock)


def test_garbage_after_a_complete_answer_does_not_invalidate_it():
    peer = ScriptedPeer(
        answers(answer(b"a", b"ours", b"\x00 no answer \xff")), answers(answer(b"b", b"2"))
    )
    assert ask(peer, "a", False) == b"ours"
    assert ask(peer, "b") == b"2"
    assert peer.connections == 2


def test_bytes_after_an_answer_with_connection_close_do_not_invalidate_it():
    surplus = answer(b"other", b"theirs")
    peer = ScriptedPeer(answers(answer(b"a", b"ours", surplus, b"Connection: close\r\n")))
    assert ask(peer, "a", False) == b"ours"


def test_an_unrequested_upgrade_is_an_error():
    upgrade = b"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"
    peer = ScriptedPeer(answers(upgrade + answer(b"a", b"ours")))
    with pytest.raises(BackendError):
        ask(peer, "a")


def test_interim_answers_are_skipped():
    interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Id: a\r\n\r\n"
    peer = ScriptedPeer(answers(interim + answer(b"a", b"ours")))
    assert ask(peer, "a") == b"ours"


def test_an_answer_with_content_length_and_chunked_encoding_is_an_error():
    both = b"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
    peer = ScriptedPeer(answers(both + b"3\r\nabc\r\n0\r\n\r\n"))
    with pytest.raises(BackendError):
        ask(peer, "a")


def test_an_answer_with_two_ids_is_an_error():
    peer = ScriptedPeer(answers(answer(b"other", b"whose", b"", b"X-Id: a\r\n")))
    with pytest.raises(BackendError):
        ask(peer, "a")


def test_a_request_without_an_id_uses_a_new_connection():
    def repeat_first_answer(peer, sock):
        peer.read(sock)
        sock.sendall(answer(b"a", b"1"))
        if peer.read(sock):
            sock.sendall(answer(b"a", b"late copy of 1"))

    peer = ScriptedPeer(repeat_first_answer, answers(ANSWER_WITHOUT_ID))
    assert ask(peer, "a") == b"1"
    assert ask(peer, None) == b"ours"


def test_an_answer_with_an_id_is_skipped_by_a_request_without_an_id():
    peer = ScriptedPeer(answers(answer(b"a", b"theirs") + ANSWER_WITHOUT_ID))
    assert ask(peer, None) == b"ours"


def test_a_connection_is_not_reused_for_the_same_id():
    def repeat_the_answer(peer, sock):
        peer.read(sock)
        sock.sendall(answer(b"a", b"first"))
        if peer.read(sock):
            sock.sendall(answer(b"a", b"first"))

    peer = ScriptedPeer(repeat_the_answer, answers(answer(b"a", b"second")))
    assert ask(peer, "a") == b"first"
    assert ask(peer, "a") == b"second"


@pytest.mark.parametrize("unread", [answer(b"b", b"surplus"), b"x", None])
def test_an_idle_connection_with_unread_bytes_is_closed(unread):
    ours, theirs = gevent.socket.socketpair()
    pool, address = ConnectionPool(), ("10.0.0.1", 9000)
    pool.put(ReplicaConnection(address, ours), 60)
    if unread is None:
        theirs.close()
    else:
        theirs.sendall(unread)
    assert pool.take(address, (ID_HEADER, "b")) is None
    assert ours.fileno() == -1


def test_two_concurrent_requests_with_the_same_id_use_separate_connections():
    peer = ScriptedPeer(answers(answer(b"a", b"first")), answers(answer(b"a", b"second")))
    first, second = open_request(peer, "a"), open_request(peer, "a")
    assert {read_body(second), read_body(first)} == {b"first", b"second"}
    assert peer.connections == 2


def test_a_late_answer_after_a_timeout_reaches_no_request():
    def answer_after_the_timeout(peer, sock):
        peer.read(sock)
        peer.may_continue.wait()
        sock.sendall(answer(b"a", b"late"))
        peer.read(sock)

    peer = ScriptedPeer(answer_after_the_timeout, answers(answer(b"b", b"ours")))
    handle = open_request(peer, "a")
    with pytest.raises(BackendError):
        handle.read_head(0.01)
    handle.close()
    peer.may_continue.set()
    assert ask(peer, "b") == b"ours"
    assert peer.connections == 2


def test_a_late_surplus_answer_before_the_expected_one_is_skipped():
    def answer_twice(peer, sock):
        peer.read(sock)
        sock.sendall(answer(b"a", b"1"))
        peer.read(sock)
        sock.sendall(answer(b"a", b"1") + answer(b"b", b"2"))

    peer = ScriptedPeer(answer_twice)
    assert [ask(peer, "a"), ask(peer, "b")] == [b"1", b"2"]
    assert peer.connections == 1


def test_a_reset_of_an_idle_connection_raises_stale_connection_and_resends_nothing():
    peer = ScriptedPeer(answer_then_reset, answers(answer(b"b", b"2")))
    assert ask(peer, "a") == b"1"
    with pytest.raises(BackendError) as failure:
        ask(peer, "b")
    assert failure.value.kind == "stale_connection"
    assert len(peer.received) == 2


def test_a_request_that_may_have_reached_a_replica_is_not_reported_as_not_sent():
    peer = ScriptedPeer(answer_then_reset)
    assert ask(peer, "a") == b"1"
    handle = open_request(peer, "b")
    peer.stop()
    with pytest.raises(BackendError) as failure:
        read_body(handle)
    assert len(peer.received) == 2
    assert not isinstance(failure.value, NotSent)


def test_an_answer_received_before_the_request_is_skipped():
    def answer_before_the_request(peer, sock):
        sock.sendall(answer(b"other", b"theirs"))
        peer.read(sock)
        sock.sendall(answer(b"a", b"ours"))

    peer = ScriptedPeer(answer_before_the_request)
    assert ask(peer, "a", False) == b"ours"


def test_a_partially_sent_request_is_not_reported_as_not_sent():
    def reset_during_the_body(peer, sock):
        sock.recv(1000)
        reset(sock)

    peer = ScriptedPeer(reset_during_the_body)
    data = request(b"a").replace(b"Length: 0", b"Length: 99999999") + b"x" * 99999999
    with pytest.raises(BackendError) as failure:
        send_request(SendRequest(peer.address, data, 5, False, (ID_HEADER, "a"))).read_head(5)
    assert not isinstance(failure.value, NotSent)


@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
def test_an_answer_whose_status_has_no_body_ends_with_its_head(status):
    head = b"HTTP/1.1 %s\r\nX-Id: %s\r\n\r\n"
    peer = ScriptedPeer(answers(head % (status, b"a"), head % (status, b"b")))
    assert [ask(peer, "a"), ask(peer, "b")] == [b"", b""]


def test_the_answer_to_a_head_request_ends_with_its_head():
    head_only = b"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 99\r\n\r\n"
    peer = ScriptedPeer(answers(head_only), answers(answer(b"b", b"2")))
    assert ask(peer, "a", method=b"HEAD") == b""
    assert ask(peer, "b") == b"2"


@pytest.mark.parametrize("may_reuse", [True, False])
def test_a_process_frozen_before_the_write_sends_nothing_after_the_deadline(may_reuse):
    peer = ScriptedPeer(
        answers(answer(b"a", b"1"), answer(b"b", b"late")), answers(answer(b"b", b"late"))
    )
    assert ask(peer, "a") == b"1"
    real_connect, real_take, clock = http_client.connect, http_client.POOL.take, [50.0]

    def connect(address, seconds):
        clock[0] += 20
        return real_connect(address, seconds)

    def take(pool, address, response_id):
        clock[0] += 20
        return real_take(address, response_id)

    with (
        mock.patch.object(http_client, "time", mock.Mock(monotonic=lambda: clock[0])),
        mock.patch.object(http_client, "connect", connect),
        mock.patch.object(type(http_client.POOL), "take", take),
        pytest.raises(NotSent),
    ):
        ask(peer, "b", may_reuse)
    assert len(peer.received) == 1
