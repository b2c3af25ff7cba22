"""The edge's operations on lots: submit a lot, read results and item bodies, end a lot.

Refused means that an operation certainly had no effect; an uncertain outcome raises
OutcomeUnknown.
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
    in_own_or_home_part,
    max_held_bytes_of_part,
    placement_of_lot,
)
from quillring.lots.http_requests.lot_table import (
    FENCED,
    HELD,
    MOVED,
    HeldTooMuch,
    QuotaExceeded,
    stored_tokens,
)
from quillring.lots.http_requests.messages import READ, LongPollRead
from quillring.quorum.leader.follower_read import read_from_majority, unwrap_answer

if TYPE_CHECKING:
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

MAX_RESULT_PAGE_BYTES = 200_000
MAX_LONG_POLL_SECONDS = 0.8
RETRY_AFTER_SECONDS = 0.5
DEFAULT_DUE_MS = 60_000
DEFAULT_RETAIN_MS = 3_600_000

# Timeouts of single steps, as shares of the read timeout.
KNOWN_LOT_TIMEOUT_SHARE = 0.4
LEADER_READ_TIMEOUT_SHARE = 0.4
FALLBACK_READ_TIMEOUT_SHARE = 0.6
END_TIMEOUT_SHARE = 1.2


def submit_lot(
    node: Node,
    forward_name: str,
    lot_name: str,
    items: Sequence[Sequence[Any]],
    seconds: float | None = None,
) -> Coroutine:
    """Submit a lot; return the answer to the command that accepted it.

    Parameters
    ----------
    items
        Stored forms of `lot_table.Item`.
    seconds
        Timeout, by default the sum of the forward's latency goal and the read timeout. It is
        capped at the forward's own timeout.

    Raises NotFound for an unknown forward; QuotaExceeded, HeldTooMuch or Refused if no item will
    run; OutcomeUnknown if items may run.
    """
    forward = node.find("forwards").find_by_name(forward_name)
    node.find("freshness").check()
    if forward is None or forward.kind != "lot":
        raise NotFound(field="forward")
    placement = placement_of_lot(node, forward.host, lot_name)
    command = new_accept_command(node, forward, placement.key, items)
    if seconds is None:
        seconds = forward.latency_goal_seconds + node.bounds.read_timeout
    deadline = node.now() + min(seconds, forward.timeout_seconds)
    is_spread = are_lots_spread(node)
    if is_spread and command.most_tokens:
        answer = yield from accept_with_reservation(node, placement, command, deadline)
    else:
        answer = yield from accept_without_reservation(
            node, placement, command, deadline, is_spread
        )
    refusal = answer.get("refused")
    if refusal is not None:
        node.count(f"raw_refused_{refusal}")
        error_type = HeldTooMuch if refusal == HELD else QuotaExceeded
        raise error_type(come_back_s=RETRY_AFTER_SECONDS)
    return answer


def new_accept_command(
    node: Node, forward: Any, key: str, items: Sequence[Sequence[Any]]
) -> AcceptLot:
    """Build the command that accepts a lot of this forward, with a random attempt name."""
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
        max_attempts=forward.max_attempts,
    )


def submit_with_retries(
    node: Node, part: str, command: dict[str, Any], seconds: float
) -> Coroutine:
    """Submit an idempotent command, retrying for `seconds`.

    Raises Refused only if the command certainly was not and will not be applied, and
    OutcomeUnknown if it may be. Definite errors such as Conflict are propagated.
    """
    ownership, bounds = node.find("ownership"), node.bounds
    deadline, may_be_applied = node.now() + seconds, False
    while True:
        window_end = min(deadline, node.now() + bounds.call_timeout)
        try:
            return (yield from ownership.submit(part, command, window_end - node.now()))
        except (OutcomeUnknown, TimedOut):
            may_be_applied = True
        except Refused:
            is_final = node.now() < window_end or node.now() >= deadline
            if is_final and not may_be_applied:
                raise
            if is_final:
                break
        if node.now() >= deadline:
            break
    raise OutcomeUnknown(part=part, reason="hand it in again under the same name")


def accept_with_reservation(
    node: Node, placement: LotPlacement, command: AcceptLot, deadline: float
) -> Coroutine:
    """Reserve the lot's tokens in its home part, then submit the lot to its own part.

    If the lot's part fenced the ticket in the meantime, a new one is requested. A lot that
    exceeds the quota may have been accepted earlier; then that answer is returned.
    """
    command = command._replace(max_held_bytes=max_held_bytes_of_part(node))
    reserve = new_reserve_command(placement, command)
    while True:
        reserved = yield from reserve_or_find_accepted(node, placement, reserve, command, deadline)
        ticket = reserved.get("ticket")
        if ticket is None:
            return reserved
        accept = command._replace(reserving_part=placement.home, ticket=ticket)
        answer = yield from submit_with_retries(
            node, placement.own, accept.to_wire(), deadline - node.now()
        )
        if answer.get("refused") != FENCED:
            return answer
        node.count("raw_accepts_fenced")
        reserve = reserve._replace(fenced_ticket=ticket)
        if node.now() >= deadline:
            raise Refused(reason="the reservation ran out", part=placement.own)


def new_reserve_command(placement: LotPlacement, command: AcceptLot) -> ReserveTokens:
    """Build the command that reserves a lot's tokens."""
    return ReserveTokens(
        lot_part=placement.own,
        host_part=placement.home,
        tokens=sum(map(stored_tokens, command.items)),
        fenced_ticket=None,
        lot=command.lot,
        forward=command.forward,
        digest=command.digest,
        attempt=command.attempt,
        most_tokens=command.most_tokens,
    )


