"""Scenarios about streams; each returns its violations and figures."""

from itertools import count, pairwise
from unittest import mock

from proving.points.scenario_fleet import Stage, no_check
from proving.sim import callers
from proving.tools.callers import Answer
from quillring.edge import journal, stream_handlers
from quillring.kernel.errors import QuillringError, Refused

STREAMS_CUT = 4


def mixed_answers(seed):
    """A replica mixes in another inquiry's pieces; another one ends before the end."""
    stage = Stage(seed)
    for number, replica in enumerate(
        r for r in stage.sim.replicas.values() if r.row["service"] == "words"
    ):
        replica.mixes_up, replica.breaks_off = number % 2 == 0, number == 1
    for _ in range(30):
        stage.start(stage.callers.stream("wayfinding", "short"))
        stage.run(0.2)
    stage.run(20)
    return stage.sim.history.violations, stage.outcomes()


def edge_dies(seed):
    """Edges die in the middle of streams; senders resume elsewhere."""
    stage = Stage(seed)
    for _ in range(14):
        stage.start(stage.callers.stream("wayfinding", "short", 100))
    stage.run(0.6)
    stage.sim.kill("edge-1")
    stage.run(3)
    stage.sim.kill("edge-2")
    stage.run(40)
    outcomes = stage.outcomes()
    if outcomes.get("short/complete", 0) != 14:
        stage.sim.history.violate(f"conversations were dropped: {outcomes}")
    return stage.sim.history.violations, {
        **outcomes,
        "resumes": stage.sim.history.counts.get("resumes", 0),
    }


def holder_dies(seed):
    """The journal's second holders die mid-stream, then the edge that runs the streams."""
    stage = Stage(seed)
    stage.only_edge("edge-1")
    tasks = [stage.start(stage.callers.stream("wayfinding", "short", 100)) for _ in range(8)]
    stage.run(0.6)
    holders = sorted(
        {s.backup for s in stage.node("edge-1").find("journal").streams.values() if s.backup}
    )
    for holder in holders[:1]:
        stage.sim.kill(holder)
    stage.run(1.2)
    stage.any_edge()
    stage.sim.kill("edge-1")
    stage.run(40)
    outcomes = stage.outcomes()
    if outcomes.get("short/complete", 0) != len(tasks):
        stage.sim.history.violate(f"conversations were dropped: {outcomes}")
    return stage.sim.history.violations, {**outcomes, "holders": len(holders)}


def half_open(seed):
    """A sender resumes at another edge; the first one never sees its connection close."""
    stage = Stage(seed)
    with mock.patch.object(callers.Connection, "_take", half_open_take):
        stage.only_edge("edge-1")
        stage.start(stage.callers.stream("wayfinding", "short", 200, drop_after=10))
        stage.run(0.6)
        stage.only_edge("edge-2")
        stage.run(2.5)
        running = [n for n in stage.sim.names("edge") if stage.node(n).find("dispatch").leases]
        if running != ["edge-2"]:
            stage.sim.history.violate(f"{running} run one stream")
        stage.run(20)
    return stage.sim.history.violations, stage.outcomes()


def stale_holder(seed):
    """The first edge goes on behind a cut with a holder of its own; then the second edge dies.

    Two days: on about one of six, the last edge's holder has the longest copy, so that nothing
    can go wrong even without the guard.
    """
    outcomes = [stale_holder_day(day_seed) for day_seed in (seed, seed + 1)]
    violations = [violation for found, _ in outcomes for violation in found]
    return violations, {f"day {n}": figures for n, (_, figures) in enumerate(outcomes)}


