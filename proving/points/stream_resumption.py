"""Scenarios about resuming streams: forbidden classes, foreign tokens, other senders."""

import base64

import cbor2

from proving.points.scenario_fleet import Stage, no_check
from proving.sim.callers import Connection
from quillring.edge import stream_handlers
from quillring.edge.journal_messages import Term
from quillring.edge.resume_token import TOKEN_LIFETIME_SECONDS, ResumeToken, make_token
from quillring.edge.stream_handlers import resume_stream, serve_model
from quillring.kernel.errors import NotFound, QuillringError
from quillring.kernel.routes import Request
from quillring.lots.prompts import state_machine
from quillring.lots.prompts.api import cancel_lot, show_lot, show_results


def open_stream(stage, edge, route, client_name, max_pieces=100):
    """Open a model inquiry at an edge; return the connection and its head line."""
    prompt = f"{route} {client_name}"
    body = {"entry": route, "prompt": prompt, "max_pieces": max_pieces}
    node = stage.node(edge)
    connection = Connection(
        stage.sim, node, serve_model(node, Request("POST", {}, {}, body, client_name))
    )
    return connection, stage.finish(stage.start(connection.next(10)))


def resume(stage, edge, token, client_name, after=0):
    """Ask an edge to resume; return (connection, first line)."""
    node = stage.node(edge)
    request = Request("GET", {"token": token}, {"after": [str(after)]}, None, client_name)
    connection = Connection(stage.sim, node, resume_stream(node, request))
    return connection, stage.finish(stage.start(connection.next(10)))


def read_rest(stage, connection):
    """Return all further lines of a connection."""
    lines = []
    while (line := stage.finish(stage.start(connection.next(10)))) is not None:
        lines.append(line)
    return lines


def kind_of(connection):
    """Return the kind of error an exchange ended with, or None."""
    error = connection.outcome[1] if connection.outcome else None
    return error.kind if error else None


def forbidden_resume(seed):
    """A sender asks to resume what its class forbids, while it runs, after a cut, after its end."""
    stage, seen = Stage(seed), []
    violate = stage.sim.history.violate
    stage.sim.history.at_most_once.add("once ann")
    running, head = open_stream(stage, "edge-1", "once", "ann")
    other, line = resume(stage, "edge-2", head["resume"], "ann")
    seen.append(kind_of(other))
    rest = read_rest(stage, running)
    if not rest or rest[-1].get("end") is not True:
        violate(f"the running stream was cut: {rest[-1:]}")
    ended, line = resume(stage, "edge-3", head["resume"], "ann")
    seen.append(kind_of(ended))
    stage.sim.history.at_most_once.add("once bob")
    broken, head = open_stream(stage, "edge-1", "once", "bob")
    stage.sim.kill("edge-1")
    stage.run(3)
    again, line = resume(stage, "edge-2", head["resume"], "bob")
    seen.append(kind_of(again))
    if seen != ["not_resumable"] * 3:
        violate(f"resumed though the class forbids it: {seen}")
    return stage.sim.history.violations, {"answers": seen}


def strange_tokens(seed):
    """Tokens forged, of another sender, expired, cut off; the answer stays its sender's own."""
    stage = Stage(seed)
    running, head = open_stream(stage, "edge-1", "wayfinding", "ann")
    rest = read_rest(stage, running)
    node = stage.node("edge-2")
    stream = stage.node("edge-1").find("journal").streams[head["stream"]]
    secret = node.find("ownership").founding()["secret"]
    chance = stage.sim.chance
    place = chance.randrange(len(head["resume"]) - 2)
    swapped = "A" if head["resume"][place] != "A" else "B"
    forged_body = cbor2.dumps([stream.name, [1, "edge-1"], 1 << 40])
    tokens = {
        "one letter changed": (
            head["resume"][:place] + swapped + head["resume"][place + 1 :],
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
        "cut off": (head["resume"][: chance.randrange(1, 20)], "ann"),
        "not ascii": ("\u00fc" * 8, "ann"),
    }
    for label, (token, client_name) in tokens.items():
        connection, line = resume(stage, "edge-2", token, client_name)
        error = connection.outcome[1] if connection.outcome else None
        if line is not None or error is None or error.to_json() != {"trouble": "bad_token"}:
            stage.sim.history.violate(f"{label}: {line} {error}")
    good, line = resume(stage, "edge-2", head["resume"], "ann")
    again = read_rest(stage, good)
    if again != rest:
        stage.sim.history.violate(f"the rightful sender got {len(again)} of {len(rest)} lines")
    return stage.sim.history.violations, {"refused": len(tokens), "lines": len(again)}


def foreign_lot(seed):
    """Another sender asks for a lot, its results and its end; it learns nothing."""
    stage = Stage(seed)
    callers = stage.callers
    stage.start(callers.lot("gate-notices", 4, 0.0))
    stage.run(6)
    lot, known = next(iter(callers.lots.items()))
    answers = []
    for make, method in ((show_lot, "GET"), (show_results, "GET"), (cancel_lot, "DELETE")):
        for name in (lot, f"{lot}x"):
            answer, error = stage.finish(
                stage.start(callers.ask(make, method, {"lot": name}, client_name="eve"))
            )
            answers.append(error.to_json() if error else answer)
    if any(answer != {"trouble": "not_found", "field": "lot"} for answer in answers):
        stage.sim.history.violate(f"another sender's lot was told of: {answers}")
    return stage.sim.history.violations, {"asked": len(answers)}


def read_any_token(secret, token, client_name, now):
    """Stand-in for the guard: neither signature nor time are looked at."""
    try:
        body = base64.urlsafe_b64decode(token + "=" * (-len(token) % 4))[16:]
        name, served_term, _ = cbor2.loads(body)
    except (ValueError, TypeError, cbor2.CBORError) as error:
        raise QuillringError() from error
    return ResumeToken(name, Term.from_wire(served_term))


def find_any_lot(state, query):
    """Stand-in for the guard: whoever asks is answered."""
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
