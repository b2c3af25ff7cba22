"""A journaled stream: its request, the pieces received so far, and the term that may append."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.edge.journal_messages import Term

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

STREAM_OVERHEAD_BYTES = 512


class JournaledStream:
    """The copy of a journaled stream on one node.

    `size` is an estimate of its memory use in bytes that counts one byte per character. `backup` is
    the name of the node with the second copy, or None.
    """

    __slots__ = (
        "name",
        "request",
        "client_name",
        "pieces",
        "has_ended",
        "term",
        "last_used_at",
        "backup",
        "size",
        "is_running",
    )

    def __init__(
        self,
        name: str,
        request: dict[str, Any],
        client_name: str,
        now: float,
        term: Iterable[Any] = (1, ""),
    ) -> None:
        self.name = name
        self.request = request
        self.client_name = client_name
        self.pieces: list[str] = []
        self.has_ended = False
        self.term = Term(*term)
        self.last_used_at = now
        self.backup: str | None = None
        self.size: int = STREAM_OVERHEAD_BYTES + len(request.get("prompt", ""))
        self.is_running = False

    def replace_from(self, start: int, pieces: Sequence[str]) -> None:
        """Replace the pieces from index `start` on."""
        if start < len(self.pieces):
            self.size -= sum(map(len, self.pieces[start:]))
        self.pieces[start:] = pieces
        for piece in pieces:
            self.size += len(piece)

    def copy_with_term(self, now: float, term: Term) -> JournaledStream:
        """Return a copy of the stream under a later term."""
        stream = JournaledStream(self.name, self.request, self.client_name, now, term)
        stream.replace_from(0, self.pieces)
        stream.has_ended = self.has_ended
        return stream
