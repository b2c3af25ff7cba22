"""Commands of the token quota: a lot's tokens are reserved in one part before it is accepted.

The reservations of a host's forwards are stored in the part that the host hashes to. A reservation
records the token count of a lot and a ticket. Tickets are fencing tokens, issued in increasing
order. The lot's own part accepts the lot with its ticket. FenceTickets makes that part permanently
refuse unknown lots with tickets of a reserving part up to a given one. After that, the reservation
of a lot that has not arrived can be released safely. See docs/raw-lots.md.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TypedDict

from quillring.kernel.errors import Conflict
from quillring.lots.http_requests import commands
from quillring.lots.http_requests.commands import (
    FenceTickets,
    PendingTokens,
    ReleaseTokens,
    ReserveTokens,
    Wire,
)
from quillring.lots.http_requests.lot_table import (
    QUOTA,
    State,
    lot_records,
    refusals_by_attempt,
    with_fence,
    with_refusal,
)
from quillring.lots.http_requests.state_machine import Answer, repeat_answer
from quillring.quorum.commands import COMMANDS


class Reservation(TypedDict):
    """The stored form of a lot's reservation; `left` is an upper bound of its pending tokens.

    `part` is the lot's own part.
    """

    forward: str
    part: str
    left: int
    digest: bytes
    ticket: int


class ForwardTokens(TypedDict):
    """The stored sum of a forward's reservations; `most` is its quota at the last reservation."""

    tokens: int
    most: int


class ReservationTable(TypedDict):
    """A part's reservations, stored under `raw_ledger`; `next` is the next ticket to issue."""

    next: int
    lots: dict[str, Reservation]
    forwards: dict[str, ForwardTokens]


def reservation_table(state: State) -> ReservationTable | None:
    """Return the reservation table of a part, None if it never reserved tokens."""
    table: ReservationTable | None = state.get("raw_ledger")
    return table


def reserved_lots(state: State) -> dict[str, Reservation]:
    """Return the reservations that a part stores, by lot."""
    table = reservation_table(state)
    return table["lots"] if table else {}


def reserved_tokens(state: State, forward: str) -> int:
    """Return the sum of the tokens reserved for a forward."""
    table = reservation_table(state)
    if not table or forward not in table["forwards"]:
        return 0
    return table["forwards"][forward]["tokens"]


def initial_reservation_table(state: State, part: str) -> ReservationTable:
    """Build a part's first table, with reservations for lots that a previous version accepted."""
    lots: dict[str, Reservation] = {}
    forwards: dict[str, ForwardTokens] = {}
    for key, lot in lot_records(state).items():
        if not lot["tokens"] or "ticket" in lot:
            continue
        lots[key] = {
            "forward": lot["forward"],
            "part": part,
            "ticket": 0,
            "left": lot["tokens"],
            "digest": lot["digest"],
        }
        current = forwards.get(lot["forward"], {"tokens": 0, "most": 0})
        forwards[lot["forward"]] = {**current, "tokens": current["tokens"] + lot["tokens"]}
    return {"next": 1, "lots": lots, "forwards": forwards}


def with_tokens(
    forwards: Mapping[str, ForwardTokens], forward: str, change: int, quota: int | None = None
) -> dict[str, ForwardTokens]:
    """Return the sums with one forward's sum changed by `change`, and removed if it becomes 0.

    `quota` is the forward's quota in tokens, or None to leave the stored one unchanged.
    """
    current = forwards.get(forward, {"tokens": 0, "most": 0})
    tokens = current["tokens"] + change
    if not tokens:
        return {name: total for name, total in forwards.items() if name != forward}
    return {
        **forwards,
        forward: {"tokens": tokens, "most": current["most"] if quota is None else quota},
    }


