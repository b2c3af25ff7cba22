"""The state of a store's acceptors as rows of a slot, each of bounded size, and back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.quorum.acceptor.state import AcceptorState
from quillring.quorum.snapshot_chunks import put_row, state_rows

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quillring.quorum.acceptor.acceptor import Acceptors


def to_rows(acceptors: Acceptors) -> list[list]:
    """Return all state as immutable rows; what changes later does not change them."""
    rows = [["store", acceptors.identity, acceptors.founding]]
    for name, records in acceptors.hints.items():
        rows.extend(["hint", name, record] for record in records)
    for name, record in acceptors.parts.items():
        promised, applied, state, tail, committed = record.to_list()
        rows.append(["part", name, [promised, applied, None, tail, committed]])
        rows.extend(["state", name, *fields] for fields in state_rows(state or {}))
    for name, fields in acceptors.transfers.to_map().items():
        ballot, index, (sections, rest, place) = fields
        rows.append(["arriving", name, [ballot, index, [{}, rest, place]]])
        rows.extend(["arrived", name, *fields] for fields in state_rows(sections))
    return rows


def load_rows(acceptors: Acceptors, rows: Iterable[list]) -> None:
    """Take the state of a slot."""
    parts, hints, arriving = {}, {}, {}
    for kind, name, *fields in rows:
        if kind == "store":
            acceptors.identity, acceptors.founding = name, fields[0]
        elif kind == "hint":
            hints.setdefault(name, []).append(fields[0])
        elif kind == "part":
            parts[name] = AcceptorState.from_list(fields[0])
        elif kind == "state":
            parts[name].state = parts[name].state or {}
            put_row(parts[name].state, fields)
        elif kind == "arriving":
            arriving[name] = fields[0]
        elif kind == "arrived":
            put_row(arriving[name][2][0], fields)
    acceptors.parts, acceptors.hints = parts, hints
    acceptors.transfers.load(arriving)


def load_whole(acceptors: Acceptors, snapshot: dict) -> None:
    """Take the state of a slot of the version before, which is one value."""
    acceptors.identity, acceptors.founding = snapshot["identity"], snapshot["founding"]
    acceptors.parts = {
        n: AcceptorState.from_list(fields) for n, fields in snapshot["parts"].items()
    }
    acceptors.hints = snapshot["hints"]
