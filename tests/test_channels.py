"""Connections to other nodes drop expired, unsent and truncated frames and report refusals."""

import struct
from unittest import mock

import gevent
import gevent.event
import gevent.queue
import gevent.socket
import pytest
from gevent.server import StreamServer

from quillring.kernel import channel as channel_module
from quillring.kernel.channel import MAX_QUEUED_TIMEOUTS, Channel
from quillring.kernel.gevent_runtime import GeventRuntime

LARGE_CHUNK = b"x" * (1 << 20)


class FakeClock:
    """Replaces the time module."""

    def __init__(self):
        self.seconds = 50.0

    def monotonic(self):
        return self.seconds


def read_frames(data):
    """Return the bodies of the length-prefixed frames in the data."""
    frames = []
    while len(data) >= 4:
        (length,) = struct.unpack(">I", data[:4])
        frames.append(data[4 : 4 + length])
        data = data[4 + length :]
    return frames


def test_a_frame_queued_for_too_long_is_dropped():
    received = gevent.event.AsyncResult()
    server = StreamServer(("127.0.0.1", 0), lambda conn, _: received.set(conn.recv(65536)))
    server.start()
    clock = FakeClock()
    with mock.patch.object(channel_module, "time", clock):
        channel = Channel(("127.0.0.1", server.server_port), 1.0)
        channel.put(b"old")
        clock.seconds += MAX_QUEUED_TIMEOUTS + 0.1
        channel.put(b"young")
        clock.seconds += MAX_QUEUED_TIMEOUTS - 0.1
        greenlet = gevent.spawn(channel.run)
        data = received.get(timeout=5)
        greenlet.kill()
    assert read_frames(data) == [b"young"]


def test_closing_a_channel_discards_its_unsent_data():
    conns = gevent.event.AsyncResult()
    may_close = gevent.event.Event()

    def keep_open(conn, _):
        conns.set(conn)
        may_close.wait()

    listener = gevent.socket.socket()
    listener.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    server = StreamServer(listener, keep_open)
    server.start()
    channel = Channel(listener.getsockname(), 5.0)
    sender = channel._connect()
    sender.setblocking(False)
    sent_bytes = 0
    with pytest.raises(BlockingIOError):
        while True:
            sent_bytes += sender.send(LARGE_CHUNK)
    channel.close()
    conn, received_bytes = conns.get(timeout=5), 0
    conn.settimeout(5)
    with pytest.raises(ConnectionResetError):
        while data := conn.recv(1 << 20):
            received_bytes += len(data)
    may_close.set()
    assert received_bytes < sent_bytes


@pytest.mark.parametrize("truncated_length", [1, 3, 4, 5, 9])
def test_a_truncated_frame_is_not_passed_to_the_handler(truncated_length):
    frames, done = [], gevent.event.Event()
    runtime = GeventRuntime(lambda error: None, 1.0)

    def read(conn, _):
        runtime._read_frames(conn, frames.append)
        done.set()

    server = StreamServer(("127.0.0.1", 0), read)
    server.start()
    with gevent.socket.create_connection(("127.0.0.1", server.server_port)) as conn:
        conn.sendall(
            struct.pack(">I", 5) + b"whole" + (struct.pack(">I", 6) + b"second")[:truncated_length]
        )
    assert done.wait(5)
    assert frames == [b"whole"]


def start_listening_peer():
    """Start a peer that keeps its connections open.

    Returns the server, a queue of its connections and the event that lets them close.
    """
    conns, may_close = gevent.queue.Queue(), gevent.event.Event()

    def keep_open(conn, _):
        conns.put(conn)
        may_close.wait()

    server = StreamServer(("127.0.0.1", 0), keep_open)
    server.start()
    return server, conns, may_close


def open_channel_to_peer():
    """Start a peer and a runtime, and send the peer one frame.

    Returns the runtime, a queue of the addresses that it reports as refused, and the result of
    start_listening_peer.
    """
    runtime, refused = GeventRuntime(lambda error: None, 1.0), gevent.queue.Queue()
    runtime.on_refused = refused.put
    server, conns, may_close = start_listening_peer()
    runtime.frame(server.address, b"frame")
    return runtime, refused, server, conns, may_close


def test_the_end_of_a_peer_process_is_reported_without_sending_anything():
    _, refused, server, conns, may_close = open_channel_to_peer()
    conn = conns.get(timeout=5)
    server.close()
    conn.close()
    assert refused.get(timeout=5) == server.address
    may_close.set()


def test_a_connection_closed_by_a_peer_that_still_listens_is_not_reported():
    runtime, refused, server, conns, may_close = open_channel_to_peer()
    conns.get(timeout=5).close()
    conns.get(timeout=5)
    runtime.frame(server.address, b"again")
    conns.get(timeout=5)
    assert refused.empty()
    may_close.set()
    server.close()


def test_a_frame_to_an_address_without_a_listener_is_reported_as_refused():
    runtime, refused = GeventRuntime(lambda error: None, 1.0), gevent.queue.Queue()
    runtime.on_refused = refused.put
    with gevent.socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = sock.getsockname()
    runtime.frame(address, b"frame")
    assert refused.get(timeout=5) == address


def test_a_channel_reset_by_this_node_is_not_reported_as_refused():
    runtime, refused, server, conns, may_close = open_channel_to_peer()
    conns.get(timeout=5)
    runtime.reset(server.address)
    runtime.frame(server.address, b"again")
    conns.get(timeout=5)
    assert refused.empty()
    may_close.set()
    server.close()
