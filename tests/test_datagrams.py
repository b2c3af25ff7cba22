"""Datagrams over loopback: all that wait are taken in one wake, in their order."""

import socket

import gevent.event
import pytest

from quillring.kernel import datagrams
from quillring.kernel.gevent_runtime import GeventRuntime

PATIENCE = 20


class Listener:
    """A runtime that listens at a free port and keeps what its handler got."""

    def __init__(self, wanted_count, faulty=()):
        self.faults, self.taken, self.faulty = [], [], faulty
        self.wanted_count, self.has_all = wanted_count, gevent.event.Event()
        self.runtime = GeventRuntime(self.faults.append, 1.0)
        self.server = self.runtime.listen("127.0.0.1", 0, self.take, lambda data: None)
        self.address = self.runtime.datagrams.socket.getsockname()

    def take(self, data):
        self.taken.append(data)
        if len(self.taken) == self.wanted_count:
            self.has_all.set()
        if data in self.faulty:
            raise ValueError(data)


@pytest.fixture
def client_name():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
        yield udp_socket


@pytest.fixture
def wakes(monkeypatch):
    """The file numbers that were waited for, one entry a wake."""
    waited, wait_read = [], datagrams.gevent.socket.wait_read

    def counted(number):
        waited.append(number)
        wait_read(number)

    monkeypatch.setattr(datagrams.gevent.socket, "wait_read", counted)
    return waited


def send_all(client_name, listener, texts):
    for text in texts:
        client_name.sendto(text, listener.address)
    assert listener.has_all.wait(PATIENCE)


def test_all_that_wait_are_taken_in_one_wake_and_in_their_order(client_name, wakes):
    texts = [b"%d" % number for number in range(100)]
    listener = Listener(len(texts))
    send_all(client_name, listener, texts)
    assert listener.taken == texts and listener.faults == []
    assert len(wakes) <= 2


def test_what_comes_later_is_taken_too(client_name, wakes):
    listener = Listener(1)
    send_all(client_name, listener, [b"first"])
    listener.has_all.clear()
    listener.wanted_count = 2
    send_all(client_name, listener, [b"second"])
    assert listener.taken == [b"first", b"second"]


def test_a_batch_ends_so_that_others_get_their_turn(client_name, wakes, monkeypatch):
    monkeypatch.setattr(datagrams, "MAX_BATCH_DATAGRAMS", 8)
    texts = [b"%d" % number for number in range(20)]
    listener = Listener(len(texts))
    send_all(client_name, listener, texts)
    assert listener.taken == texts
    assert len(wakes) >= 3


def test_a_handler_that_fails_on_one_gets_the_others(client_name):
    listener = Listener(3, faulty=(b"bad",))
    send_all(client_name, listener, [b"one", b"bad", b"two"])
    assert listener.taken == [b"one", b"bad", b"two"]
    assert [str(fault) for fault in listener.faults] == ["b'bad'"]