def stale_holder_day(seed):
    """One day of it.

    The replicas are noisy: a piece tells the run it is of, and where that run began. A sender's
    answer may change runs only where the next one began.
    """
    stage = Stage(seed)
    for replica in stage.sim.replicas.values():
        replica.is_noisy = replica.row["service"] == "words"
    stage.callers.record.violate = lambda text: None
    answers = []
    real_take = Answer.add_line

    def add_line(answer, line, record):
        if answer not in answers:
            answers.append(answer)
        return real_take(answer, line, record)

    with (
        mock.patch.object(Answer, "add_line", add_line),
        mock.patch.object(callers.Connection, "_take", half_open_take),
    ):
        stage.only_edge("edge-1")
        for _ in range(STREAMS_CUT):
            stage.start(stage.callers.stream("wayfinding", "short", 300, drop_after=10))
        stage.run(0.55)
        stage.sim.cut(
            ["edge-1", "edge-3"], [n for n in stage.sim.nodes if n not in ("edge-1", "edge-3")]
        )
        stage.only_edge("edge-2")
        stage.run(4.5)
        stage.sim.heal()
        stage.run(1.2)
        stage.sim.kill("edge-2")
        stage.only_edge("edge-4")
        stage.run(40)
    changes = 0
    for answer in answers:
        words = [piece.split() for piece in answer.pieces]
        for before, after in pairwise(words):
            changes += before[1] != after[1]
            if before[1] != after[1] and int(after[3]) != int(before[5]):
                stage.sim.history.violate(f"piece {after} follows {before}")
    return stage.sim.history.violations, {**stage.outcomes(), "changes of run": changes}


def half_open_take(connection, line):
    """Stand-in for a connection whose other end left without a word."""
    if connection.is_open:
        connection.lines.append(line)
        connection.signal.set()
    return True


def append_locally(self, stream, new_pieces, has_ended=False):
    """Stand-in for the guard: pieces are kept on the own node only."""
    stream.pieces.extend(new_pieces)
    stream.has_ended = has_ended or stream.has_ended
    return
    yield


def append_unfenced(self, body, origin):
    """Stand-in for the guard: an append of any round is taken."""
    stream = self.streams.get(body["stream"]) or journal.JournaledStream(
        body["stream"], body["inquiry"], body["sender"], self.node.now(), body["round"]
    )
    stream.pieces[body["from"] :] = body["pieces"]
    stream.has_ended = body["ended"]
    self.streams[stream.name] = stream
    return len(stream.pieces)


def claim_longest(self, name, client_name, served_term, check):
    """Stand-in for the guard: the longest copy counts, of whatever round."""
    question = {"stream": name, "sender": client_name}
    reached = [n for n in self.possible_holders() if self.node.find("nifty").reaches(n)]
    claim_term = [next(CLAIM_TERMS), ""]
    calls = [(n, "journal.claim", {**question, "round": claim_term}) for n in reached]
    claims = yield from self.node.gather(calls, len(calls))
    good = [reply for reply in claims.values() if not isinstance(reply, QuillringError)]
    if not good:
        raise Refused(reason="the stream's holders are out of reach")
    request, pieces, ended, _ = max(good, key=lambda reply: len(reply[1]))
    stream = journal.JournaledStream(name, request, client_name, self.node.now(), claim_term)
    stream.pieces, stream.has_ended = list(pieces), ended
    self.streams[name] = stream
    return stream


CLAIM_TERMS = count(9)
POINTS = [
    (
        "no answer mixed or complete when it is not",
        mixed_answers,
        [(stream_handlers, "check_line", lambda line, name, count: None)],
    ),
    (
        "no conversation dropped when an edge dies",
        edge_dies,
        [(journal.Journal, "append", append_locally)],
    ),
    (
        "no conversation dropped when the second holder dies too",
        holder_dies,
        [(journal.Journal, "append", append_locally)],
    ),
    (
        "a resumed stream is run by one edge",
        half_open,
        [
            (journal.Journal, "on_append", append_unfenced),
            (journal.Journal, "_check_term", no_check),
        ],
    ),
    (
        "no answer is mixed from two runs",
        stale_holder,
        [(journal.Journal, "take_over", claim_longest)],
    ),
]
