"""The node-to-node wire format: magic, version, then one CBOR value (RFC 8949).

A node supports several versions, which allows a fleet to be upgraded one node at a time. To a
member it sends the newest version that both support, and the oldest one until it has received a
heartbeat from it. Every echo contains the newest version that its sender supports (readers of
version 1 ignore it), and the number of fields of the terse heartbeats that its sender can read
(older readers ignore it).
Version 2 added `lot.release`, `member.former` and the entry in answers to `journal.find`.
Version 3 added lots outside their host's part, `raw.reserve`, `raw.release`, `raw.fence`.
Version 4 added compressed frames: the value is a CBOR byte string, a zlib stream (RFC 1950) of the
encoded list. It also added `load.report` and `load.zone`. Everything that is not compressed is sent
in version 3 at most, so a member that has just been restarted with an older release can read it.

A frame contains [origin, incarnation, sequence, target, hops left, message].
A full heartbeat contains [member record, sequence, roster digest, bitmap, stamp, echo], a terse one
[name, incarnation, sequence, stamp, echo]. An echo is None or [incarnation, sequence, newest
version, number of fields of a terse heartbeat].
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import cbor2

from quillring.kernel.errors import BadWire
from quillring.kernel.member import FIELDS, Member
from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.types import WireMap

    Stamp = list[Any]
    """Freshness stamp of a store: [ballot, index, identity of the store]."""

MAGIC = b"QR"
SUPPORTED_VERSIONS = (2, 3, 4)
COMPRESSION_VERSION = 4
MAX_UNCOMPRESSED_VERSION = 3
"""The newest version of heartbeats, and of frames that are not compressed."""
COMPRESSION_LEVEL = 1
MIN_COMPRESSIBLE_BYTES = 512
"""Shorter frames are not compressed: too few bytes would be saved."""
FRAME_LIMIT_BYTES = 64 * 1024 * 1024
VERSION_HEADERS = [MAGIC + bytes([version]) for version in range(256)]
FULL_FIELD_COUNT, TERSE_FIELD_COUNT = 6, 5
STAMP_FIELD_COUNT = 3
CBOR_ARRAY_HEADER = 0x80
NO_ECHO = cbor2.dumps(None)


def pack(value: Any, version: int = SUPPORTED_VERSIONS[-1]) -> bytes:
    """Return the encoded bytes of a value in a wire version, with the header."""
    return VERSION_HEADERS[version] + cbor2.dumps(value)


def unpack(data: bytes, versions: tuple[int, ...] = SUPPORTED_VERSIONS) -> tuple[int, Any]:
    """Return (version, value) of encoded bytes.

    Raises
    ------
    BadWire
        The bytes are malformed, or of a version that is not in `versions`.
    """
    if data[:2] != MAGIC:
        raise BadWire(reason="magic")
    if len(data) < 3 or data[2] not in versions:
        raise BadWire(reason="version")
    try:
        value = cbor2.loads(data[3:])
        if isinstance(value, bytes) and data[2] >= COMPRESSION_VERSION:
            value = cbor2.loads(decompress(value))
    except (ValueError, cbor2.CBORError, RecursionError, MemoryError) as error:
        raise BadWire(reason="cbor") from error
    return data[2], value


def compress(data: bytes) -> bytes:
    """Return an encoded value in its compressed form: a CBOR byte string of a zlib stream."""
    return cbor2.dumps(zlib.compress(data, COMPRESSION_LEVEL))


def decompress(data: bytes) -> bytes:
    """Return the encoded value from a zlib stream.

    Raises
    ------
    BadWire
        The stream is malformed or truncated, or its value exceeds FRAME_LIMIT_BYTES.
    """
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(data, FRAME_LIMIT_BYTES)
    except zlib.error as error:
        raise BadWire(reason="zlib") from error
    if not decompressor.eof:
        raise BadWire(reason="zlib")
    return value


class Envelope(NamedTuple):
    """A message in transit, with its origin, sequence number, target and remaining hops."""

    origin: str
    incarnation: int
    sequence: int
    target: str
    hops_left: int
    message: WireMap

    @classmethod
    def from_wire(cls, data: bytes, versions: tuple[int, ...]) -> Envelope:
        """Parse a frame.

        Raises
        ------
        BadWire
            The frame is not a valid envelope.
        """
        try:
            origin, incarnation, sequence, target, hops_left, message = unpack(data, versions)[1]
        except (ValueError, TypeError) as error:
            raise BadWire(reason="frame") from error
        if not (
            isinstance(message, dict)
            and ("s" in message or "r" in message)
            and isinstance(incarnation, int)
            and isinstance(sequence, int)
            and isinstance(hops_left, int)
            and isinstance(origin, str)
            and isinstance(target, str)
        ):
            raise BadWire(reason="frame")
        return cls(origin, incarnation, sequence, target, hops_left, message)

    def to_wire(self, version: int, may_compress: bool = False) -> bytes:
        """Return the frame in a wire version, compressed if allowed and if that shortens it."""
        data = cbor2.dumps([*self])
        if may_compress and version >= COMPRESSION_VERSION and len(data) >= MIN_COMPRESSIBLE_BYTES:
            compressed = compress(data)
            if len(compressed) < len(data):
                return VERSION_HEADERS[version] + compressed
        return VERSION_HEADERS[min(version, MAX_UNCOMPRESSED_VERSION)] + data

    def after_hop(self) -> Envelope:
        """Return the envelope with one remaining hop less."""
        origin, incarnation, sequence, target, hops_left, message = self
        return Envelope(origin, incarnation, sequence, target, hops_left - 1, message)


class Echo(NamedTuple):
    """Identifies the last heartbeat that an echo's sender received from the echo's receiver."""

    incarnation: int
    sequence: int


class Heartbeat:
    """A received heartbeat; slotted because every node parses hundreds of them a second.

    A terse heartbeat omits the member record, the roster digest and the bitmap: they are unchanged.

    Attributes
    ----------
    member : the sender; None in a terse heartbeat
    echoed_incarnation, echoed_sequence : the heartbeat that is echoed; None without an echo
    version : newest wire version that both sides support
    reads_terse : whether the sender can read terse heartbeats
    """

    __slots__ = (
        "member",
        "name",
        "incarnation",
        "sequence",
        "digest",
        "bitmap",
        "stamp",
        "echoed_incarnation",
        "echoed_sequence",
        "version",
        "reads_terse",
    )

    def __init__(
        self, data: bytes, versions: tuple[int, ...], known_members: dict[str, Member]
    ) -> None:
        self.member: Member | None = None
        self.digest: bytes | None = None
        self.bitmap: bytes | None = None
        self.echoed_incarnation: int | None = None
        self.echoed_sequence: int | None = None
        self.reads_terse = False
        try:
            self.version, fields = unpack(data, versions)
            if len(fields) == TERSE_FIELD_COUNT:
                self.name, self.incarnation, self.sequence, self.stamp, echo = fields
            else:
                record, self.sequence, self.digest, self.bitmap, self.stamp, echo = fields
                self.member = member = read_member(record, known_members)
                self.name, self.incarnation = member.name, member.incarnation
            if echo is not None:
                self.echoed_incarnation, self.echoed_sequence = int(echo[0]), int(echo[1])
                if len(echo) > 2:
                    self.version = max(self.version, min(versions[-1], int(echo[2])))
                self.reads_terse = len(echo) > 3 and echo[3] == TERSE_FIELD_COUNT
        except (ValueError, TypeError, IndexError, KeyError, OverflowError) as error:
            raise BadWire(reason="beat") from error
        if not isinstance(self.sequence, int) or not is_stamp_or_none(self.stamp):
            raise BadWire(reason="beat")
        if self.member is None:
            if not isinstance(self.name, str) or not isinstance(self.incarnation, int):
                raise BadWire(reason="beat")
        elif not isinstance(self.bitmap, bytes) or not isinstance(self.digest, bytes):
            raise BadWire(reason="beat")

    @classmethod
    def from_wire(
        cls, data: bytes, versions: tuple[int, ...], known_members: dict[str, Member] | None = None
    ) -> Heartbeat:
        """Parse a datagram; `member` is the known object if its record is unchanged.

        Raises
        ------
        BadWire
            The datagram is not a valid heartbeat.
        """
        return cls(data, versions, known_members or {})

    @property
    def echo(self) -> Echo | None:
        """The heartbeat that this one echoes, or None."""
        if self.echoed_incarnation is None or self.echoed_sequence is None:
            return None
        return Echo(self.echoed_incarnation, self.echoed_sequence)


def read_member(record: list[Any], known_members: dict[str, Member]) -> Member:
    """Return the member from its record, or the known object if the record is unchanged."""
    known = known_members.get(record[0]) if len(record) == len(FIELDS) else None
    if known is not None and known.to_list() == record:
        return known
    return Member.from_list(record)


def is_stamp_or_none(stamp: Any) -> bool:
    """Return whether a value is None or a well-formed freshness stamp."""
    return stamp is None or (
        isinstance(stamp, list)
        and len(stamp) == STAMP_FIELD_COUNT
        and isinstance(stamp[1], int)
        and isinstance(stamp[2], str)
    )


def encode_full_content(
    me: Member, sequence: int, digest: bytes, bitmap: bytes, stamp: Stamp | None
) -> bytes:
    """Return the encoding of a full heartbeat without its header and echo."""
    fields = (me.to_list(), sequence, digest, bitmap, stamp)
    return bytes([CBOR_ARRAY_HEADER | FULL_FIELD_COUNT]) + b"".join(
        [cbor2.dumps(field) for field in fields]
    )


def encode_terse_content(me: Member, sequence: int, stamp: Stamp | None) -> bytes:
    """Return the encoding of a terse heartbeat without its header and echo."""
    fields = (me.name, me.incarnation, sequence, stamp)
    return bytes([CBOR_ARRAY_HEADER | TERSE_FIELD_COUNT]) + b"".join(
        [cbor2.dumps(field) for field in fields]
    )


def encode_heartbeat(
    version: int, content: bytes, incarnation: int, sequence: int, newest_version: int
) -> bytes:
    """Return the datagram of a heartbeat that echoes one received from the target."""
    echo = cbor2.dumps([incarnation, sequence, newest_version, TERSE_FIELD_COUNT])
    return VERSION_HEADERS[min(version, MAX_UNCOMPRESSED_VERSION)] + content + echo


def encode_first_heartbeat(version: int, content: bytes) -> bytes:
    """Return the datagram of a heartbeat without an echo: none was received from the target."""
    return VERSION_HEADERS[version] + content + NO_ECHO
