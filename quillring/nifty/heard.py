"""What a node last heard from a cohort member, and the reading of heartbeats."""

from quillring.kernel.troubles import BadWire
from quillring.nifty.member import Member
from quillring.nifty.wire import unpack


class Heard:
    """What a node last heard from a cohort member."""

    __slots__ = ("at", "incarnation", "sequence", "row", "echoAt", "stamp", "version")

    def __init__(self, at, incarnation, sequence, version):
        self.at = at
        self.incarnation = incarnation
        self.sequence = sequence
        self.row = None
        self.echoAt = None
        self.stamp = None
        self.version = version


class Beat:
    """One heartbeat as it came in."""

    __slots__ = ("member", "sequence", "digest", "bitmap", "stamp", "echo", "version")

    def __init__(self, data, versions):
        """Read a datagram; whatever is no heartbeat raises BadWire."""
        try:
            self.version, fields = unpack(data, versions)
            record, self.sequence, self.digest, self.bitmap, self.stamp, echo = fields
            self.member = Member.from_list(record)
            self.echo = None if echo is None else (int(echo[0]), int(echo[1]))
            if echo is not None and len(echo) > 2:
                self.version = max(self.version, min(versions[-1], int(echo[2])))
        except (ValueError, TypeError, IndexError, KeyError, OverflowError) as error:
            raise BadWire(reason="beat") from error
        if not isinstance(self.sequence, int) or not isinstance(self.bitmap, bytes):
            raise BadWire(reason="beat")
        if not isinstance(self.digest, bytes) or not is_stamp(self.stamp):
            raise BadWire(reason="beat")


def is_stamp(stamp):
    """Tell whether a stamp is none, or ballot, index and identity of a store."""
    return stamp is None or (
        isinstance(stamp, list) and len(stamp) == 3 and isinstance(stamp[1], int)
        and isinstance(stamp[2], str)
    )


def read_envelope(data, versions):
    """Return the envelope of a frame; whatever is none raises BadWire."""
    try:
        _, envelope = unpack(data, versions)
        origin, incarnation, sequence, target, hopsLeft, message = envelope
    except (ValueError, TypeError) as error:
        raise BadWire(reason="frame") from error
    isMessage = isinstance(message, dict) and ("s" in message or "r" in message)
    numbers = (incarnation, sequence, hopsLeft)
    if not isMessage or not all(isinstance(n, int) for n in numbers):
        raise BadWire(reason="frame")
    if not isinstance(origin, str) or not isinstance(target, str):
        raise BadWire(reason="frame")
    return envelope
