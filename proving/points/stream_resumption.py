"""Scenarios about resuming streams: classes that forbid it, invalid tokens, other senders."""

import base64

import cbor2

from proving.points.scenario_fleet import ScenarioFleet, no_check
from proving.sim.callers import Connection
from quillring.edge import stream_handlers
from quillring.edge.journal_messages import Term
from quillring.edge.resume_token import TOKEN_LIFETIME_SECONDS, ResumeToken, make_token
from quillring.edge.stream_handlers import resume_stream, serve_model
from quillring.kernel.errors import NotFound, QuillringError
from quillring.kernel.routes import Request
from quillring.lots.prompts import state_machine
from quillring.lots.prompts.api import cancel_lot, show_lot, show_results


def open_stream(fleet, edge, route, client_name, max_pieces=100):
    """Open a model stream at an edge; return (connection, head line)."""
    prompt = f"{route} {client_name}"
    body = {"entry": route, "prompt": prompt, "max_pieces": max_pieces}
    node = fleet.node(edge)
    connection = Connection(
        fleet.sim, node, serve_model(node, Request("POST", {}, {}, body, client_name))
    )
    return connection, fleet.finish(fleet.start(connection.next(10)))


def resume(fleet, edge, token, client_name, after=0):
    """Ask an edge to resume a stream after piece `after`; return (connection, first line)."""
    node = fleet.node(edge)
    request = Request("GET", {"token": token}, {"after": [str(after)]}, None, client_name)
    connection = Connection(fleet.sim, node, resume_stream(node, request))
    return connection, fleet.finish(fleet.start(connection.next(10)))


def read_rest(fleet, connection):
    """Return the remaining lines of a connection."""
    lines = []
    while (line := fleet.finish(fleet.start(connection.next(10)))) is not None:
        lines.append(line)
    return lines


def error_kind(connection):
    """Return the kind of the error that the exchange ended with, or None."""
    error = connection.outcome[1] if connection.outcome else None
    return error.kind if error else None


def forbidden_resume(seed):
    """A sender asks to resume streams of a class that forbids it.

    It asks while the stream runs, after it ended, and after its edge died; each must be refused.
    """
    fleet, error_kinds = ScenarioFleet(seed), []
    violate = fleet.sim.history.violate
    fleet.sim.history.at_most_once.add("once ann")
    running, head = open_stream(fleet, "edge-1", "once", "ann")
    other, line = resume(fleet, "edge-2", head["resume"], "ann")
    error_kinds.append(error_kind(other))
    rest = read_rest(fleet, running)
    if not rest or rest[-1].get("end") is not True:
        violate(f"the running stream was interrupted: {rest[-1:]}")
    ended, line = resume(fleet, "edge-3", head["resume"], "ann")
    error_kinds.append(error_kind(ended))
    fleet.sim.history.at_most_once.add("once bob")
    broken, head = open_stream(fleet, "edge-1", "once", "bob")
    fleet.sim.kill("edge-1")
    fleet.run(3)
    again, line = resume(fleet, "edge-2", head["resume"], "bob")
    error_kinds.append(error_kind(again))
    if error_kinds != ["not_resumable"] * 3:
        violate(f"resumed though the class forbids it: {error_kinds}")
    return fleet.sim.history.violations, {"answers": error_kinds}


def strange_tokens(seed):
    """Forged, expired and truncated tokens and those of another sender are all refused alike.

    The sender of the stream can still read all of it afterwards.
    """
    fleet = ScenarioFleet(seed)
    running, head = open_stream(fleet, "edge-1", "wayfinding", "ann")
    rest = read_rest(fleet, running)
    node = fleet.node("edge-2")
    stream = fleet.node("edge-1").find("journal").streams[head["stream"]]
    secret = node.find("ownership").founding()["secret"]
    rng = fleet.sim.chance
    position = rng.randrange(len(head["resume"]) - 2)
    swapped = "A" if head["resume"][position] != "A" else "B"
    forged_body = cbor2.dumps([stream.name, [1, "edge-1"], 1 << 40])
    tokens = {
        "one letter changed": (
            head["resume"][:position] + swapped + head["resume"][position + 1 :],
            "ann",
        ),
        "made by a stranger": (
            base64.urlsafe_b64encode(b"\0" * 16 + forged_body).decode().rstrip("="),
            "ann",
        ),
        "another sender": (head["resume"], "bob"),
        "no sender": (head["resume"], ""),
        "expired": (
            make_token(secret, stream, node.runtime.wall_time() - TOKEN_LIFETIME_SECONDS - 1),
            "ann",
        ),
        "cut off": (head["resume"][: rng.randrange(1, 20)], "ann"),
        "not ascii": ("\u00fc" * 8, "ann"),
    }
    for label, (token, client_name) in tokens.items():
        connection, line = resume(fleet, "edge-2", token, client_name)
        error = connection.outcome[1] if connection.outcome else None
        if line is not None or error is None or error.to_json() != {"trouble": "bad_token"}:
            fleet.sim.history.violate(f"{label}: {line} {error}")
    resumed, line = resume(fleet, "edge-2", head["resume"], "ann")
    resumed_lines = read_rest(fleet, resumed)
    if resumed_lines != rest:
        fleet.sim.history.violate(
            f"the sender of the stream got {len(resumed_lines)} of {len(rest)} lines"
        )
    return fleet.sim.history.violations, {"refused": len(tokens), "lines": len(resumed_lines)}


def foreign_lot(seed):
    """Another sender asks for a lot and its results and cancels it; it must learn nothing."""
    fleet = ScenarioFleet(seed)
    callers = fleet.callers
    fleet.start(callers.lot("gate-notices", 4, 0.0))
    fleet.run(6)
    lot, known = next(iter(callers.lots.items()))
    answers = []
    for make_coroutine, method in (
        (show_lot, "GET"),
        (show_results, "GET"),
        (cancel_lot, "DELETE"),
    ):
        for name in (lot, f"{lot}x"):
            answer, error = fleet.finish(
                fleet.start(callers.ask(make_coroutine, method, {"lot": name}, client_name="eve"))
            )
            answers.append(error.to_json() if error else answer)
    if any(answer != {"trouble": "not_found", "field": "lot"} for answer in answers):
        fleet.sim.history.violate(f"another sender's lot was disclosed: {answers}")
    return fleet.sim.history.violations, {"asked": len(answers)}


def read_any_token(secret, token, client_name, now):
    """Replaces the guard: neither the signature nor the expiry time is checked."""
    try:
        body = base64.urlsafe_b64decode(token + "=" * (-len(token) % 4))[16:]
        name, served_term, _ = cbor2.loads(body)
    except (ValueError, TypeError, cbor2.CBORError) as error:
        raise QuillringError() from error
    return ResumeToken(name, Term.from_wire(served_term))


def find_any_lot(state, query):
    """Replaces the guard: a lot is found for any sender."""
    lot = state["lots"].get(query.lot)
    if lot is None:
        raise NotFound(field="lot")
    return lot


POINTS = [
    (
        "a class that forbids resuming is not resumed",
        forbidden_resume,
        [(stream_handlers, "check_resumable", no_check)],
    ),
    (
        "a strange token discloses nothing",
        strange_tokens,
        [(stream_handlers, "read_token", read_any_token)],
    ),
    (
        "another sender's lot is not told of",
        foreign_lot,
        [(state_machine, "_find_lot", find_any_lot)],
    ),
]
