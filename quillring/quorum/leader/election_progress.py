"""Progress of a core's election for a part, as shown to operators and logged."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.quorum.values import NO_BALLOT

if TYPE_CHECKING:
    from collections.abc import Iterable
    from typing import Any

    from quillring.kernel.errors import QuillringError
    from quillring.kernel.node import Node
    from quillring.quorum.values import Ballot

PROMISES, STATE, ENTRIES, LEADING, ENDED = "promises", "state", "entries", "owned", "ended"


class ElectionProgress:
    """Progress of one term's election: phase, awaited nodes, bytes fetched, duration in seconds.

    The phases in their order are:

    - `promises`: waiting for the promises of a majority;
    - `state`: fetching the newest state from a store;
    - `entries`: committing the uncommitted entries of earlier terms;
    - `owned`: the core leads the part;
    - `ended`: the election failed, or the term is over. It is also the initial value.
    """

    __slots__ = (
        "node",
        "part",
        "ballot",
        "phase",
        "awaited_nodes",
        "fetched_bytes",
        "started_at",
        "seconds",
    )

    def __init__(self, node: Node, part: str) -> None:
        self.node = node
        self.part = part
        self.ballot: Ballot = NO_BALLOT
        self.phase = ENDED
        self.awaited_nodes: list[str] = []
        self.fetched_bytes = 0
        self.started_at = node.now()
        self.seconds = 0.0

    def enter(
        self, phase: str, awaited_nodes: Iterable[str] = (), ballot: Ballot | None = None
    ) -> None:
        """Record and log the start of a phase, and the nodes it waits for."""
        if ballot is not None:
            self.ballot = ballot
        self.phase, self.awaited_nodes = phase, list(awaited_nodes)
        fields = (self.part, self.ballot.number, phase, awaited_nodes)
        self.node.log("debug", "election for part %s, ballot %s: phase %s, waiting for %s", *fields)

    def begin(self) -> None:
        """Record the start of an election."""
        self.started_at, self.fetched_bytes = self.node.now(), 0
        self.node.count("takeovers_begun")

    def succeed(self, index: int) -> None:
        """Record and log that the core won the election, with its last applied index."""
        self.phase, self.awaited_nodes = LEADING, []
        self.seconds = self.node.now() - self.started_at
        fields = (self.part, self.ballot.number, index, self.fetched_bytes, self.seconds)
        self.node.log(
            "warning",
            "won election for %s: ballot %s, applied index %s, fetched %s bytes, took %.2f s",
            *fields,
        )

    def end(self, error: QuillringError) -> None:
        """Record that the election failed or the term is over, and log the error that ended it."""
        if self.phase == ENDED:
            return
        if self.phase != LEADING:
            self.seconds = self.node.now() - self.started_at
        fields = (self.part, self.ballot.number, self.phase, error)
        self.node.log("warning", "end of term for %s, ballot %s, in phase %s: %s", *fields)
        self.phase, self.awaited_nodes = ENDED, []

    def to_json(self) -> dict[str, Any]:
        """Return the progress in the form that is shown to operators."""
        is_under_way = self.phase not in (LEADING, ENDED)
        seconds = self.node.now() - self.started_at if is_under_way else self.seconds
        return {
            "core": self.node.me.name,
            "ballot": self.ballot.to_wire(),
            "phase": self.phase,
            "waits_for": self.awaited_nodes,
            "bytes_fetched": self.fetched_bytes,
            "seconds": round(seconds, 2),
        }
