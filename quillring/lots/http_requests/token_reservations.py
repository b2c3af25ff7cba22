"""Commands of the quota: tokens of a forward are reserved in one part before a lot is accepted.

The reservations of a host's forwards are kept in the part that the host hashes to. A reservation
has the tokens of a lot and a ticket, which is a fencing token: tickets only grow. The lot's own
part accepts a lot under its ticket. FenceTickets makes it refuse permanently all unknown lots with
tickets of a reserving part up to a given one; after that the reservation of a lot that did not
arrive can be released safely. See docs/raw-lots.md.
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
    refusals,
    with_fence,
    with_refusal,
)
from quillring.lots.http_requests.state_machine import Answer, repeat_answer
from quillring.quorum.commands import COMMANDS


class Reservation(TypedDict):
    """The tokens reserved for a lot, in the state; `left` bounds those still pending."""

    forward: str
    part: str
    left: int
    digest: bytes
    ticket: int


class ForwardTokens(TypedDict):
    """The sum reserved for a forward, in the state, and its quota as of the last reservation."""

    tokens: int
    most: int


class ReservationTable(TypedDict):
    """A part's reservations, under `raw_ledger` in the state; `next` is the next ticket."""

    next: int
    lots: dict[str, Reservation]
    forwards: dict[str, ForwardTokens]


def reservation_table(state: State) -> ReservationTable | None:
    """Return the reservation table of a part, None where it never had one."""
    table: ReservationTable | None = state.get("raw_ledger")
    return table


def reserved_lots(state: State) -> dict[str, Reservation]:
    """Return the reservations of a part by lot."""
    table = reservation_table(state)
    return table["lots"] if table else {}


def reserved_tokens(state: State, forward: str) -> int:
    """Return the tokens that are reserved for a forward."""
    table = reservation_table(state)
    if not table or forward not in table["forwards"]:
        return 0
    return table["forwards"][forward]["tokens"]


def first_table(state: State, part: str) -> ReservationTable:
    """Return the first table of a part, with reservations for lots of a former version."""
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
        known = forwards.get(lot["forward"], {"tokens": 0, "most": 0})
        forwards[lot["forward"]] = {**known, "tokens": known["tokens"] + lot["tokens"]}
    return {"next": 1, "lots": lots, "forwards": forwards}


def with_tokens(
    forwards: Mapping[str, ForwardTokens], forward: str, change: int, most: int | None = None
) -> dict[str, ForwardTokens]:
    """Return the sums with one forward's changed by `change`; zero sums are left out."""
    known = forwards.get(forward, {"tokens": 0, "most": 0})
    tokens = known["tokens"] + change
    if not tokens:
        return {name: total for name, total in forwards.items() if name != forward}
    return {
        **forwards,
        forward: {"tokens": tokens, "most": known["most"] if most is None else most},
    }


@COMMANDS.entry(commands.RESERVE)
def reserve_tokens(state: State, wire: Wire) -> tuple[State, Answer]:
    """Reserve the tokens of a lot, or answer that its forward's quota is exceeded.

    A repeated reservation keeps its ticket, unless the caller names that ticket as fenced by the
    lot's own part: then it gets a new one. Raises Conflict for another lot of this name.
    """
    command = ReserveTokens.from_wire(wire)
    known = lot_records(state).get(command.lot)
    if known is not None:
        return state, repeat_answer(known, command.digest)
    table = reservation_table(state) or first_table(state, command.host_part)
    reservation = table["lots"].get(command.lot)
    if reservation is None:
        return _reserve_anew(state, table, command)
    if reservation["digest"] != command.digest:
        raise Conflict(field="lot")
    if reservation["ticket"] != command.fenced_ticket:
        return state, {"ticket": reservation["ticket"]}
    return _with_next_ticket(state, table, table["forwards"], command.lot, reservation)


def _reserve_anew(
    state: State, table: ReservationTable, command: ReserveTokens
) -> tuple[State, Answer]:
    """Reserve the tokens of a lot that has no reservation."""
    kept_refusals = refusals(state)
    if command.attempt in kept_refusals:
        return state, {"refused": kept_refusals[command.attempt]}
    known = table["forwards"].get(command.forward)
    reserved = 0 if known is None else known["tokens"]
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
    """Return the state in which the lot's reservation has the next ticket, and the answer."""
    ticket = table["next"]
    new_table: ReservationTable = {
        "next": ticket + 1,
        "lots": {**table["lots"], lot: {**reservation, "ticket": ticket}},
        "forwards": forwards,
    }
    return {**state, "raw_ledger": new_table}, {"ticket": ticket}


@COMMANDS.entry(commands.RELEASE)
def release_tokens(state: State, wire: Wire) -> tuple[State, Answer]:
    """Lower reservations to the tokens still pending.

    Under one ticket a reservation only ever falls, and it is deleted at 0. So rows may be repeated,
    delayed or out of order.
    """
    table = reservation_table(state)
    if table is None:
        return state, {"released": 0}
    lots, forwards, released = dict(table["lots"]), table["forwards"], 0
    for pending in ReleaseTokens.from_wire(wire).pending:
        reservation = lots.get(pending.lot)
        if reservation is None or not _lowers(reservation, pending):
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


def _lowers(reservation: Reservation, pending: PendingTokens) -> bool:
    """Return whether a row has this reservation's ticket and lowers it, or clears it."""
    is_less = not pending.tokens or pending.tokens < reservation["left"]
    return reservation["ticket"] == pending.ticket and is_less


@COMMANDS.entry(commands.FENCE)
def fence_tickets(state: State, wire: Wire) -> tuple[State, Answer]:
    """Fence a reserving part's tickets: refuse every unknown lot with one up to `ticket`.

    Answers the pending tokens of the known lots: {lot: tokens}.
    """
    command = FenceTickets.from_wire(wire)
    fenced_state = with_fence(state, command.reserving_part, command.ticket)
    return fenced_state, {"left": tokens_left(state, command.lots)}


def tokens_left(state: State, keys: Iterable[str]) -> dict[str, int]:
    """Return the tokens of the items without a result, by lot, of those lots that are known."""
    lots = lot_records(state)
    return {key: lots[key]["tokens"] for key in keys if key in lots}
