"""One recorded run from one seed, and the judgement of its history."""

import random
import time
from typing import NamedTuple

from proving.histories.checker import check_operations
from proving.histories.clients import LotClient, Operator
from proving.histories.faults import LATE_COPY_SHARE, LATE_SHARE, HistoryFaults
from proving.histories.models import model_of
from proving.histories.moments import MOMENTS, Moments
from proving.histories.operations import (
    CONFIGURATION,
    Adopt,
    FetchConfiguration,
    ItemRan,
    NotTaken,
    ReadResults,
    Unknown,
)
from proving.histories.snapshots import check_snapshots
from proving.histories.stage import HistoryStage
from proving.sim.connection_resets import DrawnConnectionResets
from proving.sim.runtime import CoroutineFailure

PROGRAM = "program"
OPERATORS, LOT_CLIENTS = 5, 2
FAULTS, MOMENTS_A_RUN = 7, 3
LOUD_CUT_SECONDS = (2.0, 20.0)
FAULTS_FROM, CALLS_UNTIL, HEAL_AT, BACK_WITHIN = 2.0, 23.0, 24.0, 12.0


class Finding(NamedTuple):
    """One fault of a run: the object it is about, and what is wrong, in words."""

    target: str
    text: str


class Result(NamedTuple):
    """What came of one seed; `undecided` names the objects whose search was given up."""

    seed: int
    operations: int
    findings: tuple[Finding, ...]
    undecided: tuple[str, ...]
    configurations: int
    counts: dict
    seconds: float
    history: object


class HistoryRun:
    """Plays one seed and records it."""

    def __init__(self, seed, fault_count=FAULTS, moments=MOMENTS, loud_cuts=0):
        self.stage = HistoryStage(seed)
        self.chance = random.Random(f"clients {seed}")
        self.fault_count = fault_count
        self.loud_cuts = loud_cuts
        self.moments = moments
        self.counts, self.values, self.lots = {}, 0, 0
        self.findings = []

    def count(self, name):
        """Count something for the report."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def next_value(self):
        """Return a value that no other item has."""
        self.values += 1
        return self.values

    def next_lot(self):
        """Return the name of a new lot."""
        self.lots += 1
        return f"lot{self.lots}"

    def play(self):
        """Play the run; return its history, up to where a coroutine of the product failed."""
        sim, history = self.stage.sim, self.stage.history
        try:
            self._play_all()
        except CoroutineFailure as error:
            self.findings.append(Finding(PROGRAM, f"{error} at {self.stage.env.now:.3f}"))
        self._note_runs()
        history.steps = [*sim.history.notes]
        self.counts["packets held"] = sim.net.late_packets
        self.counts["frames refused by cuts"] = sim.net.refused_frames
        self.counts["frames reset by cuts"] = sim.net.reset_frames
        self.findings.extend(Finding("simulator", text) for text in sim.history.violations)
        return history

    def _play_all(self):
        env, sim = self.stage.env, self.stage.sim
        self._set_up()
        sim.net.late_copy_share, sim.net.late_share = LATE_COPY_SHARE, LATE_SHARE
        faults = HistoryFaults(sim)
        env.process(faults.run(FAULTS_FROM, HEAL_AT, self.fault_count))
        loud_cuts = DrawnConnectionResets(sim, LOUD_CUT_SECONDS)
        env.process(loud_cuts.run(FAULTS_FROM, HEAL_AT, self.loud_cuts))
        env.process(Moments(self, faults, self.moments).play(MOMENTS_A_RUN))
        workers = [
            *(Operator(self, f"operator {n}") for n in range(OPERATORS)),
            *(LotClient(self, f"client {n}") for n in range(LOT_CLIENTS)),
        ]
        for worker in workers:
            env.process(worker.work(CALLS_UNTIL))
        env.run(until=HEAL_AT + 0.5)
        env.run(until=env.process(self._look_at_last()))

    def _set_up(self):
        """Adopt the first configuration, as an operation of the history."""
        operator = Operator(self, "first operator")
        order = Adopt(1, 0, True, ())
        process = self.stage.env.process(operator.send(CONFIGURATION, order))
        self.stage.env.run(until=process)

    def _look_at_last(self):
        """Process: after the heal, every node answers reads again, and every lot can be read."""
        reader, env, sim = Operator(self, "last reader"), self.stage.env, self.stage.sim
        targets = sorted({o.target for o in self.stage.history.operations})
        reads = [
            (CONFIGURATION, FetchConfiguration(), node)
            for node in sim.nodes.values()
            if node.me.role != "store"
        ]
        reads.extend(
            (target, ReadResults(0), None) for target in targets if target.startswith("lot/")
        )
        for target, order, node in reads:
            answer = Unknown()
            while not answered(answer):
                if env.now > HEAL_AT + BACK_WITHIN + len(reads) * 0.1:
                    text = f"no answer {env.now - HEAL_AT:.1f} s after the heal: {order}"
                    self.findings.append(Finding(target, text))
                    return
                answer = yield from reader.send(target, order, node)
                yield env.timeout(0.02 if answered(answer) else 0.3)

    def _note_runs(self):
        """Add to the history that items of a lot were sent to replicas."""
        first_runs = {}
        for at, item, replica, *_ in self.stage.arrivals:
            first_runs.setdefault(item.rpartition("-")[0], (at, replica))
        for lot, (at, replica) in first_runs.items():
            self.stage.record_at(replica, f"lot/{lot}", ItemRan(), at)


def answered(answer):
    """Tell whether an answer says how things stand."""
    return not isinstance(answer, (Unknown, NotTaken))


def judge(history):
    """Return (findings, objects whose search was given up, configurations tried) of a history."""
    findings, undecided, configurations = [], [], 0
    for target, operations in sorted(history.by_target().items()):
        verdict = check_operations(model_of(target, history), operations)
        configurations += verdict.configurations
        if verdict.is_linearizable is None:
            undecided.append(target)
        elif not verdict.is_linearizable:
            findings.append(Finding(target, tell(verdict, len(operations))))
    findings.extend(Finding("snapshots", text) for text in check_snapshots(history)[:8])
    return findings, undecided, configurations


def tell(verdict, count):
    """Return in words where the search for an order of the operations ended."""
    stuck = "; ".join(
        f"{o.client} at {o.node} {o.begin:.3f}-{o.end:.3f} {o.order} -> {o.answer}"
        for o in verdict.stuck[:4]
    )
    return (
        f"not linearizable: {verdict.placed} of {count} operations placed, "
        f"then none of: {stuck}; state {verdict.state}"
    )


def run_seed(seed, fault_count=FAULTS, moments=MOMENTS, loud_cuts=0):
    """Play and judge one seed, with moments of the named kinds and so many loud cuts."""
    start_time = time.perf_counter()
    run = HistoryRun(seed, fault_count, moments, loud_cuts)
    history = run.play()
    findings, undecided, configurations = judge(history)
    return Result(
        seed,
        len(history.operations),
        (*run.findings, *findings),
        tuple(undecided),
        configurations,
        run.counts,
        time.perf_counter() - start_time,
        history,
    )
