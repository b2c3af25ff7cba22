"""Compressed frames: only between zones, only to members that read them, and bounded."""

import zlib
from unittest import mock

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from quillring.kernel.errors import BadWire
from quillring.nifty import wire
from quillring.nifty.wire import (
    COMPRESSION_VERSION,
    HEADS,
    MIN_COMPRESSED_BYTES,
    SPOKEN,
    Envelope,
    pack,
    unpack,
)
from tests.test_nifty import beat, member, node

LONG_TEXT = "the same words again " * 200
LAST = SPOKEN[-1]


def envelope(body):
    return Envelope("a", 1, 2, "b", 6, {"s": "x", "b": body})


@given(st.text(max_size=3000) | st.binary(max_size=3000), st.sampled_from(SPOKEN), st.booleans())
def test_a_frame_is_read_as_it_was_written(body, version, may_compress):
    frame = envelope(body).to_wire(version, may_compress)
    assert Envelope.from_wire(frame, SPOKEN) == envelope(body)
    assert len(frame) <= len(envelope(body).to_wire(version))


def test_only_long_frames_of_the_version_that_has_it_are_compressed():
    plain = envelope(LONG_TEXT).to_wire(LAST)
    assert len(plain) > MIN_COMPRESSED_BYTES
    assert len(envelope(LONG_TEXT).to_wire(LAST, may_compress=True)) < len(plain) / 10
    former = COMPRESSION_VERSION - 1
    assert envelope(LONG_TEXT).to_wire(former, may_compress=True) == HEADS[former] + plain[3:]
    assert plain[:3] == HEADS[former], "a member of the former version reads it"
    assert envelope("short").to_wire(LAST, may_compress=True) == envelope("short").to_wire(LAST)


@pytest.mark.parametrize(("zone", "is_compressed"), [("north", False), ("south", True)])
def test_frames_are_compressed_between_zones_only(zone, is_compressed):
    _, nifty, runtime = node("a")
    there = member("b")
    there.zone = zone
    nifty.on_datagram(beat(there, 1, {"a"}, [1, 1, LAST], "ab"))
    nifty.send_heartbeats()
    nifty.on_datagram(beat(there, 2, {"a"}, [1, 1, LAST], "ab"))
    nifty.refresh()
    assert nifty.send("b", {"s": "x", "b": LONG_TEXT})
    (_, frame) = runtime.frames[-1]
    assert (len(frame) < 1000) is is_compressed
    assert Envelope.from_wire(frame, SPOKEN).message["b"] == LONG_TEXT


@given(st.binary(max_size=200))
def test_any_bytes_in_place_of_a_stream_are_refused_or_read(data):
    try:
        Envelope.from_wire(pack(data), SPOKEN)
    except BadWire:
        return


@pytest.mark.parametrize("cut", [1, 5, 20])
def test_a_cut_stream_is_refused(cut):
    stream = zlib.compress(cbor2.dumps([1] * 1000))
    with pytest.raises(BadWire):
        unpack(pack(stream[:-cut]))


def test_a_stream_that_is_longer_than_a_frame_may_be_is_refused():
    bomb = zlib.compress(cbor2.dumps(bytes(100_000)))
    with mock.patch.object(wire, "FRAME_LIMIT_BYTES", 50_000), pytest.raises(BadWire):
        unpack(pack(bomb))
    assert len(unpack(pack(bomb))[1]) == 100_000


def test_a_former_version_has_no_compressed_values():
    stream = zlib.compress(cbor2.dumps([1]))
    assert unpack(pack(stream, COMPRESSION_VERSION - 1))[1] == stream
