"""Lots of HTTP requests at an edge: hand in, read, end; every unsure case is told as such."""

import hashlib

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
from quillring.lots.http_requests.lot_placement import (
    are_lots_spread,
    in_either_part,
    most_weight_of_part,
    place_of_lot,
)
from quillring.lots.http_requests.lot_table import (
    FENCED,
    HELD,
    ITEM_TOKENS,
    MOVED,
    HeldTooMuch,
    QuotaExceeded,
)
from quillring.quorum.leader.follower_read import peek

RESULT_BYTES = 200_000
LONGEST_HOLD = 0.8
RETURN_SECONDS = 0.5
LOOK_SHARE = 0.4


def submit_surely(node, part, command, seconds):
    """Coroutine: commit a command that may be repeated, asking again until the time is over.

    Raises Refused only when it surely was not taken, OutcomeUnknown when it may still be.
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


def submit_lot(node, forward_name, lot_name, items, seconds=None):
    """Coroutine: hand a lot in; items are [id, target, header pairs, body, tokens].

    Raises QuotaExceeded and Refused when none of it will run, OutcomeUnknown when it may. `seconds`
    bounds the wait; where none are given, the forward's goal does, and a bit. No wait outlasts the
    forward's hold.
    """
    forward = node.find("forwards").find_by_name(forward_name)
    node.find("freshness").check()
    if forward is None or forward.kind != "lot":
        raise NotFound(field="forward")
    fields, place = forward.fields, place_of_lot(node, forward.host, lot_name)
    command = {
        "do": "raw.accept",
        "lot": place.key,
        "forward": forward.name,
        "host": fields["host"],
        "items": items,
        "digest": hashlib.sha256(cbor2.dumps([forward.name, items])).digest()[:16],
        "try": f"{node.runtime.random.getrandbits(96):024x}",
        "most_tokens": fields.get("most_tokens") or 0,
        "at": int(node.runtime.wall_time() * 1000),
        "due_ms": fields.get("due_ms") or 60_000,
        "retain_ms": fields.get("retain_ms") or 3_600_000,
        "rounds": forward.max_attempts,
    }
    seconds = (
        forward.latency_goal_seconds + node.bounds.read_timeout if seconds is None else seconds
    )
    seconds = min(seconds, forward.timeout_seconds)
    end_time, is_spread = node.now() + seconds, are_lots_spread(node)
    if is_spread and command["most_tokens"]:
        answer = yield from accept_reserved(node, place, command, end_time)
    else:
        answer = yield from accept_unreserved(node, place, command, end_time, is_spread)
    refusal = answer.get("refused")
    if refusal is not None:
        node.count(f"raw_refused_{refusal}")
        kind = HeldTooMuch if refusal == HELD else QuotaExceeded
        raise kind(come_back_s=RETURN_SECONDS)
    return answer


def accept_reserved(node, place, command, end_time):
    """Coroutine: reserve the lot's tokens at its home, then have its own part accept it.

    A reservation that was taken back meanwhile is made anew. Where there is no room for the lot, it
    may still be one that was accepted before.
    """
    command = {**command, "most_weight": most_weight_of_part(node)}
    reserve = {
        "do": "raw.reserve",
        "part": place.own,
        "home": place.home,
        "tokens": sum(item[ITEM_TOKENS] for item in command["items"]),
        "fenced": None,
        **{name: command[name] for name in ("lot", "forward", "digest", "try", "most_tokens")},
    }
    while True:
        try:
            reserved = yield from submit_surely(node, place.home, reserve, end_time - node.now())
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
        if "ticket" not in reserved:
            return reserved
        ticket = {"ledger": place.home, "ticket": reserved["ticket"]}
        answer = yield from submit_surely(
            node, place.own, {**command, **ticket}, end_time - node.now()
        )
        if answer.get("refused") != FENCED:
            return answer
        node.count("raw_accepts_fenced")
        reserve = {**reserve, "fenced": reserved["ticket"]}
        if node.now() >= end_time:
            raise Refused(reason="the reservation ran out", part=place.own)


def accept_unreserved(node, place, command, end_time, is_spread):
    """Accept a lot of a forward without limit, or where some member is of a former version.

    Nothing is reserved then, so the part in which the lot may lie already is asked first.
    """
    part, other = (place.own, place.home) if is_spread else (place.home, place.own)
    known = None if part == other else (yield from find_accepted(node, other, command))
    if known is not None:
        return known
    weight = {"most_weight": most_weight_of_part(node)} if is_spread else {}
    answer = yield from submit_surely(node, part, {**command, **weight}, end_time - node.now())
    if answer.get("refused") == MOVED:
        return (yield from accept_reserved(node, place, command, end_time))
    return answer


def find_accepted(node, part, command):
    """Return the answer to a lot that a part accepted before, None where it surely did not.

    Raises Refused where nobody can tell: nothing was handed in then.
    """
    query = {"ask": "raw.known", "lot": command["lot"], "digest": command["digest"]}
    try:
        return (yield from surely_read(node, part, query, node.bounds.read_timeout * LOOK_SHARE))
    except NotFound:
        return None


def read_results(node, host, lot_name, start, hold_seconds=0.0):
    """Coroutine: return items, results from a position on and the next one; held until one exists.

    Raises NotFound only where it is sure, Refused otherwise.
    """
    hold_seconds = min(hold_seconds, LONGEST_HOLD)
    place = place_of_lot(node, host, lot_name)
    query = {"ask": "raw.results", "lot": place.key, "from": start, "limit": RESULT_BYTES}
    body = {"query": query, "seconds": hold_seconds}
    return (
        yield from in_either_part(
            place, lambda part: read_held(node, part, query, body, hold_seconds)
        )
    )


def read_held(node, part, query, body, hold_seconds):
    """Coroutine: ask the part's owner, which may hold the call, else a majority of its stores."""
    ownership, bounds = node.find("ownership"), node.bounds
    try:
        return (
            yield from ownership.call_leader(
                part, "raw.read", body, hold_seconds + bounds.read_timeout * 0.4
            )
        )
    except NotFound:
        raise
    except QuillringError as error:
        node.count("raw_reads_elsewhere")
        node.log("debug", "raw.read %s: %s", part, error)
    known = yield from peek(node, part, ownership.group(part), query)
    if known is not None:
        return known()
    return (yield from surely_read(node, part, query, bounds.read_timeout * 0.6))


def surely_read(node, part, query, seconds):
    """Coroutine: read a part; whatever goes wrong and is no sure answer becomes a refusal."""
    try:
        return (yield from node.find("ownership").read(part, query, seconds))
    except (Conflict, NotFound, NotFounded, Refused):
        raise
    except QuillringError as error:
        raise Refused(reason=error.kind, part=part) from error


def read_item_body(node, host, lot_name, item_id):
    """Coroutine: return the body of an item that is not listed yet, as bytes."""
    place = place_of_lot(node, host, lot_name)
    query = {"ask": "raw.body", "lot": place.key, "item": item_id}
    answer = yield from in_either_part(
        place, lambda part: surely_read(node, part, query, node.bounds.read_timeout)
    )
    return answer["body"]


def end_lot(node, host, lot_name):
    """Coroutine: end a lot; a second call finds it ended."""
    place = place_of_lot(node, host, lot_name)
    command = {"do": "raw.end", "lot": place.key}
    return (
        yield from in_either_part(
            place, lambda part: submit_surely(node, part, command, node.bounds.read_timeout * 1.2)
        )
    )
