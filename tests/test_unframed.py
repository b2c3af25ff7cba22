"""Answers without a length: a close of the connection completes them, a reset truncates them."""

import pytest

from proving.tools.scripted_connection import RESET, FakeConnections
from quillring.kernel.effects import SendRequest
from quillring.kernel.errors import BackendError
from quillring.kernel.http_client import send_request
from tests.scripted_peer import ID_HEADER, ScriptedPeer, answer, answers, ask, read_body, request

UNFRAMED = b"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nthe body"


def test_a_body_without_a_length_is_complete_when_its_connection_is_closed():
    peer = ScriptedPeer(answers(UNFRAMED), answers(answer(b"b", b"2")))
    assert [ask(peer, "a"), ask(peer, "b")] == [b"the body", b"2"]
    assert peer.connections == 2


@pytest.mark.parametrize("length", range(len(UNFRAMED) - len(b"the body"), len(UNFRAMED) + 1))
def test_a_body_without_a_length_is_incomplete_when_its_connection_is_reset(length):
    wire = FakeConnections()
    wire.start()
    try:
        effect = SendRequest(("10.0.0.1", 1), request(b"a"), 5, False, (ID_HEADER, "a"))
        handle = send_request(effect)
        wire.sockets[0].put(UNFRAMED[:length])
        wire.sockets[0].incoming.append(RESET)
        with pytest.raises(BackendError):
            read_body(handle)
    finally:
        wire.stop()


@pytest.mark.parametrize("length", range(len(UNFRAMED) - len(b"\r\nthe body")))
def test_a_head_truncated_by_a_close_is_an_error(length):
    peer = ScriptedPeer(answers(UNFRAMED[:length]))
    with pytest.raises(BackendError):
        ask(peer, "a", False)


def test_a_body_without_a_length_under_another_id_is_an_error():
    peer = ScriptedPeer(answers(UNFRAMED.replace(b"X-Id: a", b"X-Id: b")))
    with pytest.raises(BackendError):
        ask(peer, "a", False)


def test_a_body_with_a_length_truncated_by_a_close_is_an_error():
    for text in (
        answer(b"a", b"body")[:-1],
        UNFRAMED.replace(b"X-Id", b"Content-Length: 9\r\nX-Id"),
    ):
        peer = ScriptedPeer(answers(text))
        with pytest.raises(BackendError):
            ask(peer, "a", False)