@COMMANDS.entry(commands.RESERVE)
def reserve_tokens(state: State, wire: Wire) -> tuple[State, Answer]:
    """Reserve the tokens of a lot, or answer that the quota of its forward is exceeded.

    A repeated reservation returns the same ticket, or a new one if the caller reports that ticket
    as fenced by the lot's own part. Raises Conflict for another lot of this name.
    """
    command = ReserveTokens.from_wire(wire)
    existing = lot_records(state).get(command.lot)
    if existing is not None:
        return state, repeat_answer(existing, command.digest)
    table = reservation_table(state) or initial_reservation_table(state, command.host_part)
    reservation = table["lots"].get(command.lot)
    if reservation is None:
        return _reserve_new(state, table, command)
    if reservation["digest"] != command.digest:
        raise Conflict(field="lot")
    if reservation["ticket"] != command.fenced_ticket:
        return state, {"ticket": reservation["ticket"]}
    return _with_next_ticket(state, table, table["forwards"], command.lot, reservation)


def _reserve_new(
    state: State, table: ReservationTable, command: ReserveTokens
) -> tuple[State, Answer]:
    """Reserve the tokens of a lot that has no reservation."""
    recorded_refusals = refusals_by_attempt(state)
    if command.attempt in recorded_refusals:
        return state, {"refused": recorded_refusals[command.attempt]}
    current = table["forwards"].get(command.forward)
    reserved = 0 if current is None else current["tokens"]
    if reserved + command.tokens > command.most_tokens:
        state = with_refusal({**state, "raw_ledger": table}, command.attempt, QUOTA)
        return state, {"refused": QUOTA}
    forwards = with_tokens(table["forwards"], command.forward, command.tokens, command.most_tokens)
    reservation: Reservation = {
        "forward": command.forward,
        "part": command.lot_part,
        "left": command.tokens,
        "digest": command.digest,
        "ticket": table["next"],
    }
    return _with_next_ticket(state, table, forwards, command.lot, reservation)


def _with_next_ticket(
    state: State,
    table: ReservationTable,
    forwards: dict[str, ForwardTokens],
    lot: str,
    reservation: Reservation,
) -> tuple[State, Answer]:
    """Return the state with the lot's reservation under the next ticket, and the answer."""
    ticket = table["next"]
    new_table: ReservationTable = {
        "next": ticket + 1,
        "lots": {**table["lots"], lot: {**reservation, "ticket": ticket}},
        "forwards": forwards,
    }
    return {**state, "raw_ledger": new_table}, {"ticket": ticket}


@COMMANDS.entry(commands.RELEASE)
def release_tokens(state: State, wire: Wire) -> tuple[State, Answer]:
    """Reduce reservations to the tokens that are still pending.

    Under one ticket a reservation never increases, and it is deleted at 0. Rows may therefore be
    repeated, delayed or out of order.
    """
    table = reservation_table(state)
    if table is None:
        return state, {"released": 0}
    lots, forwards, released = dict(table["lots"]), table["forwards"], 0
    for pending in ReleaseTokens.from_wire(wire).pending:
        reservation = lots.get(pending.lot)
        if reservation is None or not _reduces_reservation(reservation, pending):
            continue
        change = pending.tokens - reservation["left"]
        released -= change
        forwards = with_tokens(forwards, reservation["forward"], change)
        if pending.tokens:
            lots[pending.lot] = {**reservation, "left": pending.tokens}
        else:
            del lots[pending.lot]
    new_table: ReservationTable = {**table, "lots": lots, "forwards": forwards}
    return {**state, "raw_ledger": new_table}, {"released": released}


def _reduces_reservation(reservation: Reservation, pending: PendingTokens) -> bool:
    """Return whether a row has the reservation's ticket, and fewer tokens or none."""
    has_fewer_tokens = not pending.tokens or pending.tokens < reservation["left"]
    return reservation["ticket"] == pending.ticket and has_fewer_tokens


@COMMANDS.entry(commands.FENCE)
def fence_tickets(state: State, wire: Wire) -> tuple[State, Answer]:
    """Fence a reserving part's tickets: refuse unknown lots whose ticket is at most `ticket`.

    The answer contains the pending tokens of the known lots: {"left": {lot: tokens}}.
    """
    command = FenceTickets.from_wire(wire)
    fenced_state = with_fence(state, command.reserving_part, command.ticket)
    return fenced_state, {"left": tokens_left(state, command.lots)}


def tokens_left(state: State, keys: Iterable[str]) -> dict[str, int]:
    """Return the pending tokens of the lots that are known here, by lot."""
    lots = lot_records(state)
    return {key: lots[key]["tokens"] for key in keys if key in lots}
