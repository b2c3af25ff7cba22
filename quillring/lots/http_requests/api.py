"""Submit lots, read results and bodies, and end lots, at an edge.

An outcome that is not certain is raised as OutcomeUnknown, never as Refused.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

import cbor2

from quillring.kernel.errors import (
    Conflict,
    NotFound,
    NotFounded,
    OutcomeUnknown,
    QuillringError,
    Refused,
    TimedOut,
)
from quillring.lots.http_requests.commands import (
    AcceptLot,
    EndLot,
    QueryItemBody,
    QueryKnownLot,
    QueryResults,
    ReserveTokens,
)
from quillring.lots.http_requests.lot_placement import (
    LotPlacement,
    are_lots_spread,
    held_limit_of_part,
    in_either_part,
    place_of_lot,
)
from quillring.lots.http_requests.lot_table import (
    FENCED,
    HELD,
    MOVED,
    HeldTooMuch,
    QuotaExceeded,
    stored_tokens,
)
from quillring.lots.http_requests.messages import READ, HeldRead
from quillring.quorum.leader.follower_read import read_from_majority, unwrap_answer

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

RESULT_BYTES = 200_000
LONGEST_HOLD_SECONDS = 0.8
RETRY_AFTER_SECONDS = 0.5
DEFAULT_DUE_MS = 60_000
DEFAULT_RETAIN_MS = 3_600_000

# Shares of the read timeout.
KNOWN_LOT_SHARE = 0.4
LEADER_READ_SHARE = 0.4
LOG_READ_SHARE = 0.6
END_SHARE = 1.2


def submit_lot(
    node: Node,
    forward_name: str,
    lot_name: str,
    items: Sequence[Sequence[Any]],
    seconds: float | None = None,
) -> Coroutine:
    """Submit a lot; return the answer of its acceptance.

    Parameters
    ----------
    items
        Stored forms of `lot_table.Item`.
    seconds
        Timeout; by default the forward's latency goal and the read timeout together. It is at
        most the forward's own timeout.

    Raises NotFound for an unknown forward; QuotaExceeded, HeldTooMuch and Refused when no item
    will run; OutcomeUnknown when items may.
    """
    forward = node.find("forwards").find_by_name(forward_name)
    node.find("freshness").check()
    if forward is None or forward.kind != "lot":
        raise NotFound(field="forward")
    place = place_of_lot(node, forward.host, lot_name)
    command = acceptance_of(node, forward, place.key, items)
    if seconds is None:
        seconds = forward.latency_goal_seconds + node.bounds.read_timeout
    end_time = node.now() + min(seconds, forward.timeout_seconds)
    is_spread = are_lots_spread(node)
    if is_spread and command.most_tokens:
        answer = yield from accept_reserved(node, place, command, end_time)
    else:
        answer = yield from accept_unreserved(node, place, command, end_time, is_spread)
    refusal = answer.get("refused")
    if refusal is not None:
        node.count(f"raw_refused_{refusal}")
        error_type = HeldTooMuch if refusal == HELD else QuotaExceeded
        raise error_type(come_back_s=RETRY_AFTER_SECONDS)
    return answer


def acceptance_of(node: Node, forward: Any, key: str, items: Sequence[Sequence[Any]]) -> AcceptLot:
    """Return the command that accepts a lot of this forward, with a new random attempt name."""
    fields = forward.fields
    return AcceptLot(
        lot=key,
        forward=forward.name,
        host=fields["host"],
        items=items,
        digest=hashlib.sha256(cbor2.dumps([forward.name, items])).digest()[:16],
        attempt=f"{node.runtime.random.getrandbits(96):024x}",
        most_tokens=fields.get("most_tokens") or 0,
        submitted_at_ms=int(node.runtime.wall_time() * 1000),
        due_ms=fields.get("due_ms") or DEFAULT_DUE_MS,
        retain_ms=fields.get("retain_ms") or DEFAULT_RETAIN_MS,
        rounds=forward.max_attempts,
    )


def submit_until_sure(node: Node, part: str, command: dict[str, Any], seconds: float) -> Coroutine:
    """Submit an idempotent command, retrying for `seconds`.

    Raises Refused only when it certainly was not and will not be applied, OutcomeUnknown when it
    may be; definite errors such as Conflict pass through.
    """
    ownership, bounds = node.find("ownership"), node.bounds
    end_time, is_unsure = node.now() + seconds, False
    while True:
        window_end = min(end_time, node.now() + bounds.call_timeout)
        try:
            return (yield from ownership.submit(part, command, window_end - node.now()))
        except (OutcomeUnknown, TimedOut):
            is_unsure = True
        except Refused:
            is_final = node.now() < window_end or node.now() >= end_time
            if is_final and not is_unsure:
                raise
            if is_final:
                break
        if node.now() >= end_time:
            break
    raise OutcomeUnknown(part=part, reason="hand it in again under the same name")


def accept_reserved(
    node: Node, place: LotPlacement, command: AcceptLot, end_time: float
) -> Coroutine:
    """Reserve the lot's tokens in its home part, then submit it to its own part.

    If the ticket was fenced meanwhile, a new one is reserved. Where the quota has no room, the lot
    may still be one that was accepted before.
    """
    command = command._replace(most_held_bytes=held_limit_of_part(node))
    reserve = reservation_of(place, command)
    while True:
        reserved = yield from try_to_reserve(node, place, reserve, command, end_time)
        ticket = reserved.get("ticket")
        if ticket is None:
            return reserved
        accept = command._replace(reserving_part=place.home, ticket=ticket)
        answer = yield from submit_until_sure(
            node, place.own, accept.to_wire(), end_time - node.now()
        )
        if answer.get("refused") != FENCED:
            return answer
        node.count("raw_accepts_fenced")
        reserve = reserve._replace(fenced_ticket=ticket)
        if node.now() >= end_time:
            raise Refused(reason="the reservation ran out", part=place.own)


def reservation_of(place: LotPlacement, command: AcceptLot) -> ReserveTokens:
    """Return the command that reserves a lot's tokens."""
    return ReserveTokens(
        lot_part=place.own,
        host_part=place.home,
        tokens=sum(map(stored_tokens, command.items)),
        fenced_ticket=None,
        lot=command.lot,
        forward=command.forward,
        digest=command.digest,
        attempt=command.attempt,
        most_tokens=command.most_tokens,
    )


