"""What a node last received from a peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quillring.nifty.bits import BitPermutations
    from quillring.nifty.roster import Roster
    from quillring.nifty.wire import Heartbeat, Stamp


class PeerState:
    """What a node last received from a peer.

    Its row of the connectivity matrix is stored as the peer sent it: bits over the names of the
    roster they were made for. A bitmap for an unknown roster is pending until that is known.

    Attributes
    ----------
    heard_at : when its last heartbeat was received, in seconds of this node
    incarnation, sequence : those of its last heartbeat
    echoed_at : when the newest of this node's heartbeats that it echoed was sent, None for none
    stamp : freshness stamp of its store, or None
    version : newest version of the wire format that both speak
    roster, bits : its row, and the roster whose names the bits stand for; None for no row yet
    digest, unread_bitmap : digest of its roster, and a bitmap whose roster is not known here yet
    acked_sequence : the last round of this node's heartbeats that it echoed, 0 for none
    reads_terse : whether it reads terse heartbeats
    places, reordered_bits : its row in the order of the present roster, made when asked for
    is_refused : a connection to it was refused, and no heartbeat was received since
    """

    __slots__ = (
        "heard_at",
        "incarnation",
        "sequence",
        "echoed_at",
        "stamp",
        "version",
        "roster",
        "bits",
        "digest",
        "unread_bitmap",
        "acked_sequence",
        "reads_terse",
        "places",
        "reordered_bits",
        "is_refused",
    )

    def __init__(self, heartbeat: Heartbeat) -> None:
        self.heard_at: float = 0
        self.is_refused = False
        self.incarnation = heartbeat.incarnation
        self.sequence = 0
        self.version = heartbeat.version
        self.echoed_at: float | None = None
        self.stamp: Stamp | None = None
        self.digest: bytes | None = None
        self.unread_bitmap: bytes | None = None
        self.roster: Roster | None = None
        self.bits = 0
        self.places: dict[str, int] | None = None
        self.reordered_bits = 0
        self.acked_sequence = 0
        self.reads_terse = False

    @property
    def neighbour_names(self) -> frozenset[str] | None:
        """The names that it last reported as reached, or None."""
        return None if self.roster is None else self.roster.names_of(self.bits)

    def take_bitmap(self, digest: bytes, bitmap: bytes, roster: Roster | None) -> bool:
        """Store a bitmap, pending if its roster is None; return whether the row changed."""
        self.digest = digest
        self.unread_bitmap = bitmap if roster is None else None
        if roster is None:
            return False
        bits = roster.from_bitmap(bitmap)
        if self.roster is not None and self.bits == bits and self.roster.digest == digest:
            return False
        self.roster, self.bits, self.places = roster, bits, None
        return True

    def bits_in_order(self, permutations: BitPermutations) -> int:
        """Return the row as bits in the order of another roster, 0 for no row."""
        if self.roster is not None and self.places is not permutations.places:
            names, places = self.roster.names, self.roster.places
            self.reordered_bits = permutations.read(self.bits, names, places)
            self.places = permutations.places
        return self.reordered_bits
