"""Compressed frames: sent only between zones and to members that support them; bounded in size."""

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
    MIN_COMPRESSIBLE_BYTES,
    SUPPORTED_VERSIONS,
    VERSION_HEADERS,
    Envelope,
    pack,
    unpack,
)
from tests.test_nifty import heartbeat_datagram, member, node

LONG_TEXT = "the same words again " * 200
NEWEST_VERSION = SUPPORTED_VERSIONS[-1]


def envelope(body):
    return Envelope("a", 1, 2, "b", 6, {"s": "x", "b": body})


@given(
    st.text(max_size=3000) | st.binary(max_size=3000),
    st.sampled_from(SUPPORTED_VERSIONS),
    st.booleans(),
)
def test_frame_round_trip_is_lossless_and_compression_never_lengthens_it(
    body, version, may_compress
):
    frame = envelope(body).to_wire(version, may_compress)
    assert Envelope.from_wire(frame, SUPPORTED_VERSIONS) == envelope(body)
    assert len(frame) <= len(envelope(body).to_wire(version))


def test_only_long_frames_in_a_version_with_compression_are_compressed():
    plain = envelope(LONG_TEXT).to_wire(NEWEST_VERSION)
    assert len(plain) > MIN_COMPRESSIBLE_BYTES
    assert len(envelope(LONG_TEXT).to_wire(NEWEST_VERSION, may_compress=True)) < len(plain) / 10
    previous_version = COMPRESSION_VERSION - 1
    assert (
        envelope(LONG_TEXT).to_wire(previous_version, may_compress=True)
        == VERSION_HEADERS[previous_version] + plain[3:]
    )
    assert plain[:3] == VERSION_HEADERS[previous_version], (
        "a member that supports only the previous version can read it"
    )
    assert envelope("short").to_wire(NEWEST_VERSION, may_compress=True) == envelope(
        "short"
    ).to_wire(NEWEST_VERSION)


@pytest.mark.parametrize(("zone", "is_compressed"), [("north", False), ("south", True)])
def test_frames_are_compressed_between_zones_only(zone, is_compressed):
    _, nifty, runtime = node("a")
    peer = member("b")
    peer.zone = zone
    nifty.on_datagram(heartbeat_datagram(peer, 1, {"a"}, [1, 1, NEWEST_VERSION], "ab"))
    nifty.send_heartbeats()
    nifty.on_datagram(heartbeat_datagram(peer, 2, {"a"}, [1, 1, NEWEST_VERSION], "ab"))
    nifty.refresh()
    assert nifty.send("b", {"s": "x", "b": LONG_TEXT})
    (_, frame) = runtime.frames[-1]
    assert (len(frame) < 1000) is is_compressed
    assert Envelope.from_wire(frame, SUPPORTED_VERSIONS).message["b"] == LONG_TEXT


@given(st.binary(max_size=200))
def test_arbitrary_bytes_as_a_stream_are_parsed_or_rejected_as_bad_wire(data):
    try:
        Envelope.from_wire(pack(data), SUPPORTED_VERSIONS)
    except BadWire:
        return


@pytest.mark.parametrize("cut", [1, 5, 20])
def test_truncated_stream_is_rejected(cut):
    stream = zlib.compress(cbor2.dumps([1] * 1000))
    with pytest.raises(BadWire):
        unpack(pack(stream[:-cut]))


def test_stream_that_decompresses_beyond_the_frame_limit_is_rejected():
    compressed = zlib.compress(cbor2.dumps(bytes(100_000)))
    with mock.patch.object(wire, "FRAME_LIMIT_BYTES", 50_000), pytest.raises(BadWire):
        unpack(pack(compressed))
    assert len(unpack(pack(compressed))[1]) == 100_000


def test_older_version_does_not_decompress_values():
    stream = zlib.compress(cbor2.dumps([1]))
    assert unpack(pack(stream, COMPRESSION_VERSION - 1))[1] == stream
