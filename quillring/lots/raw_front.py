"""Raw lots at an edge: hand in, read, end; every unsure case is told as such."""

import hashlib

import cbor2

from quillring.kernel.errors import (
    NotFound,
    NotFounded,
    OutcomeUnknown,
    QuillringError,
    Refused,
    TimedOut,
)
from quillring.lots.raw_commands import HELD, HeldTooMuch, QuotaExceeded
from quillring.quorum.parts import part_of
from quillring.quorum.peek import peek

RESULT_BYTES = 200_000
LONGEST_HOLD = 0.8
RETURN_SECONDS = 0.5


def bare_host(host):
    """Return a host's name without its port, in lower case."""
    return host.lower().partition(":")[0]


def lot_key(host, lot_name):
    """Return the name under which a host's lot stands in its part."""
    return f"{lot_name}@{bare_host(host)}"


def part_of_host(node, host):
    """Return the part that holds a host's lots; NotFounded while the fleet is not founded."""
    return part_of(bare_host(host), len(node.find("ownership").parts()) - 1)


def submit_surely(node, part, command, seconds):
    """Script: commit a command that may be repeated, asking again until the time is over.

    Raises Refused only when it surely was not taken, OutcomeUnknown when it may still be.
    """
    ownership, bounds = node.find("ownership"), node.bounds
    end_time, is_unsure = node.now() + seconds, False
    while True:
        window_end = min(end_time, node.now() + bounds.round)
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


def accept_raw_lot(node, forward_name, lot_name, items, seconds=None):
    """Script: hand a lot in; items are [id, target, header pairs, body, tokens].

    Raises QuotaExceeded and Refused when none of it will run, OutcomeUnknown when it may. `seconds`
    bounds the wait; where none are given, the forward's goal does, and a bit.
    """
    forward = node.find("forwards").named(forward_name)
    node.find("freshness").check()
    if forward is None or forward.kind != "lot":
        raise NotFound(field="forward")
    fields, part = forward.fields, part_of_host(node, forward.host)
    command = {
        "do": "raw.accept",
        "lot": lot_key(forward.host, lot_name),
        "forward": forward.name,
        "host": fields["host"],
        "items": items,
        "digest": hashlib.sha256(cbor2.dumps([forward.name, items])).digest()[:16],
        "try": f"{node.world.random.getrandbits(96):024x}",
        "most_tokens": fields.get("most_tokens") or 0,
        "at": int(node.world.wall() * 1000),
        "due_ms": fields.get("due_ms") or 60_000,
        "retain_ms": fields.get("retain_ms") or 3_600_000,
        "rounds": forward.rounds,
    }
    seconds = forward.goal_seconds + node.bounds.reading if seconds is None else seconds
    answer = yield from submit_surely(node, part, command, seconds)
    refusal = answer.get("refused")
    if refusal is not None:
        node.count(f"raw_refused_{refusal}")
        kind = HeldTooMuch if refusal == HELD else QuotaExceeded
        raise kind(come_back_s=RETURN_SECONDS)
    return answer


def read_raw_results(node, host, lot_name, start, hold_seconds=0.0):
    """Script: return items, results from a position on and the next one; held until one exists.

    Raises NotFound only where it is sure, Refused otherwise.
    """
    part, hold_seconds = part_of_host(node, host), min(hold_seconds, LONGEST_HOLD)
    query = {
        "ask": "raw.results",
        "lot": lot_key(host, lot_name),
        "from": start,
        "limit": RESULT_BYTES,
    }
    body = {"query": query, "seconds": hold_seconds}
    return (yield from read_held(node, part, query, body, hold_seconds))


def read_held(node, part, query, body, hold_seconds):
    """Script: ask the part's owner, which may hold the call, else a majority of its stores."""
    ownership, bounds = node.find("ownership"), node.bounds
    try:
        return (
            yield from ownership.ask(part, "raw.read", body, hold_seconds + bounds.reading * 0.4)
        )
    except NotFound:
        raise
    except QuillringError as error:
        node.count("raw_reads_elsewhere")
        node.log("debug", "raw.read %s: %s", part, error)
    known = yield from peek(node, part, ownership.group(part), query)
    if known is not None:
        return known()
    return (yield from surely_read(node, part, query, bounds.reading * 0.6))


def surely_read(node, part, query, seconds):
    """Script: read a part; whatever goes wrong and is no sure answer becomes a refusal."""
    try:
        return (yield from node.find("ownership").read(part, query, seconds))
    except (NotFound, NotFounded, Refused):
        raise
    except QuillringError as error:
        raise Refused(reason=error.kind, part=part) from error


def read_raw_body(node, host, lot_name, item_id):
    """Script: return the body of an item that is not listed yet, as bytes."""
    query = {"ask": "raw.body", "lot": lot_key(host, lot_name), "item": item_id}
    part = part_of_host(node, host)
    answer = yield from surely_read(node, part, query, node.bounds.reading)
    return answer["body"]


def end_raw_lot(node, host, lot_name):
    """Script: end a lot; a second call finds it ended."""
    command = {"do": "raw.end", "lot": lot_key(host, lot_name)}
    part = part_of_host(node, host)
    return (yield from submit_surely(node, part, command, node.bounds.reading * 1.2))
