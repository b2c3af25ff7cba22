"""Messages of the stream journal and their wire format."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quillring.kernel.records import NamedTuple

if TYPE_CHECKING:
    from quillring.edge.journaled_stream import JournaledStream


class Term(NamedTuple):
    """The right to append to a stream: a later term fences earlier ones.

    Terms compare by number, then by the name of the node that runs the stream.
    """

    number: int
    node_name: str

    @classmethod
    def from_wire(cls, row: list[Any]) -> Term:
        """Read a term from a row [number, node name]."""
        number, node_name = row
        return cls(number, node_name)


class AppendRequest(NamedTuple):
    """Pieces of a stream from index `start` on, for its backup.

    `append_body` builds the body without this tuple, since a request is sent for each piece.
    """

    stream_name: str
    request: dict[str, Any]
    client_name: str
    start: int
    pieces: list[str]
    has_ended: bool
    term: Term

    @classmethod
    def from_wire(cls, body: dict[str, Any]) -> AppendRequest:
        """Read the request from a body of `journal.append`."""
        return cls(
            body["stream"],
            body["inquiry"],
            body["sender"],
            body["from"],
            body["pieces"],
            body["ended"],
            Term(*body["round"]),
        )


def append_body(stream: JournaledStream, start: int) -> dict[str, Any]:
    """Return the body of `journal.append` with the pieces of a stream from index `start` on."""
    return {
        "stream": stream.name,
        "inquiry": stream.request,
        "sender": stream.client_name,
        "from": start,
        "pieces": stream.pieces[start:],
        "ended": stream.has_ended,
        "round": list(stream.term),
    }


class StreamQuery(NamedTuple):
    """The request of `journal.find`, or of `journal.claim` if it has a term."""

    stream_name: str
    client_name: str
    term: Term | None = None

    def to_wire(self) -> dict[str, Any]:
        """Return the body of `journal.find`, or of `journal.claim` if it has a term."""
        body: dict[str, Any] = {"stream": self.stream_name, "sender": self.client_name}
        if self.term is not None:
            body["round"] = list(self.term)
        return body

    @classmethod
    def from_wire(cls, body: dict[str, Any]) -> StreamQuery:
        """Read the query from a body of `journal.find` or `journal.claim`."""
        term = Term.from_wire(body["round"]) if "round" in body else None
        return cls(body["stream"], body["sender"], term)


class FindReply(NamedTuple):
    """The reply to `journal.find`; nodes of the previous version omit the route."""

    term: Term
    piece_count: int
    route_name: str | None

    def to_wire(self) -> list[Any]:
        """Return the reply as a row [term, piece count, route]."""
        return [list(self.term), self.piece_count, self.route_name]

    @classmethod
    def from_wire(cls, row: list[Any]) -> FindReply:
        """Read the reply from a row with or without a route."""
        term, piece_count, *routes = row
        return cls(Term.from_wire(term), piece_count, routes[0] if routes else None)


class ClaimReply(NamedTuple):
    """The reply to `journal.claim`: a copy of the stream with its previous term."""

    request: dict[str, Any]
    pieces: list[str]
    has_ended: bool
    term: Term

    def to_wire(self) -> list[Any]:
        """Return the reply as a row [request, pieces, has ended, term]."""
        return [self.request, self.pieces, self.has_ended, list(self.term)]

    @classmethod
    def from_wire(cls, row: list[Any]) -> ClaimReply:
        """Read the reply from a row [request, pieces, has ended, term]."""
        request, pieces, has_ended, term = row
        return cls(request, pieces, has_ended, Term.from_wire(term))
