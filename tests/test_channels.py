"""How long a copy of a message may be held by the connection to another node."""

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

BIG = b"x" * (1 << 20)


class Clock:
    """Stands in for the time module."""

    def __init__(self):
        self.seconds = 50.0

    def monotonic(self):
        return self.seconds


def read_frames(data):
    frames = []
    while len(data) >= 4:
        (length,) = struct.unpack(">I", data[:4])
        frames.append(data[4 : 4 + length])
        data = data[4 + length :]
    return frames


def test_a_frame_that_waited_too_long_is_not_sent_any_more():
    received = gevent.event.AsyncResult()
    server = StreamServer(("127.0.0.1", 0), lambda conn, _: received.set(conn.recv(65536)))
    server.start()
    clock = Clock()
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


def test_what_a_broken_link_still_held_is_not_delivered_once_it_heals():
    conns = gevent.event.AsyncResult()
    may_end = gevent.event.Event()

    def hold(conn, _):
        conns.set(conn)
        may_end.wait()

    listener = gevent.socket.socket()
    listener.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    server = StreamServer(listener, hold)
    server.start()
    channel = Channel(listener.getsockname(), 5.0)
    sender = channel._connect()
    sender.setblocking(False)
    sent = 0
    with pytest.raises(BlockingIOError):
        while True:
            sent += sender.send(BIG)
    channel.close()
    conn, got = conns.get(timeout=5), 0
    conn.settimeout(5)
    with pytest.raises(ConnectionResetError):
        while data := conn.recv(1 << 20):
            got += len(data)
    may_end.set()
    assert got < sent


@pytest.mark.parametrize("cut", [1, 3, 4, 5, 9])
def test_a_frame_that_was_cut_short_is_handed_to_nobody(cut):
    frames, done = [], gevent.event.Event()
    runtime = GeventRuntime(lambda error: None, 1.0)

    def read(conn, _):
        runtime._read_frames(conn, frames.append)
        done.set()

    server = StreamServer(("127.0.0.1", 0), read)
    server.start()
    with gevent.socket.create_connection(("127.0.0.1", server.server_port)) as conn:
        conn.sendall(struct.pack(">I", 5) + b"whole" + (struct.pack(">I", 6) + b"second")[:cut])
    assert done.wait(5)
    assert frames == [b"whole"]


def listening_peer():
    """Return (server, its connections): a peer that takes connections and holds them open."""
    conns, is_over = gevent.queue.Queue(), gevent.event.Event()

    def hold(conn, _):
        conns.put(conn)
        is_over.wait()

    server = StreamServer(("127.0.0.1", 0), hold)
    server.start()
    return server, conns, is_over


def linked_world():
    """Return (runtime, refused addresses, the peer, its connections) with a channel to the peer."""
    runtime, refused = GeventRuntime(lambda error: None, 1.0), gevent.queue.Queue()
    runtime.on_refused = refused.put
    server, conns, is_over = listening_peer()
    runtime.frame(server.address, b"frame")
    return runtime, refused, server, conns, is_over


def test_a_peer_whose_process_ended_is_told_without_anything_being_sent():
    _, refused, server, conns, is_over = linked_world()
    conn = conns.get(timeout=5)
    server.close()
    conn.close()
    assert refused.get(timeout=5) == server.address
    is_over.set()


def test_a_peer_that_still_listens_is_not_told_though_it_closed_the_connection():
    runtime, refused, server, conns, is_over = linked_world()
    conns.get(timeout=5).close()
    conns.get(timeout=5)
    runtime.frame(server.address, b"again")
    conns.get(timeout=5)
    assert refused.empty()
    is_over.set()
    server.close()


def test_a_frame_to_where_nobody_listens_tells_so():
    runtime, refused = GeventRuntime(lambda error: None, 1.0), gevent.queue.Queue()
    runtime.on_refused = refused.put
    with gevent.socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = sock.getsockname()
    runtime.frame(address, b"frame")
    assert refused.get(timeout=5) == address


def test_a_channel_that_was_reset_here_tells_nothing():
    runtime, refused, server, conns, is_over = linked_world()
    conns.get(timeout=5)
    runtime.reset(server.address)
    runtime.frame(server.address, b"again")
    conns.get(timeout=5)
    assert refused.empty()
    is_over.set()
    server.close()
