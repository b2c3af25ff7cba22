"""Datagrams over loopback: all pending ones are received in order in one wake."""

import socket

import gevent.event
import pytest

from quillring.kernel import datagrams
from quillring.kernel.gevent_runtime import GeventRuntime

TIMEOUT_SECONDS = 20


class Listener:
    """A runtime that listens on a free port and records the datagrams that its handler receives."""

    def __init__(self, wanted_count, failing_payloads=()):
        self.faults, self.received, self.failing_payloads = [], [], failing_payloads
        self.wanted_count, self.has_all = wanted_count, gevent.event.Event()
        self.runtime = GeventRuntime(self.faults.append, 1.0)
        self.server = self.runtime.listen("127.0.0.1", 0, self.on_datagram, lambda data: None)
        self.address = self.runtime.datagrams.socket.getsockname()

    def on_datagram(self, data):
        self.received.append(data)
        if len(self.received) == self.wanted_count:
            self.has_all.set()
        if data in self.failing_payloads:
            raise ValueError(data)


@pytest.fixture
def client_socket():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
        yield udp_socket


@pytest.fixture
def wakes(monkeypatch):
    """The file descriptors passed to wait_read, one for each wake."""
    awaited_descriptors, wait_read = [], datagrams.gevent.socket.wait_read

    def counting_wait_read(descriptor):
        awaited_descriptors.append(descriptor)
        wait_read(descriptor)

    monkeypatch.setattr(datagrams.gevent.socket, "wait_read", counting_wait_read)
    return awaited_descriptors


def send_all(client_socket, listener, payloads):
    """Send datagrams and wait until the listener has received the expected number."""
    for payload in payloads:
        client_socket.sendto(payload, listener.address)
    assert listener.has_all.wait(TIMEOUT_SECONDS)


def test_all_pending_datagrams_are_received_in_order_in_one_wake(client_socket, wakes):
    payloads = [b"%d" % number for number in range(100)]
    listener = Listener(len(payloads))
    send_all(client_socket, listener, payloads)
    assert listener.received == payloads and listener.faults == []
    assert len(wakes) <= 2


def test_datagrams_that_arrive_later_are_received(client_socket, wakes):
    listener = Listener(1)
    send_all(client_socket, listener, [b"first"])
    listener.has_all.clear()
    listener.wanted_count = 2
    send_all(client_socket, listener, [b"second"])
    assert listener.received == [b"first", b"second"]


def test_the_size_of_a_batch_is_bounded(client_socket, wakes, monkeypatch):
    """The bound lets other greenlets run between two batches."""
    monkeypatch.setattr(datagrams, "MAX_BATCH_DATAGRAMS", 8)
    payloads = [b"%d" % number for number in range(20)]
    listener = Listener(len(payloads))
    send_all(client_socket, listener, payloads)
    assert listener.received == payloads
    assert len(wakes) >= 3


def test_a_handler_error_does_not_stop_the_following_datagrams(client_socket):
    listener = Listener(3, failing_payloads=(b"bad",))
    send_all(client_socket, listener, [b"one", b"bad", b"two"])
    assert listener.received == [b"one", b"bad", b"two"]
    assert [str(fault) for fault in listener.faults] == ["b'bad'"]
