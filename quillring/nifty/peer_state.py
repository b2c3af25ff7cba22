"""The state that a node records for a peer, from the heartbeats received."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quillring.nifty.bits import BitPermutations
    from quillring.nifty.roster import Roster
    from quillring.nifty.wire import Heartbeat, Stamp


class PeerState:
    """What a node last received from a peer.

    The peer's row of the connectivity matrix is stored as sent: bits over the names of the roster
    that the peer used. A bitmap for an unknown roster is pending until that roster is known.

    Attributes
    ----------
    heard_at : when its last heartbeat was received, in seconds on this node's clock
    incarnation, sequence : incarnation and sequence number of its last heartbeat
    echoed_at : when the newest heartbeat that it echoed was sent by this node; None for none
    stamp : freshness stamp of its store, or None
    version : newest wire version that both sides support
    roster, bits : its row, and the roster that the bits refer to; None if there is no row yet
    digest, pending_bitmap : digest of its roster, and a bitmap whose roster is not yet known here
    acknowledged_sequence : last round of this node's heartbeats that it echoed, 0 for none
    reads_terse : whether it can read terse heartbeats
    positions, reordered_bits : cached row in the order of the current roster
    is_refused : whether a connection to it was refused since its last heartbeat
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
        "pending_bitmap",
        "acknowledged_sequence",
        "reads_terse",
        "positions",
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
        self.pending_bitmap: bytes | None = None
        self.roster: Roster | None = None
        self.bits = 0
        self.positions: dict[str, int] | None = None
        self.reordered_bits = 0
        self.acknowledged_sequence = 0
        self.reads_terse = False

    @property
    def neighbour_names(self) -> frozenset[str] | None:
        """The names that the peer last reported as reached, or None if it has no row yet."""
        return None if self.roster is None else self.roster.names_of(self.bits)

    def store_bitmap(self, digest: bytes, bitmap: bytes, roster: Roster | None) -> bool:
        """Store a bitmap, as pending if its roster is None; return whether the row changed."""
        self.digest = digest
        self.pending_bitmap = bitmap if roster is None else None
        if roster is None:
            return False
        bits = roster.from_bitmap(bitmap)
        if self.roster is not None and self.bits == bits and self.roster.digest == digest:
            return False
        self.roster, self.bits, self.positions = roster, bits, None
        return True

    def reordered_row(self, permutations: BitPermutations) -> int:
        """Return the row as bits in the order of another roster, 0 if there is no row."""
        if self.roster is not None and self.positions is not permutations.positions:
            names, positions = self.roster.names, self.roster.positions
            self.reordered_bits = permutations.reorder(self.bits, names, positions)
            self.positions = permutations.positions
        return self.reordered_bits