def try_to_reserve(
    node: Node,
    place: LotPlacement,
    reserve: ReserveTokens,
    command: AcceptLot,
    end_time: float,
) -> Coroutine:
    """Return an answer with a ticket, or the final one: refused, or accepted before.

    Nothing has been submitted to the lot's part yet, so an unknown outcome of this step is raised
    as Refused.
    """
    try:
        reserved = yield from submit_until_sure(
            node, place.home, reserve.to_wire(), end_time - node.now()
        )
    except OutcomeUnknown as error:
        raise Refused(reason="no reservation", part=place.home) from error
    except Conflict as error:
        known = yield from find_accepted(node, place.own, command)
        if known is None:
            reason = "another lot of this name is reserved"
            raise Refused(reason=reason, part=place.home) from error
        return known
    if reserved.get("refused") is not None:
        known = yield from find_accepted(node, place.own, command)
        return known or reserved
    return reserved


def accept_unreserved(
    node: Node, place: LotPlacement, command: AcceptLot, end_time: float, is_spread: bool
) -> Coroutine:
    """Accept a lot of a forward without quota, or while some member is of a former version.

    No tokens are reserved, so the other part that may already have the lot is asked first.
    """
    part, other = (place.own, place.home) if is_spread else (place.home, place.own)
    known = None if part == other else (yield from find_accepted(node, other, command))
    if known is not None:
        return known
    accept = command._replace(most_held_bytes=held_limit_of_part(node)) if is_spread else command
    answer = yield from submit_until_sure(node, part, accept.to_wire(), end_time - node.now())
    if answer.get("refused") == MOVED:
        return (yield from accept_reserved(node, place, command, end_time))
    return answer


def find_accepted(node: Node, part: str, command: AcceptLot) -> Coroutine:
    """Return the answer to a lot that a part accepted before, None where it certainly did not.

    Raises Refused where the part can't be read.
    """
    query = QueryKnownLot(command.lot, command.digest)
    seconds = node.bounds.read_timeout * KNOWN_LOT_SHARE
    try:
        return (yield from read_surely(node, part, query.to_wire(), seconds))
    except NotFound:
        return None


def read_results(
    node: Node, host: str, lot_name: str, start: int, hold_seconds: float = 0.0
) -> Coroutine:
    """Return {"items", "results", "next", "is_over"} from a position on, by long polling.

    The call waits up to `hold_seconds`, at most LONGEST_HOLD_SECONDS, for a first result. Raises
    NotFound only for a lot that certainly does not exist, Refused when it can't be read.
    """
    place = place_of_lot(node, host, lot_name)
    query = QueryResults(place.key, start, RESULT_BYTES).to_wire()
    read = HeldRead(query, min(hold_seconds, LONGEST_HOLD_SECONDS))
    return (yield from in_either_part(place, lambda part: read_held(node, part, read)))


def read_held(node: Node, part: str, read: HeldRead) -> Coroutine:
    """Long-poll the part's leader; if that fails, read from a majority of its stores."""
    ownership, bounds = node.find("ownership"), node.bounds
    leader_seconds = read.hold_seconds + bounds.read_timeout * LEADER_READ_SHARE
    try:
        return (yield from ownership.call_leader(part, READ, read.to_wire(), leader_seconds))
    except NotFound:
        raise
    except QuillringError as error:
        node.count("raw_reads_elsewhere")
        node.log("debug", "raw.read %s: %s", part, error)
    known = yield from read_from_majority(node, part, ownership.group(part), read.query)
    if known is not None:
        return unwrap_answer(known)
    return (yield from read_surely(node, part, read.query, bounds.read_timeout * LOG_READ_SHARE))


def read_surely(node: Node, part: str, query: dict[str, Any], seconds: float) -> Coroutine:
    """Read a part; raise Refused for any failure that is not a definite answer."""
    try:
        return (yield from node.find("ownership").read(part, query, seconds))
    except (Conflict, NotFound, NotFounded, Refused):
        raise
    except QuillringError as error:
        raise Refused(reason=error.kind, part=part) from error


def read_item_body(node: Node, host: str, lot_name: str, item_id: str) -> Coroutine:
    """Return the body of an item without a result, as bytes."""
    place = place_of_lot(node, host, lot_name)
    query = QueryItemBody(place.key, item_id).to_wire()
    seconds = node.bounds.read_timeout
    answer = yield from in_either_part(place, lambda part: read_surely(node, part, query, seconds))
    return answer["body"]


def end_lot(node: Node, host: str, lot_name: str) -> Coroutine:
    """End a lot, idempotently."""
    place = place_of_lot(node, host, lot_name)
    command = EndLot(place.key).to_wire()
    seconds = node.bounds.read_timeout * END_SHARE
    return (
        yield from in_either_part(
            place, lambda part: submit_until_sure(node, part, command, seconds)
        )
    )