def reserve_or_find_accepted(
    node: Node,
    placement: LotPlacement,
    reserve: ReserveTokens,
    command: AcceptLot,
    deadline: float,
) -> Coroutine:
    """Return an answer with a ticket, or a final answer: refused, or accepted earlier.

    Nothing has been submitted to the lot's part yet, so if the outcome of this step is unknown,
    Refused is raised.
    """
    try:
        reserved = yield from submit_with_retries(
            node, placement.home, reserve.to_wire(), deadline - node.now()
        )
    except OutcomeUnknown as error:
        raise Refused(reason="no reservation", part=placement.home) from error
    except Conflict as error:
        accepted = yield from find_accepted_lot(node, placement.own, command)
        if accepted is None:
            reason = "another lot of this name is reserved"
            raise Refused(reason=reason, part=placement.home) from error
        return accepted
    if reserved.get("refused") is not None:
        accepted = yield from find_accepted_lot(node, placement.own, command)
        return accepted or reserved
    return reserved


def accept_without_reservation(
    node: Node, placement: LotPlacement, command: AcceptLot, deadline: float, is_spread: bool
) -> Coroutine:
    """Accept a lot without reserving tokens.

    Used for a forward without a quota, and while some member runs a previous version. The other
    part that may have accepted this lot is queried first.
    """
    part, other = (placement.own, placement.home) if is_spread else (placement.home, placement.own)
    accepted = None if part == other else (yield from find_accepted_lot(node, other, command))
    if accepted is not None:
        return accepted
    accept = command._replace(max_held_bytes=max_held_bytes_of_part(node)) if is_spread else command
    answer = yield from submit_with_retries(node, part, accept.to_wire(), deadline - node.now())
    if answer.get("refused") == MOVED:
        return (yield from accept_with_reservation(node, placement, command, deadline))
    return answer


def find_accepted_lot(node: Node, part: str, command: AcceptLot) -> Coroutine:
    """Return the answer to a lot that a part accepted earlier, None if it certainly did not.

    Raises Refused if the part can't be read, and Conflict if it accepted another lot of this name.
    """
    query = QueryKnownLot(command.lot, command.digest)
    seconds = node.bounds.read_timeout * KNOWN_LOT_TIMEOUT_SHARE
    try:
        return (yield from read_or_refuse(node, part, query.to_wire(), seconds))
    except NotFound:
        return None


def read_results(
    node: Node, host: str, lot_name: str, start: int, max_wait_seconds: float = 0.0
) -> Coroutine:
    """Return {"items", "results", "next", "is_over"} with the results from position `start` on.

    Long-polls up to `max_wait_seconds`, capped at MAX_LONG_POLL_SECONDS, for a first result.
    Raises NotFound only for a lot that certainly does not exist, Refused if it can't be read.
    """
    placement = placement_of_lot(node, host, lot_name)
    query = QueryResults(placement.key, start, MAX_RESULT_PAGE_BYTES).to_wire()
    read = LongPollRead(query, min(max_wait_seconds, MAX_LONG_POLL_SECONDS))
    return (
        yield from in_own_or_home_part(placement, lambda part: read_by_long_poll(node, part, read))
    )


def read_by_long_poll(node: Node, part: str, read: LongPollRead) -> Coroutine:
    """Long-poll the part's leader; if that fails, read from a majority of the part's stores.

    If the replies of the majority determine no answer, the part is read once more.
    """
    ownership, bounds = node.find("ownership"), node.bounds
    leader_seconds = read.max_wait_seconds + bounds.read_timeout * LEADER_READ_TIMEOUT_SHARE
    try:
        return (yield from ownership.call_leader(part, READ, read.to_wire(), leader_seconds))
    except NotFound:
        raise
    except QuillringError as error:
        node.count("raw_reads_elsewhere")
        node.log("debug", "long poll of the leader of %s failed: %s", part, error)
    majority_answer = yield from read_from_majority(node, part, ownership.group(part), read.query)
    if majority_answer is not None:
        return unwrap_answer(majority_answer)
    return (
        yield from read_or_refuse(
            node, part, read.query, bounds.read_timeout * FALLBACK_READ_TIMEOUT_SHARE
        )
    )


def read_or_refuse(node: Node, part: str, query: dict[str, Any], seconds: float) -> Coroutine:
    """Run a query on a part; raise Refused for any failure that is not a definite answer."""
    try:
        return (yield from node.find("ownership").read(part, query, seconds))
    except (Conflict, NotFound, NotFounded, Refused):
        raise
    except QuillringError as error:
        raise Refused(reason=error.kind, part=part) from error


def read_item_body(node: Node, host: str, lot_name: str, item_id: str) -> Coroutine:
    """Return the body of a pending item, as bytes."""
    placement = placement_of_lot(node, host, lot_name)
    query = QueryItemBody(placement.key, item_id).to_wire()
    seconds = node.bounds.read_timeout
    answer = yield from in_own_or_home_part(
        placement, lambda part: read_or_refuse(node, part, query, seconds)
    )
    return answer["body"]


def end_lot(node: Node, host: str, lot_name: str) -> Coroutine:
    """End a lot: listed results are retained, pending items are dropped. Idempotent."""
    placement = placement_of_lot(node, host, lot_name)
    command = EndLot(placement.key).to_wire()
    seconds = node.bounds.read_timeout * END_TIMEOUT_SHARE
    return (
        yield from in_own_or_home_part(
            placement, lambda part: submit_with_retries(node, part, command, seconds)
        )
    )
