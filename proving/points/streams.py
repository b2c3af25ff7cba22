"""Scenarios about streams, their journals and resuming."""

from itertools import count, pairwise
from unittest import mock

from proving.points.scenario_fleet import ScenarioFleet, no_check
from proving.sim import callers
from proving.tools.callers import Answer
from quillring.edge import journal, stream_handlers
from quillring.kernel.errors import QuillringError, Refused

CUT_STREAM_COUNT = 4


def mixed_answers(seed):
    """Replicas mix in pieces of other requests, and one ends streams early.

    No sender may receive a mixed answer, or a truncated one as complete.
    """
    fleet = ScenarioFleet(seed)
    for number, replica in enumerate(
        r for r in fleet.sim.replicas.values() if r.row["service"] == "words"
    ):
        replica.mixes_up, replica.breaks_off = number % 2 == 0, number == 1
    for _ in range(30):
        fleet.start(fleet.callers.stream("wayfinding", "short"))
        fleet.run(0.2)
    fleet.run(20)
    return fleet.sim.history.violations, fleet.outcomes()


def edge_dies(seed):
    """Two edges die one after the other during streams; senders resume at other edges."""
    fleet = ScenarioFleet(seed)
    for _ in range(14):
        fleet.start(fleet.callers.stream("wayfinding", "short", 100))
    fleet.run(0.6)
    fleet.sim.kill("edge-1")
    fleet.run(3)
    fleet.sim.kill("edge-2")
    fleet.run(40)
    outcomes = fleet.outcomes()
    if outcomes.get("short/complete", 0) != 14:
        fleet.sim.history.violate(f"not every stream completed: {outcomes}")
    return fleet.sim.history.violations, {
        **outcomes,
        "resumes": fleet.sim.history.counts.get("resumes", 0),
    }


def holder_dies(seed):
    """A backup holder of stream journals dies, and 1.2 s later the edge that runs the streams."""
    fleet = ScenarioFleet(seed)
    fleet.route_to_edge("edge-1")
    tasks = [fleet.start(fleet.callers.stream("wayfinding", "short", 100)) for _ in range(8)]
    fleet.run(0.6)
    backup_names = sorted(
        {s.backup for s in fleet.node("edge-1").find("journal").streams.values() if s.backup}
    )
    for backup_name in backup_names[:1]:
        fleet.sim.kill(backup_name)
    fleet.run(1.2)
    fleet.route_to_any_edge()
    fleet.sim.kill("edge-1")
    fleet.run(40)
    outcomes = fleet.outcomes()
    if outcomes.get("short/complete", 0) != len(tasks):
        fleet.sim.history.violate(f"not every stream completed: {outcomes}")
    return fleet.sim.history.violations, {**outcomes, "holders": len(backup_names)}


def half_open(seed):
    """A sender resumes at another edge, while the first one never sees its connection close.

    Only the second edge may continue to run the stream.
    """
    fleet = ScenarioFleet(seed)
    with mock.patch.object(callers.Connection, "_take", half_open_take):
        fleet.route_to_edge("edge-1")
        fleet.start(fleet.callers.stream("wayfinding", "short", 200, drop_after=10))
        fleet.run(0.6)
        fleet.route_to_edge("edge-2")
        fleet.run(2.5)
        running = [n for n in fleet.sim.names("edge") if fleet.node(n).find("dispatch").leases]
        if running != ["edge-2"]:
            fleet.sim.history.violate(f"{running} run the stream, not edge-2 alone")
        fleet.run(20)
    return fleet.sim.history.violations, fleet.outcomes()


def stale_holder(seed):
    """The old edge continues a stream behind a cut with its own backup; then the new edge dies.

    Runs with two seeds: in about one of six runs the last edge's backup has the longest copy, and
    such a run cannot fail even without the guard.
    """
    outcomes = [stale_holder_run(run_seed) for run_seed in (seed, seed + 1)]
    violations = [violation for found, _ in outcomes for violation in found]
    return violations, {f"day {n}": figures for n, (_, figures) in enumerate(outcomes)}


def stale_holder_run(seed):
    """Run `stale_holder` with one seed.

    The replicas are noisy: each piece names its run and the piece at which that run began. An
    answer may change from one run to another only at the piece at which the later run began.
    """
    fleet = ScenarioFleet(seed)
    for replica in fleet.sim.replicas.values():
        replica.is_noisy = replica.row["service"] == "words"
    fleet.callers.record.violate = lambda text: None
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
        fleet.route_to_edge("edge-1")
        for _ in range(CUT_STREAM_COUNT):
            fleet.start(fleet.callers.stream("wayfinding", "short", 300, drop_after=10))
        fleet.run(0.55)
        fleet.sim.cut(
            ["edge-1", "edge-3"], [n for n in fleet.sim.nodes if n not in ("edge-1", "edge-3")]
        )
        fleet.route_to_edge("edge-2")
        fleet.run(4.5)
        fleet.sim.heal()
        fleet.run(1.2)
        fleet.sim.kill("edge-2")
        fleet.route_to_edge("edge-4")
        fleet.run(40)
    run_changes = 0
    for answer in answers:
        split_pieces = [piece.split() for piece in answer.pieces]
        for before, after in pairwise(split_pieces):
            run_changes += before[1] != after[1]
            if before[1] != after[1] and int(after[3]) != int(before[5]):
                fleet.sim.history.violate(f"piece {after} follows {before}")
    return fleet.sim.history.violations, {**fleet.outcomes(), "changes of run": run_changes}


def half_open_take(connection, line):
    """Replaces a connection whose sender left without closing it: writes still succeed."""
    if connection.is_open:
        connection.lines.append(line)
        connection.signal.set()
    return True


def append_locally(self, stream, new_pieces, has_ended=False):
    """Replaces the guard: pieces are appended on this node only, without a backup."""
    stream.pieces.extend(new_pieces)
    stream.has_ended = has_ended or stream.has_ended
    return
    yield


def append_unfenced(self, body, origin):
    """Replaces the guard: an append is accepted in any term."""
    stream = self.streams.get(body["stream"]) or journal.JournaledStream(
        body["stream"], body["inquiry"], body["sender"], self.node.now(), body["round"]
    )
    stream.pieces[body["from"] :] = body["pieces"]
    stream.has_ended = body["ended"]
    self.streams[stream.name] = stream
    return len(stream.pieces)


def claim_longest(self, name, client_name, served_term, check):
    """Replaces the guard: takes over from the longest copy, whatever its term."""
    question = {"stream": name, "sender": client_name}
    reachable_names = [n for n in self.possible_holders() if self.node.find("nifty").reaches(n)]
    claim_term = [next(CLAIM_TERMS), ""]
    calls = [(n, "journal.claim", {**question, "round": claim_term}) for n in reachable_names]
    claims = yield from self.node.gather(calls, len(calls))
    successful_claims = [
        reply for reply in claims.values() if not isinstance(reply, QuillringError)
    ]
    if not successful_claims:
        raise Refused(reason="the stream's holders are out of reach")
    request, pieces, ended, _ = max(successful_claims, key=lambda reply: len(reply[1]))
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
