"""Progress of a core's election for a part, for operators and the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.quorum.values import NO_BALLOT

if TYPE_CHECKING:
    from collections.abc import Iterable
    from typing import Any

    from quillring.kernel.errors import QuillringError
    from quillring.kernel.node import Node
    from quillring.quorum.values import Ballot

PROMISES, STATE, ENTRIES, OWNED, ENDED = "promises", "state", "entries", "owned", "ended"


class ElectionProgress:
    """Progress of one term's election: phase, nodes waited for, bytes fetched, duration in seconds.

    The phases are `promises` (of a majority), `state` (fetched from a store), `entries` (of earlier
    terms, uncommitted), then `owned`: the core leads; `ended`: the election failed or the term is
    over.
    """

    __slots__ = (
        "node",
        "part",
        "ballot",
        "phase",
        "waits_for",
        "fetched_bytes",
        "began_at",
        "seconds",
    )

    def __init__(self, node: Node, part: str) -> None:
        self.node = node
        self.part = part
        self.ballot: Ballot = NO_BALLOT
        self.phase = ENDED
        self.waits_for: list[str] = []
        self.fetched_bytes = 0
        self.began_at = node.now()
        self.seconds = 0.0

    def enter(
        self, phase: str, waits_for: Iterable[str] = (), ballot: Ballot | None = None
    ) -> None:
        """Record that a phase began, and which nodes it waits for."""
        if ballot is not None:
            self.ballot = ballot
        self.phase, self.waits_for = phase, list(waits_for)
        fields = (self.part, self.ballot.number, phase, waits_for)
        self.node.log("debug", "election for %s, ballot %s: %s %s", *fields)

    def begin(self) -> None:
        """Record that the core begins an election."""
        self.began_at, self.fetched_bytes = self.node.now(), 0
        self.node.count("takeovers_begun")

    def succeed(self, index: int) -> None:
        """Record that the core leads the part, and the index of the last entry applied."""
        self.phase, self.waits_for = OWNED, []
        self.seconds = self.node.now() - self.began_at
        fields = (self.part, self.ballot.number, index, self.fetched_bytes, self.seconds)
        self.node.log(
            "warning", "won election for %s: ballot %s, index %s, %s bytes, %.2f s", *fields
        )

    def end(self, error: QuillringError) -> None:
        """Record that the term is over or the election failed, and log the error."""
        if self.phase == ENDED:
            return
        if self.phase != OWNED:
            self.seconds = self.node.now() - self.began_at
        fields = (self.part, self.ballot.number, self.phase, error)
        self.node.log("warning", "end of term for %s, ballot %s, while %s: %s", *fields)
        self.phase, self.waits_for = ENDED, []

    def to_json(self) -> dict[str, Any]:
        """Return the progress as operators see it."""
        is_under_way = self.phase not in (OWNED, ENDED)
        seconds = self.node.now() - self.began_at if is_under_way else self.seconds
        return {
            "core": self.node.me.name,
            "ballot": self.ballot.to_wire(),
            "phase": self.phase,
            "waits_for": self.waits_for,
            "bytes_fetched": self.fetched_bytes,
            "seconds": round(seconds, 2),
        }
