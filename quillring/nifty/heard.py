"""What a node last heard from a peer, and the reading of heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.errors import BadWire
from quillring.kernel.member import FIELDS, Member
from quillring.nifty.wire import unpack

if TYPE_CHECKING:
    from typing import Any

    from quillring.nifty.bits import Orders
    from quillring.nifty.roster import Roster

FULL, TERSE = 6, 5


class Heard:
    """What a node last heard from a peer.

    `is_refused`: its process listens no more, and nothing came from it since that was seen.
    Its row stands as told: bits over the names of the roster they were made for. A bitmap made for
    an unknown roster waits unread until that roster is known.
    """

    __slots__ = (
        "at",
        "incarnation",
        "sequence",
        "echo_at",
        "stamp",
        "version",
        "roster",
        "bits",
        "digest",
        "unread",
        "acked",
        "reads_terse",
        "places",
        "own_bits",
        "is_refused",
    )

    def __init__(self, beat: Beat) -> None:
        self.at, self.is_refused = 0, False
        self.incarnation, self.sequence, self.version = beat.incarnation, 0, beat.version
        self.echo_at = self.stamp = self.digest = self.unread = None
        self.roster = self.bits = self.places = self.own_bits = None
        self.acked, self.reads_terse = 0, False

    @property
    def row(self) -> frozenset[str] | None:
        """The names it last told it reaches, or None."""
        return None if self.roster is None else self.roster.names_of(self.bits)

    def take_row(self, digest: bytes, bitmap: bytes, roster: Roster | None) -> bool:
        """Take a bitmap made for a roster, if that is known; tell whether the row changed."""
        self.digest = digest
        self.unread = bitmap if roster is None else None
        if roster is None:
            return False
        bits = roster.from_bitmap(bitmap)
        if self.bits == bits and self.roster.digest == digest:
            return False
        self.roster, self.bits, self.places = roster, bits, None
        return True

    def bits_over(self, orders: Orders) -> int:
        """Return the row as bits in another order."""
        if self.places is not orders.places:
            self.own_bits = orders.read(self.bits, self.roster.names, self.roster.places)
            self.places = orders.places
        return self.own_bits


class Beat:
    """One heartbeat as it came in; a terse one bears neither member record nor bitmap."""

    __slots__ = (
        "member",
        "name",
        "incarnation",
        "sequence",
        "digest",
        "bitmap",
        "stamp",
        "echo",
        "version",
        "reads_terse",
    )

    def __init__(
        self, data: bytes, versions: tuple[int, ...], known_members: dict[str, Member] | None = None
    ) -> None:
        """Read a datagram; whatever is no heartbeat raises BadWire."""
        try:
            self.version, fields = unpack(data, versions)
            if len(fields) == TERSE:
                self.name, self.incarnation, self.sequence, self.stamp, echo = fields
                self.member = self.digest = self.bitmap = None
            else:
                record, self.sequence, self.digest, self.bitmap, self.stamp, echo = fields
                self.member = read_member(record, known_members or {})
                self.name, self.incarnation = self.member.name, self.member.incarnation
            self.echo, self.reads_terse = None, False
            if echo is not None:
                self.echo = (int(echo[0]), int(echo[1]))
                if len(echo) > 2:
                    self.version = max(self.version, min(versions[-1], int(echo[2])))
                self.reads_terse = len(echo) > 3 and echo[3] == TERSE
        except (ValueError, TypeError, IndexError, KeyError, OverflowError) as error:
            raise BadWire(reason="beat") from error
        if not isinstance(self.sequence, int) or not is_stamp(self.stamp):
            raise BadWire(reason="beat")
        if self.member is None:
            if not isinstance(self.name, str) or not isinstance(self.incarnation, int):
                raise BadWire(reason="beat")
        elif not isinstance(self.bitmap, bytes) or not isinstance(self.digest, bytes):
            raise BadWire(reason="beat")


def read_member(record: list, known_members: dict[str, Member]) -> Member:
    """Return the member of a record: the known one when nothing of it changed."""
    known = known_members.get(record[0]) if len(record) == len(FIELDS) else None
    if known is not None and known.to_list() == record:
        return known
    return Member.from_list(record)


def is_stamp(stamp: Any) -> bool:
    """Tell whether a stamp is none, or ballot, index and identity of a store."""
    return stamp is None or (
        isinstance(stamp, list)
        and len(stamp) == 3
        and isinstance(stamp[1], int)
        and isinstance(stamp[2], str)
    )


def read_envelope(data: bytes, versions: tuple[int, ...]) -> list:
    """Return the envelope of a frame; whatever is none raises BadWire."""
    try:
        _, envelope = unpack(data, versions)
        origin, incarnation, sequence, target, hops_left, message = envelope
    except (ValueError, TypeError) as error:
        raise BadWire(reason="frame") from error
    is_message = isinstance(message, dict) and ("s" in message or "r" in message)
    numbers = (incarnation, sequence, hops_left)
    if not is_message or not all(isinstance(n, int) for n in numbers):
        raise BadWire(reason="frame")
    if not isinstance(origin, str) or not isinstance(target, str):
        raise BadWire(reason="frame")
    return envelope
